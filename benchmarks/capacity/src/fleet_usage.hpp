#ifndef FOXTAILVALE_CAPACITY_FLEET_USAGE_HPP
#define FOXTAILVALE_CAPACITY_FLEET_USAGE_HPP

#include "samples.hpp"

#include <fleet.hpp>

namespace foxtailvale::capacity
{

// Starts real processes: in each of the target's failure domains one entry and
// `agents_per_domain` agents. Deploys a small model and measures the idle
// fleet: memory and processor time by role, and calls to the platform.
void measure_fleet(
    scenario::fleet_paths const& paths,
    unsigned network,
    std::uint32_t agents_per_domain,
    samples& into);

} // namespace foxtailvale::capacity

#endif
