#ifndef FOXTAILVALE_DIRECT_PLAYED_ENTRIES_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ENTRIES_HPP

#include "played_fleet.hpp"

#include <base/error.hpp>

#include <cstdint>

// Entries of a played fleet: they place requests as the product does.
namespace foxtailvale::direct
{

// The attempt under way is over, in this way.
void end_attempt(world& state, caller_request& asked, request_outcome how);

// What becomes of a request whose attempt failed: another one, or the end.
void after_failure(world& state, caller_request& asked, base::ran_state ran);

// A request arrives.
void admit(world& state, std::uint64_t number);

// Places what waits, as far as there is room.
void serve_waiting(world& state, played_entry& entry);

// Gives up what takes too long.
void watch_times(world& state);

} // namespace foxtailvale::direct

#endif
