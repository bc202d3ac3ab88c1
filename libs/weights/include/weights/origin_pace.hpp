#ifndef FOXTAILVALE_WEIGHTS_ORIGIN_PACE_HPP
#define FOXTAILVALE_WEIGHTS_ORIGIN_PACE_HPP

#include <base/ids.hpp>
#include <base/random.hpp>

#include <chrono>
#include <cstdint>

namespace foxtailvale::weights
{

// Rate limit of one agent's fetches from the origin, across all transfers.
struct origin_pace
{
    // Rate in bytes a second available to all importers of a region together;
    // zero when the path to the origin needs no limit.
    double bytes_per_second = 0;
    std::uint32_t running = 0;
    std::uint32_t failures_in_a_row = 0;
    base::time_point last_failure;
    base::time_point not_before;
};

enum class origin_fetch_outcome
{
    good,
    // The weight store is reachable but rejects further reads for now.
    refused,
    failed,
};

// A chunk to be fetched from the origin, and its time slot.
struct import_slot
{
    // When the transfer began.
    base::time_point started;
    std::uint32_t index = 0;
    std::uint32_t chunk_bytes = 0;
    // Preceding chunks that have not arrived yet.
    std::uint32_t missing_before = 0;
    // Transfers that share the path to the origin.
    std::uint32_t transfers = 1;
    // When the last chunk arrived from any source.
    base::time_point last_chunk;
    // False for baseline strategies that do not use time slots.
    bool in_turn = true;
};

// Whether the chunk may be fetched from the origin now. Importers share a
// narrow link with live requests and do not coordinate with each other. Each
// fetches a chunk only in that chunk's time slot, counted from the start of the
// transfer at the rate reserved for weights, and only while few preceding
// chunks are missing. The load on the link thus stays within its share
// whichever agents import, and when the link yields less, the fetches slow down
// with it.
bool may_fetch_from_origin(
    origin_pace const& pace, import_slot const& wanted, base::time_point now);

void note_origin_fetch_started(origin_pace& pace);

// Records the end of a fetch. After a refusal or failure the agent leaves the
// origin alone for a randomised pause that doubles with each failure, so that
// the end of an outage does not cause a thundering herd. After refusals the
// pause grows less: the store still serves some reads all the time, and long
// pauses would leave that capacity unused.
void note_origin_fetch_ended(
    origin_pace& pace,
    origin_fetch_outcome outcome,
    base::random_state& random,
    base::time_point now);

// Whether the origin failed this agent recently and has delivered nothing
// since. It is then assumed to be down for other agents too, and no agent
// fetches in place of another.
bool suspects_origin(origin_pace const& pace, base::time_point now);

// Whether the origin has failed this agent so often that another agent should
// fetch in its place.
bool should_decline(origin_pace const& pace);

} // namespace foxtailvale::weights

#endif
