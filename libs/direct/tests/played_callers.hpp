#ifndef FOXTAILVALE_DIRECT_PLAYED_CALLERS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_CALLERS_HPP

#include "played_fleet.hpp"

#include <cstdint>

// Callers of a simulated fleet: they send requests, and send them again when
// they are refused.
namespace foxtailvale::direct
{

// Records the final result of the request.
void end_request(simulation& state, std::uint64_t number, final_outcome result);

// Ends a request that has no attempt left: refused if it has not run, otherwise
// interrupted.
void fail(simulation& state, caller_request& call);

// The caller disconnects after its time-out.
void leave(simulation& state, caller_request& call);

// Checks whether an engine still works for a caller that has disconnected.
void check_work_after_leaving(simulation& state, engine_event const& event);

// Schedules callers at random times from then on.
void schedule_callers(simulation& state, base::time_point from);

} // namespace foxtailvale::direct

#endif
