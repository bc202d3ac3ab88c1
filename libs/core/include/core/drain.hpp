#ifndef FOXTAILVALE_CORE_DRAIN_HPP
#define FOXTAILVALE_CORE_DRAIN_HPP

#include <base/ids.hpp>

#include <chrono>
#include <optional>

namespace foxtailvale::core
{

// Durations of the phases of an orderly stop.
struct drain_limits
{
    // How long new work is still accepted after the stop was requested: the
    // balancer polls readiness and the entries get heartbeats, so both notice
    // the stop late.
    std::chrono::milliseconds grace{2000};
    // How long the process must have been idle before it ends, so that the last
    // answers have been sent.
    std::chrono::milliseconds idle_period{100};
};

// State of an orderly stop; `requested` is empty while the process runs
// normally.
struct drain
{
    std::optional<base::time_point> requested;
    base::time_point last_work;
    // True once the grace period is over: new work is refused.
    bool refuses = false;
};

// Starts the drain. Further calls do not extend it.
void begin_drain(drain& state, base::time_point now);

// Records whether work is in progress and returns true when the process may
// end.
//
// This supports a rolling restart of all entries under live load. A process
// that ended at once would cut off the work it runs; one that refused new work
// at once would turn away every caller that the balancer sends before its next
// readiness poll. Therefore the process accepts work during the grace period,
// refuses it afterwards, and ends once it has been idle for the idle period.
bool advance_drain(
    drain& state, drain_limits const& limits, bool busy, base::time_point now);

} // namespace foxtailvale::core

#endif
