#ifndef FOXTAILVALE_CAPACITY_ENTRY_SLOPES_HPP
#define FOXTAILVALE_CAPACITY_ENTRY_SLOPES_HPP

#include "samples.hpp"

namespace foxtailvale::capacity
{

// Measures an entry's core before so many endpoints, in virtual time: its
// state, what control costs it each second, and what one request costs. Names
// begin with "entry." or, when it holds the planner lease, with "planner.".
void measure_entry(std::uint32_t endpoints, bool planner, samples& into);

} // namespace foxtailvale::capacity

#endif
