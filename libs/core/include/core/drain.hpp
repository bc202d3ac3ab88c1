#ifndef FOXTAILVALE_CORE_DRAIN_HPP
#define FOXTAILVALE_CORE_DRAIN_HPP

#include <base/ids.hpp>

#include <chrono>
#include <optional>

namespace foxtailvale::core
{

// How long the parts of an orderly stop last.
struct drain_limits
{
    // For how long new work may still come from those who have not yet heard
    // of the stop: the balancer polls, entries get a heartbeat.
    std::chrono::milliseconds grace{2000};
    // For how long nothing must have run before the process ends, so that the
    // last answers have left it.
    std::chrono::milliseconds quiet{100};
};

// An orderly stop on its way; empty while the process runs on.
struct drain
{
    std::optional<base::time_point> asked;
    base::time_point last_work;
    // New work is refused; set when the grace is over.
    bool refuses = false;
};

// Begins the stop; a second one does not make the first longer.
void begin_drain(drain& state, base::time_point now);

// Notes whether work is under way and says whether the process may end.
//
// Made for a restart of all entries one after another under live load. Ended
// at once, a process would cut off what it runs; refusing at once, it would
// turn away every caller that the balancer sends until its next look at the
// readiness page. So it serves on during the grace, refuses after it, and ends
// when nothing has run for the quiet time.
bool advance_drain(
    drain& state, drain_limits const& limits, bool busy, base::time_point now);

} // namespace foxtailvale::core

#endif
