#include <weights/origin_pace.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// Concurrent fetches of one agent from the origin: the second hides the round
// trip of the first.
constexpr std::uint32_t max_running = 2;

// Limit of preceding chunks of the region that may be missing. 2 MiB in chunks
// of 256 KiB fill a link of 20 Mbit/s for most of a second, which covers a
// chunk's way through the tree; a higher limit would only delay all chunks.
constexpr std::uint32_t max_missing = 8;

// When no chunk has arrived for this long, the missing chunks are assumed to be
// stuck at importers that are gone, and later chunks proceed.
constexpr milliseconds stall_limit{1500};

constexpr milliseconds first_pause{500};
constexpr std::uint32_t max_doublings = 6;
constexpr std::uint32_t max_doublings_refused = 2;
constexpr std::uint32_t max_failures = 3;

// After this time an agent that fetches in place of another tries the origin
// again.
constexpr milliseconds suspicion_lifetime{30'000};

} // namespace

bool may_fetch_from_origin(
    origin_pace const& pace, import_slot const& wanted, base::time_point now)
{
    if (now < pace.not_before || pace.running >= max_running ||
        (pace.failures_in_a_row > 0 && pace.running > 0))
    {
        return false;
    }
    if (!wanted.in_turn)
    {
        return true;
    }
    if (wanted.missing_before >= max_missing &&
        now - wanted.last_chunk < stall_limit)
    {
        return false;
    }
    if (pace.bytes_per_second == 0)
    {
        return true;
    }
    std::chrono::duration<double> const slot_time(
        static_cast<double>(wanted.chunk_bytes) * wanted.transfers /
        pace.bytes_per_second);
    std::chrono::duration<double> const passed = now - wanted.started;
    return passed >= wanted.index * slot_time;
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
                                    ? max_doublings_refused
                                    : max_doublings);
    ++pace.failures_in_a_row;
    pace.last_failure = now;
    auto const max_pause = static_cast<std::uint64_t>(first_pause.count())
                           << doublings;
    auto const pause =
        max_pause / 2 + base::random_below(random, max_pause / 2);
    pace.not_before = now + milliseconds(pause);
}

bool suspects_origin(origin_pace const& pace, base::time_point now)
{
    return pace.failures_in_a_row > 0 &&
           now - pace.last_failure < suspicion_lifetime;
}

bool should_decline(origin_pace const& pace)
{
    return pace.failures_in_a_row >= max_failures;
}

} // namespace foxtailvale::weights
