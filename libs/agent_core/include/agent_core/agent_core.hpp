#ifndef FOXTAILVALE_AGENT_CORE_AGENT_CORE_HPP
#define FOXTAILVALE_AGENT_CORE_AGENT_CORE_HPP

#include <agent_core/events.hpp>
#include <base/random.hpp>
#include <release/configuration.hpp>
#include <request/gate.hpp>
#include <weights/chunk_store.hpp>
#include <weights/forest.hpp>
#include <weights/origin_pace.hpp>
#include <weights/source_table.hpp>
#include <weights/upload_queue.hpp>

#include <core/drain.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

// The agent's state machine, free of sockets, clocks and threads: admission
// control in front of its endpoint, the transfer of weights, and the load and
// unload orders to its engine.
namespace foxtailvale::agent_core
{

// Identity of this agent; constant while it runs.
struct identity
{
    std::string name;
    std::string failure_domain;
    std::string region;
    // Name of the plain service that this agent fronts; empty for an engine.
    std::string service;
    core::drain_limits drain_limits;
};

// An attempt that is running on the endpoint.
struct running_attempt
{
    std::string entry;
    std::string model;
    std::string digest;
    std::uint32_t next_sequence = 0;
    // Set for a run that came with a reservation token: its outcome is stored.
    bool remembered = false;
    std::uint64_t fingerprint = 0;
};

// An attempt that the endpoint broke off.
struct lost_attempt
{
    std::uint64_t fingerprint = 0;
    base::time_point time;
};

// A slot reserved for a non-idempotent request until its body arrives.
struct reservation
{
    std::string entry;
    std::uint64_t token = 0;
    base::time_point expires;
};

// Result of a non-idempotent attempt.
struct outcome
{
    wire::OutcomeReply answer;
    base::time_point ended;
};

// Request handling: admission control (the gate) and the running attempts.
struct request_state
{
    request::gate gate;
    std::map<base::attempt_id, running_attempt> running;
    std::map<base::attempt_id, reservation> reservations;
    std::map<base::attempt_id, outcome> outcomes;
    // Attempts with a stored outcome, oldest first; the order of eviction.
    std::deque<base::attempt_id> outcome_order;
    std::size_t outcome_bytes = 0;
    std::deque<lost_attempt> lost_attempts;
    // Requests that ran as the endpoint crashed, with the time of the last
    // crash, for entries that begin to listen later.
    std::map<std::uint64_t, base::time_point> reported_crashes;
};

// A chunk that was requested and has not arrived yet.
struct pending_chunk
{
    // Name of the agent that was asked; empty for the origin.
    std::string agent;
    base::time_point requested;
    // When the source was first known to hold the chunk; unset before that.
    std::optional<base::time_point> held_since;
};

// Number of fetches of one chunk for which the origin returned bytes that do
// not match the manifest, and the time of the first.
struct corrupt_record
{
    std::uint32_t fetches = 0;
    base::time_point first;
};

// Transfer of one version to this agent.
struct transfer
{
    std::string digest;
    base::time_point started;
    // When the manifest arrived and when it was last requested.
    base::time_point manifest_received;
    base::time_point manifest_requested;
    bool manifest_fetch_pending = false;
    // When the last chunk arrived, from any source.
    base::time_point last_chunk;
    std::map<std::uint32_t, pending_chunk> pending;
    // Possible sources by chunk, computed from the current plans.
    std::map<std::uint32_t, std::optional<weights::chunk_sources>> sources;
    // Sources that declined a chunk, by chunk, each with the end of the pause
    // before it may be asked again.
    std::map<std::uint32_t, std::map<std::string, base::time_point>> declined;
    // Chunks that other agents reported to hold, by agent.
    std::map<std::string, std::vector<bool>> holders;
    // By chunk.
    std::map<std::uint32_t, corrupt_record> corrupt_fetches;
    std::uint32_t corrupt_manifests = 0;
    // Agents that refuse the version because the origin's bytes do not match
    // its digest.
    std::set<std::string> refusals;
    bool refused = false;
};

// Strategy for distributing chunks. Swarm and origin are baselines that the
// forest is measured against.
enum class distribution
{
    forest,
    swarm,
    origin,
};

// An order to the engine whose effect is not known yet.
struct pending_order
{
    order_engine order;
    base::time_point sent;
    bool answered = false;
    // Number of endpoint reports to wait for before the engine's state counts
    // as known: the next report may have been read before the order took
    // effect.
    int reports_awaited = 0;
};

// Progress of waiting for other agents before this agent's engine switches to
// another version.
struct activation_wait
{
    base::time_point last_queried;
    // When an agent that is waited for last answered; initially when the wait
    // began, and set anew when an agent is skipped.
    base::time_point last_heard;
    // Number of preceding agents that were skipped because they did not
    // respond.
    std::size_t skipped = 0;
    bool predecessor_done = false;
};

struct weights_state
{
    weights::chunk_store store;
    distribution how = distribution::forest;
    weights::source_table peer_table;
    weights::origin_pace origin;
    weights::upload_queue uploads;
    base::time_point last_progress_sent;
    // Agents that requested a manifest before this agent had it, by digest.
    std::map<std::string, std::set<std::string>> manifest_waiters;
    std::map<std::string, transfer> transfers;
    // Digest that the engine serves, by model, as reported by the engine.
    std::map<std::string, std::string> serving;
    std::optional<pending_order> order;
    base::time_point order_not_before;
    // When the first plan arrived.
    std::optional<base::time_point> first_plan;
    // Models that accept no new requests because they are being drained or the
    // engine has an order for them.
    std::set<std::string> switching;
    // By digest.
    std::map<std::string, activation_wait> activation_waits;
    // Agents that were allowed to switch before this one because it was not
    // ready, by digest.
    std::map<std::string, std::set<std::string>> overtaken_by;
    std::uint64_t last_order = 0;
    // Peers that this agent has opened connections to for chunks.
    std::set<std::string> connected;
};

// An entry that subscribed to this agent's heartbeats.
struct listener
{
    base::time_point last_heard;
    // Incarnation of the entry process. A new process has none of the state
    // sent to its predecessor, so it needs a full heartbeat.
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds interval{1000};
    base::time_point last_heartbeat;
    // Hash of the detail in the last full heartbeat, and the number of brief
    // heartbeats sent since.
    std::uint64_t detail_hash = 0;
    std::uint32_t brief_heartbeats = 0;
};

struct control_state
{
    release::configuration configuration;
    weights::plan_set plans;
    std::map<std::string, listener> listeners;
    // Set when a change must be sent to the listeners with the next tick.
    bool heartbeat_due = false;
    bool stopping = false;
    core::drain drain;
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

// Processes one event and returns the actions to perform, in order.
std::vector<action>
step(state& state, event const& input, base::time_point now);

} // namespace foxtailvale::agent_core

#endif
