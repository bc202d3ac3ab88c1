#include <direct/shares.hpp>

#include <algorithm>
#include <cmath>

namespace foxtailvale::direct
{

namespace
{

// Part of a bound that is handed out. The rest covers requests of one second
// that arrive in the next and entries that have just come.
constexpr double used_part = 0.8;

std::int64_t second_of(base::time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               now.time_since_epoch())
        .count();
}

std::size_t slot_of(std::int64_t second)
{
    return static_cast<std::size_t>(second) % retry_window::most_seconds;
}

void advance(retry_window& state, base::time_point now)
{
    auto const second = second_of(now);
    auto const first = std::max(
        state.second + 1,
        second - static_cast<std::int64_t>(retry_window::most_seconds) + 1);
    for (auto passed = first; passed <= second; ++passed)
    {
        state.requests[slot_of(passed)] = 0;
        state.repeats[slot_of(passed)] = 0;
    }
    state.second = std::max(state.second, second);
}

} // namespace

std::size_t sharers(entry_count const& count)
{
    return count.most_seen > 0 ? count.most_seen : count.assumed;
}

void note_entries(entry_count& count, std::size_t alive)
{
    count.most_seen = std::max(count.most_seen, alive);
}

bool may_send_within_part(
    std::deque<base::time_point> const& recent,
    cold_bound const& bound,
    std::size_t entries,
    base::time_point now)
{
    if (bound.per_second <= 0)
    {
        return true;
    }
    auto const part = used_part * (bound.per_second + bound.tolerance) /
                      static_cast<double>(entries);
    // A part below one request a second is one request in a longer time.
    auto const span = std::chrono::duration<double>(std::max(1.0, 1 / part));
    auto const allowed = static_cast<std::size_t>(std::max(1.0, part));
    auto const begun = std::ranges::count_if(
        recent,
        [now, span](base::time_point at)
        {
            return now - at <= span;
        });
    return static_cast<std::size_t>(begun) < allowed;
}

void note_request(retry_window& state, base::time_point now)
{
    advance(state, now);
    ++state.requests[slot_of(state.second)];
}

bool spend_repeat(
    retry_window& state,
    retry_bound const& bound,
    std::size_t entries,
    base::time_point now)
{
    advance(state, now);
    double requests = 0;
    double repeats = 0;
    for (std::int64_t back = 0; back < bound.window.count(); ++back)
    {
        requests += state.requests[slot_of(state.second - back)];
        repeats += state.repeats[slot_of(state.second - back)];
    }
    auto const allowed =
        used_part *
        (bound.ratio * requests + bound.slack / static_cast<double>(entries));
    if (repeats + 1 > allowed)
    {
        return false;
    }
    ++state.repeats[slot_of(state.second)];
    return true;
}

} // namespace foxtailvale::direct
