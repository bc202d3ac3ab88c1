#ifndef FOXTAILVALE_SCENARIO_CONTROL_BENCH_HPP
#define FOXTAILVALE_SCENARIO_CONTROL_BENCH_HPP

#include "fleet.hpp"

namespace foxtailvale::scenario
{

// How large the fleet of a control bench is.
struct control_bench_size
{
    std::uint32_t domains = 2;
    std::uint32_t entries = 8;
    std::uint32_t agents = 50;
};

// Measures what control costs with real processes: processor time, memory and
// bytes per node, calls to the platform, and how long an accepted
// configuration takes to be in force everywhere. Prints one table row per
// phase; 0 when every change was in force everywhere within the limit.
int run_control_bench(
    fleet_paths const& paths, control_bench_size const& size, unsigned network);

} // namespace foxtailvale::scenario

#endif
