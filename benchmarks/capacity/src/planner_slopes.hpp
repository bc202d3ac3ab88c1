#ifndef FOXTAILVALE_CAPACITY_PLANNER_SLOPES_HPP
#define FOXTAILVALE_CAPACITY_PLANNER_SLOPES_HPP

#include "samples.hpp"

namespace foxtailvale::capacity
{

// Measures making and reading a domain's plan, finding a chunk's sources, and
// the sizes of what is stored and sent, in a fleet of so many endpoints.
void measure_planner(std::uint32_t endpoints, samples& into);

} // namespace foxtailvale::capacity

#endif
