#ifndef FOXTAILVALE_DIRECT_PLAYED_ANSWERS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ANSWERS_HPP

#include "played_fleet.hpp"

#include <cstddef>

// Answers of the engines of a simulated fleet, and how entries handle them.
namespace foxtailvale::direct
{

// Resumes an engine whose pause has ended, before it reads what has arrived
// meanwhile. With works_while_paused, it catches up on the requests that it had
// read.
void resume(simulation& state, std::size_t number);

// Advances the engine to the current time and sends its events.
void work_engine(simulation& state, std::size_t number);

} // namespace foxtailvale::direct

#endif
