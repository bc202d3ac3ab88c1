#ifndef FOXTAILVALE_CAPACITY_ENTRY_SLOPES_HPP
#define FOXTAILVALE_CAPACITY_ENTRY_SLOPES_HPP

#include "samples.hpp"

namespace foxtailvale::capacity
{

// Measures an entry's core in front of `endpoints` endpoints, in virtual time:
// the size of its state, the cost of control per second, and the cost of a
// request. Sample names start with "entry.", or with "planner." when the entry
// holds the planner lease; requests are measured without the lease only.
void measure_entry(std::uint32_t endpoints, bool planner, samples& into);

} // namespace foxtailvale::capacity

#endif
