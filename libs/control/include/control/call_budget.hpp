#ifndef FOXTAILVALE_CONTROL_CALL_BUDGET_HPP
#define FOXTAILVALE_CONTROL_CALL_BUDGET_HPP

#include <base/ids.hpp>
#include <base/random.hpp>

#include <chrono>
#include <cstdint>

namespace foxtailvale::control
{

// Calls that may be made at once, and each second after that. A watcher makes
// about two a second, all others none; one more covers a plan's writes.
inline constexpr double call_burst = 8;
inline constexpr double calls_per_second = 4;

// A token bucket for calls to the platform, which counts each one and whose
// rates grow more slowly than the fleet. Made for 410 nodes that all come back
// at the end of an outage: without it each would retry as fast as the platform
// refuses.
struct call_budget
{
    double tokens = call_burst;
    base::time_point filled;
    // Calls in a row that failed.
    std::uint32_t failures = 0;
};

// Takes a token; false when there is none.
bool take_call(call_budget& budget, base::time_point now);

// Shortest and longest pause after calls that failed. The longest keeps a
// domain that was cut off within two seconds of news once it is back.
inline constexpr std::chrono::milliseconds shortest_pause{200};
inline constexpr std::chrono::milliseconds longest_pause{1600};

// Notes how a call went and returns how long to wait before the next one:
// nothing after success; else twice as long with each failure, and at random
// from half of that, so that processes that failed together do not return
// together.
std::chrono::milliseconds
note_call(call_budget& budget, bool answered, base::random_state& random);

} // namespace foxtailvale::control

#endif
