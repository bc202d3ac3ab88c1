#ifndef FOXTAILVALE_WEIGHTS_ORIGIN_PACE_HPP
#define FOXTAILVALE_WEIGHTS_ORIGIN_PACE_HPP

#include <base/ids.hpp>
#include <base/random.hpp>

#include <chrono>
#include <cstdint>

namespace foxtailvale::weights
{

// One agent's draws from the origin, over all transfers.
struct origin_pace
{
    // Rate that a region's importers together may draw at, in bytes a second;
    // zero when the way to the origin is not narrow.
    double bytes_per_second = 0;
    std::uint32_t running = 0;
    std::uint32_t failures_in_a_row = 0;
    base::time_point last_failure;
    base::time_point not_before;
};

// How a draw ended.
enum class origin_fetch_outcome
{
    good,
    // The store is there and allows no more reads now.
    refused,
    failed,
};

// One chunk whose turn at the origin is asked for.
struct import_slot
{
    // When the transfer began.
    base::time_point started;
    std::uint32_t index = 0;
    std::uint32_t chunk_bytes = 0;
    // Chunks before this one that have not come yet.
    std::uint32_t missing_before = 0;
    // Transfers that share the way to the origin.
    std::uint32_t transfers = 1;
    // When a chunk came last, from anywhere.
    base::time_point last_chunk;
    // False for baselines that know no turns.
    bool in_turn = true;
};

// Whether the chunk may be drawn now. Made for importers that share a narrow
// link with live requests and never talk about it: each draws its chunk in the
// chunk's own time slot, counted from the transfer's start at the rate that is
// left to weights, and only while few earlier chunks are missing. So the link
// is asked for no more than its share, whoever imports, and when it yields
// less the draws slow down with it.
bool may_fetch_from_origin(
    origin_pace const& pace, import_slot const& turn, base::time_point now);

void note_origin_fetch_started(origin_pace& pace);

// The draw ended; after a refusal or failure the agent leaves the origin alone
// for a time that doubles and is drawn at random, so that an outage does not
// end in a stampede. After refusals it grows less: the store gives something to
// somebody all the time, and long pauses would leave that unused.
void note_origin_fetch_ended(
    origin_pace& pace,
    origin_fetch_outcome outcome,
    base::random_state& random,
    base::time_point now);

// Whether the origin failed this agent lately and has given nothing since: it
// is taken to be down for others too, and nobody draws in another's place.
bool suspects_origin(origin_pace const& pace, base::time_point now);

// Whether the origin has failed this agent for so long that another should
// try in its place.
bool should_decline(origin_pace const& pace);

} // namespace foxtailvale::weights

#endif
