#ifndef FOXTAILVALE_CAPACITY_AGENT_SLOPES_HPP
#define FOXTAILVALE_CAPACITY_AGENT_SLOPES_HPP

#include "samples.hpp"

namespace foxtailvale::capacity
{

// Measures an agent's core in a fleet of so many endpoints that so many
// entries speak to, in virtual time.
void measure_agent(
    std::uint32_t endpoints, std::uint32_t listeners, samples& into);

} // namespace foxtailvale::capacity

#endif
