#ifndef FOXTAILVALE_SCENARIO_SCENARIO_RUN_HPP
#define FOXTAILVALE_SCENARIO_SCENARIO_RUN_HPP

#include "fleet.hpp"
#include "scenario_file.hpp"

namespace foxtailvale::scenario
{

// Runs the scenario with real processes, lets the checker evaluate what the
// stand-ins and the load tool recorded, and prints each broken promise and each
// outcome that was not met. Writes evidence.json beside the logs. Returns 0 if
// all promises and outcomes held.
int run_scenario(fleet_paths const& paths, scenario_file const& script);

} // namespace foxtailvale::scenario

#endif
