#ifndef FOXTAILVALE_DIRECT_PLAYED_ANSWERS_HPP
#define FOXTAILVALE_DIRECT_PLAYED_ANSWERS_HPP

#include "played_fleet.hpp"

#include <cstddef>

// What engines of a played fleet say, and how entries take it.
namespace foxtailvale::direct
{

// Lets the engine work until now, and passes on what it says.
void work_engine(world& state, std::size_t number);

} // namespace foxtailvale::direct

#endif
