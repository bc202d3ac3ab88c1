#ifndef FOXTAILVALE_DIRECT_PLAYED_ENTRIES_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ENTRIES_HPP

#include "played_fleet.hpp"

#include <base/error.hpp>

#include <cstdint>

// Entries of a simulated fleet; they place requests with the production code.
namespace foxtailvale::direct
{

// Ends the current attempt with this result.
void end_attempt(
    simulation& state, caller_request& call, request_outcome outcome);

// Retries a request whose attempt failed, or ends it.
void after_failure(
    simulation& state, caller_request& call, base::ran_state ran);

// Handles an arriving request.
void admit(simulation& state, std::uint64_t number);

// Places waiting requests as far as there is room.
void serve_waiting(simulation& state, simulated_entry& entry);

// Ends attempts and waits that have timed out.
void check_timeouts(simulation& state);

} // namespace foxtailvale::direct

#endif
