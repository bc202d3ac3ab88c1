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
    core::drain_limits drain_limits;
};

// An attempt that the endpoint runs.
struct running_attempt
{
    std::string entry;
    std::string model;
    std::string digest;
    std::uint32_t next_sequence = 0;
    // Set when it came with a token: its outcome is remembered.
    bool remembered = false;
    std::uint64_t fingerprint = 0;
};

// An attempt that the endpoint broke off.
struct lost_attempt
{
    std::uint64_t fingerprint = 0;
    base::time_point time;
};

// A slot that waits for the body of a non-idempotent request.
struct reservation
{
    std::string entry;
    std::uint64_t token = 0;
    base::time_point expires;
};

// What became of a non-idempotent attempt.
struct outcome
{
    wire::OutcomeReply answer;
    base::time_point ended;
};

// Requests: the gate and what runs behind it.
struct request_state
{
    request::gate gate;
    std::map<base::attempt_id, running_attempt> running;
    std::map<base::attempt_id, reservation> reservations;
    std::map<base::attempt_id, outcome> outcomes;
    // Oldest first, for forgetting.
    std::deque<base::attempt_id> outcome_order;
    std::size_t outcome_bytes = 0;
    std::deque<lost_attempt> losses;
};

// A chunk that was asked for and has not come.
struct pending_chunk
{
    // Empty for the origin.
    std::string agent;
    base::time_point asked;
    // Since when the source is known to hold it.
    std::optional<base::time_point> held_since;
};

// How often the origin sent other bytes than a chunk's, and since when.
struct corrupt_record
{
    std::uint32_t draws = 0;
    base::time_point first;
};

// One version on its way to this agent.
struct transfer
{
    std::string digest;
    base::time_point started;
    // When the manifest came and when it was last asked for.
    base::time_point described;
    base::time_point manifest_asked;
    bool manifest_drawn = false;
    // When a chunk came last, from anywhere.
    base::time_point last_chunk;
    std::map<std::uint32_t, pending_chunk> pending;
    // Computed from the plans in force, by chunk.
    std::map<std::uint32_t, std::optional<weights::chunk_sources>> sources;
    // Sources that will not give a chunk, and until when.
    std::map<std::uint32_t, std::map<std::string, base::time_point>> declined;
    // Chunks that other agents said they hold, by agent.
    std::map<std::string, std::vector<bool>> holders;
    // By chunk.
    std::map<std::uint32_t, corrupt_record> corrupt_draws;
    std::uint32_t corrupt_manifests = 0;
    // Agents that refuse the version because the origin's bytes are wrong.
    std::set<std::string> refusals;
    bool refused = false;
};

// How chunks are distributed; all but the forest are baselines to measure it
// against.
enum class distribution
{
    forest,
    swarm,
    origin,
};

// An order that is under way.
struct pending_order
{
    order_engine order;
    base::time_point sent;
    bool answered = false;
    // Reports to come before the engine's state is taken as known: one may
    // have been read before the order took effect.
    int reports_awaited = 0;
};

// Whose move a move to another version waits for.
struct activation_wait
{
    base::time_point asked;
    // When the agent waited for was first asked, or was heard last.
    base::time_point heard;
    // Agents further up that were passed over because they were silent.
    std::size_t skipped = 0;
    bool predecessor_done = false;
};

struct weights_state
{
    weights::chunk_store store;
    distribution how = distribution::forest;
    weights::source_table book;
    weights::origin_pace origin;
    weights::upload_queue uploads;
    base::time_point last_progress_note;
    // Agents that asked for a manifest before it was there, by digest.
    std::map<std::string, std::set<std::string>> manifest_waiters;
    std::map<std::string, transfer> transfers;
    // Digest that serves, by model; as the engine reported it.
    std::map<std::string, std::string> serving;
    std::optional<pending_order> order;
    base::time_point order_not_before;
    // When the first plan came.
    std::optional<base::time_point> first_plan;
    // Models whose gate is closed: they are drained or their engine is ordered.
    std::set<std::string> switching;
    // By digest.
    std::map<std::string, activation_wait> waits;
    // Agents that moved before this one, which was not ready, by digest.
    std::map<std::string, std::set<std::string>> passed;
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

// Takes one event and returns what to do, in order.
std::vector<action>
step(state& state, event const& input, base::time_point now);

} // namespace foxtailvale::agent_core

#endif
