#ifndef FOXTAILVALE_CAPACITY_FLEET_USAGE_HPP
#define FOXTAILVALE_CAPACITY_FLEET_USAGE_HPP

#include "samples.hpp"

#include <fleet.hpp>

namespace foxtailvale::capacity
{

// Starts real entries and agents, this many agents in each of the target's
// failure domains behind one entry, gives them a small model and measures a
// quiet fleet: memory and processor time by role, and calls to the platform.
void measure_fleet(
    scenario::fleet_paths const& paths,
    unsigned network,
    std::uint32_t agents_per_domain,
    samples& into);

} // namespace foxtailvale::capacity

#endif
