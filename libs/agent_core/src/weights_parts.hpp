#ifndef FOXTAILVALE_AGENT_CORE_WEIGHTS_PARTS_HPP
#define FOXTAILVALE_AGENT_CORE_WEIGHTS_PARTS_HPP

#include "flows.hpp"

// What the flows of weights have in common: transfers, manifests, uploads and
// orders to the engine.
namespace foxtailvale::agent_core
{

// The endpoint's part of the plan of its domain.
control::plan_endpoint const* own_part(state const& state);

// Whether the plan gives the version to this agent.
bool is_assigned(state const& state, std::string const& digest);

// Connects to a peer once.
void connect_source(
    state& state, weights::chunk_source const& source, actions& out);

// Sends a refusal of one chunk.
void decline_chunk(
    weights::upload const& request, base::error_kind reason, actions& out);

// The chunks of a version that this agent holds, one bit each.
std::string held_bitmap(state const& state, std::string const& digest);
std::vector<bool> read_bitmap(std::string const& bits);

// How a draw ended, from its error; good when there is none.
weights::origin_fetch_outcome
outcome_of(std::optional<base::error> const& failure);

// Asks for a manifest that is still missing, when it is time.
void ask_for_manifest(
    state& state, transfer& transfer, base::time_point now, actions& out);

// Asks neighbours what they hold of a version whose manifest is there.
void ask_for_holdings(
    state& state, transfer& transfer, base::time_point now, actions& out);

// The manifest is there: asks for the first chunks.
void begin_chunks(
    state& state, transfer& transfer, base::time_point now, actions& out);

// Gives up a version whose bytes at the origin are wrong and tells those who
// wait for it.
void refuse_version(state& state, transfer& transfer, actions& out);

// Whether this agent's engine may leave the version that it serves for the
// wanted one now; asks those whose move it waits for.
bool may_move(
    state& state,
    control::assigned_model const& wanted,
    base::time_point now,
    actions& out);

// Sends what may be sent.
void send_uploads(state& state, base::time_point now, actions& out);

// A source by one of the baselines that the forest is measured against;
// nothing when there is none for now.
std::optional<weights::chunk_source>
baseline_source(state& state, transfer const& transfer, std::uint32_t index);

// Tells some agents at random what this one holds, as a swarm does.
void gossip_holdings(state& state, actions& out);

// Whether a bitmap has the chunk.
bool holds(std::vector<bool> const& held, std::uint32_t index);

// A chunk that was asked for is no longer awaited.
void drop_pending(state& state, transfer& transfer, std::uint32_t index);

// Asks for missing chunks, each from its best source, as far as the limits go.
void ask_for_more(
    state& state, transfer& transfer, base::time_point now, actions& out);

// The source from which the plans and what is known now would have a chunk
// drawn; nothing when the plan does not give the version to this agent.
std::optional<weights::chunk_source> best_source(
    state const& state,
    transfer& transfer,
    std::uint32_t index,
    base::time_point now);

} // namespace foxtailvale::agent_core

#endif
