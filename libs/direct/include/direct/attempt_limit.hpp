#ifndef FOXTAILVALE_DIRECT_ATTEMPT_LIMIT_HPP
#define FOXTAILVALE_DIRECT_ATTEMPT_LIMIT_HPP

#include <base/ids.hpp>
#include <direct/endpoint_table.hpp>
#include <routing/configuration.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

// Time limits for attempts at endpoints that send nothing.
namespace foxtailvale::direct
{

// State of an attempt on an open connection, as seen by its entry.
struct attempt_progress
{
    routing::retry_safety repeats = routing::retry_safety::non_idempotent;
    bool streams = false;
    // Latency goals of the route: for the answer or a stream's first event, and
    // for the gap between two events.
    std::chrono::milliseconds goal{0};
    std::chrono::milliseconds gap_goal{0};
    // Number of endpoints on which earlier attempts ran or may have run, and
    // the maximum allowed.
    std::uint32_t runs = 0;
    std::uint32_t most_attempts = 1;
    // Events of this attempt that were forwarded to the caller.
    std::uint32_t events = 0;
    // The caller has received the beginning of the answer, from this attempt or
    // an earlier one.
    bool answer_begun = false;
    base::time_point begun;
    base::time_point last_byte;
    // Time of the caller's request or of the last event sent to the caller.
    base::time_point caller_heard;
    // The endpoint no longer sends to any caller (see is_lost_for).
    bool lost = false;
};

// Whether the endpoint is believed to send to no caller any more: it owes
// answers and has stalled, its agent is unresponsive, or its agent cannot reach
// it.
bool is_lost(endpoint_state const& state, base::time_point now);

// Whether the endpoint is lost and its agent did not report lately that it
// reaches it. Failure: a pass of an engine that works at less than half of its
// published speed and reads long prompts lasts for over a second, in which it
// sends nothing. It counted as lost, and its streams were broken off.
bool is_unreachable(endpoint_state const& state, base::time_point now);

// Whether an attempt at the endpoint is one at a lost endpoint. An answer that
// has begun goes by is_unreachable, as it continues when the pass ends. A
// request without an event goes by is_lost. Failure: requests waited in the
// queues of engines in long passes until their callers disconnected, machines
// were paused meanwhile, and the engines ran what they had read.
bool is_lost_for(
    endpoint_state const& state, bool answer_begun, base::time_point now);

// Returns the time at which the attempt times out unless the endpoint sends
// something before then; nothing if the attempt may wait until the request's
// own deadline.
//
// The last attempt times out only at a lost endpoint, and its caller is told
// that the request may have run. Failure: requests that were retried at a
// second paused machine waited there until their callers disconnected, and the
// engines then ran the requests that they had read although nobody waited for
// the answers. A caller that is notified in time can send the request again.
//
// An answer that has begun times out only at a lost endpoint, just before its
// caller would disconnect. Failure: an endpoint sent nothing for over a second,
// and streams that it was about to continue were broken off.
std::optional<base::time_point>
attempt_deadline(attempt_progress const& attempt);

// Whether a stream that has begun is to be resumed at another endpoint now if
// one has room: its endpoint is lost, and there is time left for the other one
// to continue before the caller disconnects.
bool is_resume_due(attempt_progress const& attempt, base::time_point now);

} // namespace foxtailvale::direct

#endif
