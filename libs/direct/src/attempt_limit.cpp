#include <direct/attempt_limit.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

using routing::retry_safety;
using std::chrono::milliseconds;

// Time to the first byte after which a request that may run twice leaves an
// unresponsive endpoint. An endpoint that sends to nobody is lost; one that
// sends to other callers has the request in its queue. Failure: under full load
// queued requests were timed out, and each retry displaced another request.
constexpr int first_byte_goals = 2;
constexpr milliseconds min_first_byte{600};
constexpr milliseconds max_first_byte{1600};

// Gap in a stream after which it is resumed elsewhere. Callers count a gap
// above the route's goal as late, and endpoints that are merely busy pause for
// less than this.
constexpr int gap_goals = 3;
constexpr milliseconds min_gap{700};

// Callers of a stream disconnect after this time without an event, also before
// the first one: the longest of the three values.
constexpr milliseconds min_caller_timeout{2000};
constexpr int caller_timeout_goals = 4;
constexpr int caller_timeout_gaps = 8;

// The caller is notified this long before it would disconnect; the answer takes
// a few milliseconds to arrive.
constexpr milliseconds notify_margin{300};

bool is_last_attempt(attempt_progress const& attempt)
{
    return attempt.repeats == retry_safety::non_idempotent ||
           attempt.runs + 1 >=
               std::max<std::uint32_t>(attempt.most_attempts, 1);
}

// Returns when an attempt that this entry or the caller can retry has been
// unresponsive for long enough.
base::time_point silence_deadline(attempt_progress const& attempt)
{
    if (attempt.events > 0)
    {
        auto const gap = std::max(min_gap, attempt.gap_goal * gap_goals);
        return attempt.last_byte + (attempt.lost ? gap : 2 * gap);
    }
    auto const first_byte =
        std::max(min_first_byte, attempt.goal * first_byte_goals);
    return attempt.begun +
           (attempt.lost ? first_byte : std::max(first_byte, max_first_byte));
}

milliseconds caller_timeout(attempt_progress const& attempt)
{
    return std::max(
        {min_caller_timeout, attempt.goal * caller_timeout_goals,
         attempt.gap_goal * caller_timeout_gaps});
}

// Returns the latest time at which the caller of a stream must be told that the
// endpoint is lost.
base::time_point notify_by(attempt_progress const& attempt)
{
    return attempt.caller_heard + caller_timeout(attempt) - notify_margin;
}

} // namespace

bool is_lost(endpoint_state const& state, base::time_point now)
{
    auto const agent_unresponsive = state.report && !is_fresh(state, now);
    auto const engine_unreachable =
        is_fresh(state, now) && state.report->unreachable;
    return is_stalled(state, now) || agent_unresponsive || engine_unreachable;
}

bool is_unreachable(endpoint_state const& state, base::time_point now)
{
    return is_lost(state, now) && !is_reported_reachable(state, now);
}

bool is_lost_for(
    endpoint_state const& state, bool answer_begun, base::time_point now)
{
    return answer_begun ? is_unreachable(state, now) : is_lost(state, now);
}

std::optional<base::time_point>
attempt_deadline(attempt_progress const& attempt)
{
    if (attempt.answer_begun)
    {
        return attempt.lost ? std::optional(notify_by(attempt)) : std::nullopt;
    }
    auto const is_last = is_last_attempt(attempt);
    if (is_last && !attempt.lost)
    {
        return std::nullopt;
    }
    if (attempt.repeats == retry_safety::non_idempotent)
    {
        // A plain request cannot be retried by anybody, and its answer may
        // still arrive before the caller's deadline.
        return attempt.streams ? std::optional(notify_by(attempt))
                               : std::nullopt;
    }
    auto const silent_until = silence_deadline(attempt);
    return attempt.streams && attempt.lost
               ? std::min(silent_until, notify_by(attempt))
               : silent_until;
}

bool is_resume_due(attempt_progress const& attempt, base::time_point now)
{
    auto const is_resumable =
        attempt.repeats == retry_safety::resumable && attempt.answer_begun;
    return is_resumable && attempt.lost && !is_last_attempt(attempt) &&
           now >= silence_deadline(attempt) &&
           now < attempt.caller_heard + caller_timeout(attempt) / 2;
}

} // namespace foxtailvale::direct
