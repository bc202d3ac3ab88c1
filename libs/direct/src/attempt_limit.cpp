#include <direct/attempt_limit.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

using routing::retry_safety;
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

// Callers of a stream leave after this silence, also before its first event:
// the longest of the three.
constexpr milliseconds least_patience{2000};
constexpr int patience_goals = 4;
constexpr int patience_gaps = 8;

// The caller is told this long before, with the answer on its way for a few
// milliseconds.
constexpr milliseconds told_ahead{300};

bool is_last_attempt(attempt_progress const& attempt)
{
    return attempt.repeats == retry_safety::non_idempotent ||
           attempt.runs + 1 >=
               std::max<std::uint32_t>(attempt.most_attempts, 1);
}

// When an attempt that may be followed by another, of this entry or of the
// caller, has been silent for long enough.
base::time_point silence_limit(attempt_progress const& attempt)
{
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

// When the caller of a stream hears that the endpoint is lost at the latest.
base::time_point told_by(attempt_progress const& attempt)
{
    auto const patience = std::max(
        {least_patience, attempt.goal * patience_goals,
         attempt.gap_goal * patience_gaps});
    return attempt.caller_heard + patience - told_ahead;
}

} // namespace

bool is_lost(endpoint_state const& state, base::time_point now)
{
    auto const agent_silent = state.report && !is_fresh(state, now);
    auto const agent_says = is_fresh(state, now) && state.report->unreachable;
    return is_stalled(state, now) || agent_silent || agent_says;
}

std::optional<base::time_point> attempt_deadline(attempt_progress const& attempt)
{
    auto const is_last = is_last_attempt(attempt);
    if (is_last && !attempt.lost)
    {
        return std::nullopt;
    }
    if (attempt.repeats == retry_safety::non_idempotent)
    {
        // A plain request cannot be asked again by anybody; an answer may still
        // come before its caller's time is up.
        return attempt.streams ? std::optional(told_by(attempt)) : std::nullopt;
    }
    auto const silent_until = silence_limit(attempt);
    return attempt.streams && attempt.lost
               ? std::min(silent_until, told_by(attempt))
               : silent_until;
}

} // namespace foxtailvale::direct
