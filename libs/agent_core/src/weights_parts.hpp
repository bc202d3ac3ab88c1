#ifndef FOXTAILVALE_AGENT_CORE_WEIGHTS_PARTS_HPP
#define FOXTAILVALE_AGENT_CORE_WEIGHTS_PARTS_HPP

#include "flows.hpp"

// Functions shared by the flows that handle weights: transfers, manifests,
// uploads and orders to the engine.
namespace foxtailvale::agent_core
{

// This endpoint's entry in the plan of its domain; null when it has none.
control::plan_endpoint const* own_plan_entry(state const& state);

// Whether the plan assigns the version to this agent.
bool is_assigned(state const& state, std::string const& digest);

// Connects to the peer unless that was done before.
void connect_source(
    state& state, weights::chunk_source const& source, actions& out);

// Declines a request for one chunk.
void decline_chunk(
    weights::upload const& request, base::error_kind reason, actions& out);

// Bitmap of the chunks of a version that this agent holds: one bit each, least
// significant bit first; empty for an unknown version.
std::string held_bitmap(state const& state, std::string const& digest);
std::vector<bool> read_bitmap(std::string const& bits);

// Outcome of a fetch from the origin, derived from its error; good without one.
weights::origin_fetch_outcome
outcome_of(std::optional<base::error> const& failure);

// Requests the missing manifest from the origin and from neighbours once each
// is due.
void request_manifest(
    state& state, transfer& transfer, base::time_point now, actions& out);

// Asks neighbours which chunks they hold of a version whose manifest has
// arrived.
void request_holdings(
    state& state, transfer& transfer, base::time_point now, actions& out);

// Starts requesting chunks after the manifest has arrived.
void begin_chunks(
    state& state, transfer& transfer, base::time_point now, actions& out);

// Refuses a version whose bytes at the origin do not match its digest, and
// declines the requests of agents that wait for its chunks.
void refuse_version(state& state, transfer& transfer, actions& out);

// Whether this agent's engine may now switch from the version it serves to the
// wanted one. Queries the agents that must switch first.
bool may_activate(
    state& state,
    control::assigned_model const& wanted,
    base::time_point now,
    actions& out);

// Sends the queued chunks that the upload limits allow.
void send_uploads(state& state, base::time_point now, actions& out);

// Chooses a source by one of the baseline strategies that the forest is
// measured against; nothing when there is none at the moment.
std::optional<weights::chunk_source>
baseline_source(state& state, transfer const& transfer, std::uint32_t index);

// Sends the bitmap of held chunks to some agents chosen at random (swarm
// baseline).
void gossip_holdings(state& state, actions& out);

// Whether the bitmap contains the chunk.
bool holds(std::vector<bool> const& held, std::uint32_t index);

// Stops waiting for a requested chunk and releases its slot at the source.
void drop_pending(state& state, transfer& transfer, std::uint32_t index);

// Requests missing chunks, each from its best source, within the limits.
void request_missing_chunks(
    state& state, transfer& transfer, base::time_point now, actions& out);

// The source for a chunk according to the plans and the current observations;
// nothing when the plan does not assign the version to this agent, or while
// plans of other domains of its region are awaited.
std::optional<weights::chunk_source> best_source(
    state const& state,
    transfer& transfer,
    std::uint32_t index,
    base::time_point now);

} // namespace foxtailvale::agent_core

#endif
