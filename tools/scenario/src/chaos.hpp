#ifndef FOXTAILVALE_SCENARIO_CHAOS_HPP
#define FOXTAILVALE_SCENARIO_CHAOS_HPP

#include "scenario_file.hpp"

#include <cstdint>

namespace foxtailvale::scenario
{

// Returns a scenario of random faults of the kinds that users listed. The same
// seed gives the same plan. No process has two faults, so that each one can be
// undone.
scenario_file make_chaos(deployment const& fleet, std::uint64_t seed);

// Returns the scenario in the file format, so that a seed that broke a promise
// can be saved.
std::string to_text(scenario_file const& script, std::string const& fleet_path);

} // namespace foxtailvale::scenario

#endif
