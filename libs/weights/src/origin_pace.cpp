#include <weights/origin_pace.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// Draws of one agent at once: the second hides the first one's round trip.
constexpr std::uint32_t most_running = 2;

// Earlier chunks of the region that may be missing. 2 MiB in chunks of 256 KiB
// fill a link of 20 Mbit/s for most of a second, which covers a chunk's way
// through the tree; more would only make all of them late.
constexpr std::uint32_t most_missing = 8;

// When no chunk has come for this long, those before are taken to be stuck
// with importers that are gone, and the next ones go ahead.
constexpr milliseconds stuck_limit{1500};

constexpr milliseconds first_pause{500};
constexpr std::uint32_t most_doublings = 6;
constexpr std::uint32_t most_doublings_refused = 2;
constexpr std::uint32_t most_failures = 3;

// An agent that draws in another's place tries the origin again after this.
constexpr milliseconds suspicion_time{30'000};

} // namespace

bool may_fetch_from_origin(
    origin_pace const& pace, import_slot const& turn, base::time_point now)
{
    if (now < pace.not_before || pace.running >= most_running ||
        (pace.failures_in_a_row > 0 && pace.running > 0))
    {
        return false;
    }
    if (!turn.in_turn)
    {
        return true;
    }
    if (turn.missing_before >= most_missing &&
        now - turn.last_chunk < stuck_limit)
    {
        return false;
    }
    if (pace.bytes_per_second == 0)
    {
        return true;
    }
    std::chrono::duration<double> const slot(
        static_cast<double>(turn.chunk_bytes) * turn.transfers /
        pace.bytes_per_second);
    std::chrono::duration<double> const passed = now - turn.started;
    return passed >= turn.index * slot;
}

void note_origin_fetch_started(origin_pace& pace)
{
    ++pace.running;
}

void note_origin_fetch_ended(
    origin_pace& pace,
    origin_fetch_outcome outcome,
    base::random_state& random,
    base::time_point now)
{
    pace.running -= pace.running > 0 ? 1 : 0;
    if (outcome == origin_fetch_outcome::good)
    {
        pace.failures_in_a_row = 0;
        return;
    }
    auto const doublings = std::min(
        pace.failures_in_a_row, outcome == origin_fetch_outcome::refused
                                    ? most_doublings_refused
                                    : most_doublings);
    ++pace.failures_in_a_row;
    pace.last_failure = now;
    auto const longest = static_cast<std::uint64_t>(first_pause.count())
                         << doublings;
    auto const pause = longest / 2 + base::random_below(random, longest / 2);
    pace.not_before = now + milliseconds(pause);
}

bool suspects_origin(origin_pace const& pace, base::time_point now)
{
    return pace.failures_in_a_row > 0 &&
           now - pace.last_failure < suspicion_time;
}

bool should_decline(origin_pace const& pace)
{
    return pace.failures_in_a_row >= most_failures;
}

} // namespace foxtailvale::weights
