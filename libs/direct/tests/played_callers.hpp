#ifndef FOXTAILVALE_DIRECT_PLAYED_CALLERS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_CALLERS_HPP

#include "played_fleet.hpp"

#include <cstdint>

// Callers of a played fleet: they ask, and come back when they are refused.
namespace foxtailvale::direct
{

// The last word on the request.
void end_request(world& state, std::uint64_t number, final_word word);

// Nothing more can be done for it: refused if it has not run, else cut.
void fail(world& state, caller_request& asked);

// The caller has waited for long enough without anything.
void leave(world& state, caller_request& asked);

// Checks what an engine does for a caller who may have left.
void note_word(world& state, engine_event const& event);

// Callers come at random moments from then on.
void plan_callers(world& state, base::time_point from);

} // namespace foxtailvale::direct

#endif
