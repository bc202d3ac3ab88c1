#ifndef FOXTAILVALE_RELEASE_SETTINGS_HPP
#define FOXTAILVALE_RELEASE_SETTINGS_HPP

#include <release/document.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::release
{

// Rewrites peer addresses at the border to another network: in an address that
// starts with `from`, this prefix is replaced by `to`.
struct address_rewrite
{
    std::string from;
    std::string to;
};

// Settings that all processes have.
struct node_settings
{
    std::string name;
    std::string failure_domain;
    std::string region;
    // IP address that this process listens on.
    std::string address;
    std::uint16_t peer_port = 0;
    // Port for operators: metrics, health and status.
    std::uint16_t operator_port = 0;
    // Base URL of the platform's object API, "http://IP:PORT".
    std::string platform;
    std::string log_level = "INFO";
    std::vector<address_rewrite> rewrites;
    // How long a stopping process continues to accept new work.
    std::chrono::milliseconds stop_grace{0};
};

struct entry_settings
{
    node_settings node;
    std::uint16_t caller_port = 0;
    // Maximum number of requests that wait or run in this entry at once.
    std::uint32_t max_requests = 2048;
    // Maximum size of a caller's request body, in bytes.
    std::uint64_t most_body_bytes = 0;
    // Maximum size of the bodies of all requests together, in bytes.
    std::uint64_t max_bodies_bytes = 64UL * 1024 * 1024;
    // Deadline of requests that specify none.
    std::chrono::milliseconds default_deadline{0};
    // Longest deadline accepted; it bounds the duration of a planned stop.
    std::chrono::milliseconds max_deadline{0};
};

struct agent_settings
{
    node_settings node;
    // URL of the endpoint behind this agent, "http://IP:PORT".
    std::string endpoint;
    // Name of the plain service that the endpoint is; empty if it is an engine.
    std::string service;
    // Base URL of the origin or weight store.
    std::string origin;
    // Port on which the engine fetches verified chunks from this agent.
    std::uint16_t weights_port = 0;
    // Maximum size of the chunks that the agent stores, in bytes.
    std::uint64_t spool_bytes = 0;
    // Maximum rate of uploads to other agents, in Mbit/s; zero means unlimited.
    std::uint32_t upload_mbit = 0;
    // Rate of the narrow link between this region and the origin, in Mbit/s;
    // zero if there is no such link.
    std::uint32_t origin_link_mbit = 0;
    // Percentage of that link that weight transfers leave to live requests.
    std::uint32_t live_reserve_percent = 0;
    // Distribution method: "forest", or for measurements "swarm" or "origin".
    std::string distribution;
    // Memory of the endpoint that is available for models, in MiB.
    std::uint32_t memory_mib = 0;
};

// Read the settings and add all faults to the document.
entry_settings read_entry_settings(document& source);
agent_settings read_agent_settings(document& source);

} // namespace foxtailvale::release

#endif
