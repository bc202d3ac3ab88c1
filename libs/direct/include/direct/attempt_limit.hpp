#ifndef FOXTAILVALE_DIRECT_ATTEMPT_LIMIT_HPP
#define FOXTAILVALE_DIRECT_ATTEMPT_LIMIT_HPP

#include <base/ids.hpp>
#include <direct/endpoint_table.hpp>
#include <routing/configuration.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

// How long an attempt at an endpoint that sends nothing is waited for.
namespace foxtailvale::direct
{

// An attempt whose connection is open, as its entry sees it.
struct attempt_progress
{
    routing::retry_safety repeats = routing::retry_safety::non_idempotent;
    bool streams = false;
    // What callers of the route expect to wait: for the answer or a stream's
    // first event, and between two events.
    std::chrono::milliseconds goal{0};
    std::chrono::milliseconds gap_goal{0};
    // Endpoints on which earlier attempts ran or may have run, and the most
    // that may.
    std::uint32_t runs = 0;
    std::uint32_t most_attempts = 1;
    // Events of this attempt that were passed on.
    std::uint32_t events = 0;
    base::time_point begun;
    base::time_point last_byte;
    // When the caller asked, or got its last event.
    base::time_point caller_heard;
    // The endpoint sends to nobody any more.
    bool lost = false;
};

// Whether the endpoint sends to nobody any more, as far as it is known: it owes
// answers and is silent, or its agent is silent or cannot reach it.
bool is_lost(endpoint_state const& state, base::time_point now);

// When the attempt is given up unless the endpoint sends something before;
// nothing when it is waited for until the request's time is up.
//
// The last attempt is given up at a lost endpoint only, and its caller told
// that it may have run. Failure: callers whose requests had been repeated at a
// second machine that stood still waited there until they left, and the engines
// ran for nobody what they had read. Who is told in time asks again.
std::optional<base::time_point> attempt_deadline(attempt_progress const& attempt);

} // namespace foxtailvale::direct

#endif
