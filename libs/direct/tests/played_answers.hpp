#ifndef FOXTAILVALE_DIRECT_PLAYED_ANSWERS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ANSWERS_HPP

#include "played_fleet.hpp"

#include <cstddef>

// What engines of a played fleet say, and how entries take it.
namespace foxtailvale::direct
{

// An engine that stood still goes on, before it reads what came meanwhile: what
// it had read may have been worked on in that time.
void go_on(world& state, std::size_t number);

// Lets the engine work until now, and passes on what it says.
void work_engine(world& state, std::size_t number);

} // namespace foxtailvale::direct

#endif
