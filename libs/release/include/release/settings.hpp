#ifndef FOXTAILVALE_RELEASE_SETTINGS_HPP
#define FOXTAILVALE_RELEASE_SETTINGS_HPP

#include <release/document.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::release
{

// Where another network begins: a peer address that starts with `from` is
// reached under `to` instead.
struct address_rewrite
{
    std::string from;
    std::string to;
};

// What every process of the system has in its settings.
struct node_settings
{
    std::string name;
    std::string failure_domain;
    std::string region;
    // IP number that this process listens on.
    std::string address;
    std::uint16_t peer_port = 0;
    // Operator port: metrics, health, status.
    std::uint16_t operator_port = 0;
    // Base address of the platform's object API, "http://IP:PORT".
    std::string platform;
    std::string log_level = "INFO";
    std::vector<address_rewrite> rewrites;
    // For how long a stopping process still takes new work.
    std::chrono::milliseconds stop_grace{0};
};

struct entry_settings
{
    node_settings node;
    std::uint16_t caller_port = 0;
    // Most requests that wait or run in this entry at once.
    std::uint32_t max_requests = 2048;
    // Largest body that a caller may send, in bytes.
    std::uint64_t most_body_bytes = 0;
    // Deadline of a request that states none.
    std::chrono::milliseconds default_deadline{0};
    // Longest deadline accepted, which bounds a planned stop.
    std::chrono::milliseconds max_deadline{0};
};

struct agent_settings
{
    node_settings node;
    // Endpoint behind this agent, "http://IP:PORT".
    std::string endpoint;
    // Set when the endpoint is a plain service, empty for an engine.
    std::string service;
    // Base address of the origin or weight store.
    std::string origin;
    // Where the engine fetches verified chunks from this agent.
    std::uint16_t weights_port = 0;
    // Most bytes of chunks that the agent keeps.
    std::uint64_t spool_bytes = 0;
    // Most that the agent uploads to others, in Mbit/s; zero is no cap.
    std::uint32_t upload_mbit = 0;
    // Rate of the narrow link between this region and the origin, in Mbit/s;
    // zero where there is none.
    std::uint32_t origin_link_mbit = 0;
    // Part of that link that weights leave to live requests.
    std::uint32_t live_reserve_percent = 0;
    // "forest", or for measurements "swarm" or "origin".
    std::string distribution;
    // Memory of the endpoint for models, in MiB.
    std::uint32_t memory_mib = 0;
};

// Read settings and add all faults to the document.
entry_settings read_entry_settings(document& source);
agent_settings read_agent_settings(document& source);

} // namespace foxtailvale::release

#endif
