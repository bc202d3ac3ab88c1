#ifndef FOXTAILVALE_AGENT_CORE_AGENT_CORE_HPP
#define FOXTAILVALE_AGENT_CORE_AGENT_CORE_HPP

#include <agent_core/events.hpp>
#include <base/random.hpp>
#include <release/configuration.hpp>
#include <request/gate.hpp>
#include <weights/chunk_store.hpp>
#include <weights/forest.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

// The agent's decisions as one state machine without sockets, clocks or
// threads: the gate before its endpoint, the transfer of weights, and the
// orders to its engine.
namespace foxtailvale::agent_core
{

// Who this agent is; does not change while it runs.
struct identity
{
    std::string name;
    std::string failure_domain;
    std::string region;
    // Name of the plain service behind it; empty for an engine.
    std::string service;
};

// An attempt that the endpoint runs.
struct running_attempt
{
    std::string entry;
    std::string model;
    std::string digest;
    std::uint32_t next_sequence = 0;
};

// Requests: the gate and what runs behind it.
struct request_state
{
    request::gate gate;
    std::map<base::attempt_id, running_attempt> running;
};

// A chunk that was asked for and has not come.
struct pending_chunk
{
    // Empty for the origin.
    std::string agent;
    base::time_point asked;
};

// One version on its way to this agent.
struct transfer
{
    std::string digest;
    base::time_point started;
    bool manifest_asked = false;
    base::time_point manifest_time;
    std::map<std::uint32_t, pending_chunk> pending;
    // How often each chunk has been asked for in vain.
    std::map<std::uint32_t, std::uint32_t> failures;
};

// An order that the engine has not answered.
struct pending_order
{
    order_engine order;
    base::time_point sent;
};

struct weights_state
{
    weights::chunk_store store;
    std::map<std::string, transfer> transfers;
    // Digest that serves, by model; as the engine reported it.
    std::map<std::string, std::string> serving;
    std::optional<pending_order> order;
    std::uint64_t last_order = 0;
    // Peers that we have connected to for chunks.
    std::set<std::string> connected;
};

// An entry that wants this agent's heartbeats.
struct listener
{
    base::time_point heard;
    // A new one knows nothing of what the one before was told.
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds interval{1000};
    base::time_point last_beat;
    // Hash of what the last whole heartbeat said, and brief ones since then.
    std::uint64_t detail_hash = 0;
    std::uint32_t brief_beats = 0;
};

struct control_state
{
    release::configuration configuration;
    weights::plan_set plans;
    std::map<std::string, listener> listeners;
    // Something changed that the listeners should know at once.
    bool has_news = false;
    bool stopping = false;
    bool endpoint_reachable = false;
    bool endpoint_cold = true;
};

struct state
{
    identity self;
    base::random_state random;
    request_state requests;
    weights_state weights;
    control_state control;
};

// Takes one event and returns what to do, in order.
std::vector<action>
step(state& state, event const& input, base::time_point now);

} // namespace foxtailvale::agent_core

#endif
