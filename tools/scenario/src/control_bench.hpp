#ifndef FOXTAILVALE_SCENARIO_CONTROL_BENCH_HPP
#define FOXTAILVALE_SCENARIO_CONTROL_BENCH_HPP

#include "fleet.hpp"

namespace foxtailvale::scenario
{

// Size of the fleet of a control bench.
struct control_bench_size
{
    std::uint32_t domains = 2;
    std::uint32_t entries = 8;
    std::uint32_t agents = 50;
};

// Measures the cost of the control plane with real processes: processor time,
// memory and bytes per node, calls to the platform, and the time until an
// accepted configuration is in force everywhere. Prints one table row per
// phase. Returns 0 if every change was in force everywhere within the limit and
// the fleet stopped in an orderly way.
int run_control_bench(
    fleet_paths const& paths, control_bench_size const& size, unsigned network);

} // namespace foxtailvale::scenario

#endif
