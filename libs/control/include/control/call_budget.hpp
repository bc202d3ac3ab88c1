#ifndef FOXTAILVALE_CONTROL_CALL_BUDGET_HPP
#define FOXTAILVALE_CONTROL_CALL_BUDGET_HPP

#include <base/ids.hpp>
#include <base/random.hpp>

#include <chrono>
#include <cstdint>

namespace foxtailvale::control
{

// Capacity of the token bucket, and tokens added per second. A watcher makes
// about two calls a second and all other processes make none; one more call
// covers the writes of a plan.
inline constexpr double call_burst = 8;
inline constexpr double calls_per_second = 4;

// A token bucket for calls to the platform. The platform counts every call, and
// its rate limits grow more slowly than the fleet. After an outage 410 nodes
// come back at once; without the bucket each would retry as fast as the
// platform refuses.
struct call_budget
{
    double tokens = call_burst;
    base::time_point filled;
    // Consecutive failed calls.
    std::uint32_t failures = 0;
};

// Takes a token; returns false when none is left.
bool take_call(call_budget& budget, base::time_point now);

// Shortest and longest pause after failed calls. The longest pause bounds how
// long a failure domain that was cut off goes without updates after it is
// reconnected: two seconds.
inline constexpr std::chrono::milliseconds shortest_pause{200};
inline constexpr std::chrono::milliseconds longest_pause{1600};

// Records the result of a call and returns the pause before the next one: zero
// after a success, otherwise a backoff that doubles with each failure. The
// pause is drawn at random from the upper half of the backoff, so that
// processes that failed together do not retry together.
std::chrono::milliseconds
note_call(call_budget& budget, bool answered, base::random_state& random);

} // namespace foxtailvale::control

#endif
