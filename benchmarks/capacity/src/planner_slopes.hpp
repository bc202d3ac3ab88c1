#ifndef FOXTAILVALE_CAPACITY_PLANNER_SLOPES_HPP
#define FOXTAILVALE_CAPACITY_PLANNER_SLOPES_HPP

#include "samples.hpp"

namespace foxtailvale::capacity
{

// Measures, in a fleet of `endpoints` endpoints, the time to make a failure
// domain's plan, to look up the sources of a chunk and to parse the VM list,
// and the sizes of stored and sent documents.
void measure_planner(std::uint32_t endpoints, samples& into);

} // namespace foxtailvale::capacity

#endif
