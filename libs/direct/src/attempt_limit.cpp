#include <direct/attempt_limit.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

using routing::repetition;
using std::chrono::milliseconds;

// Time to the first byte after which a silent endpoint is given up, for
// requests that may run twice: one that sends to nobody is gone, one that sends
// to others has the request in its queue. Failure: under full load requests
// were given up while they waited, and each repeat took the place of another.
constexpr int first_byte_goals = 2;
constexpr milliseconds least_first_byte{600};
constexpr milliseconds longest_first_byte{1600};

// Silence in the middle of a stream after which it goes on elsewhere: callers
// count a pause over the route's gap goal as late, and endpoints that are
// merely busy pause for less than this.
constexpr int gap_goals = 3;
constexpr milliseconds least_gap{700};

} // namespace

bool is_lost(endpoint_state const& state, base::time_point now)
{
    auto const agent_silent = state.report && !is_fresh(state, now);
    auto const agent_says = is_fresh(state, now) && state.report->unreachable;
    return is_stalled(state, now) || agent_silent || agent_says;
}

std::optional<base::time_point> give_up_at(attempt_progress const& attempt)
{
    if (attempt.repeats == repetition::non_idempotent ||
        attempt.runs + 1 >= std::max<std::uint32_t>(attempt.most_attempts, 1))
    {
        return std::nullopt;
    }
    if (attempt.events > 0)
    {
        auto const gap = std::max(least_gap, attempt.gap_goal * gap_goals);
        return attempt.last_byte + (attempt.lost ? gap : 2 * gap);
    }
    auto const soon =
        std::max(least_first_byte, attempt.goal * first_byte_goals);
    return attempt.begun +
           (attempt.lost ? soon : std::max(soon, longest_first_byte));
}

} // namespace foxtailvale::direct
