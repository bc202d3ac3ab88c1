#ifndef FOXTAILVALE_CAPACITY_AGENT_SLOPES_HPP
#define FOXTAILVALE_CAPACITY_AGENT_SLOPES_HPP

#include "samples.hpp"

namespace foxtailvale::capacity
{

// Measures an agent's core in virtual time: in a fleet of `endpoints`
// endpoints, with `connected_entries` entries in contact with the agent.
void measure_agent(
    std::uint32_t endpoints, std::uint32_t connected_entries, samples& into);

} // namespace foxtailvale::capacity

#endif
