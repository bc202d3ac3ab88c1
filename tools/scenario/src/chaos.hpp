#ifndef FOXTAILVALE_SCENARIO_CHAOS_HPP
#define FOXTAILVALE_SCENARIO_CHAOS_HPP

#include "scenario_file.hpp"

#include <cstdint>

namespace foxtailvale::scenario
{

// A scenario of random faults from the users' list: one seed gives one plan of
// faults. No process has two faults at a time, so that each can be taken back.
scenario_file make_chaos(deployment const& fleet, std::uint64_t seed);

// The scenario as a file, so that a seed that broke a promise can be kept.
std::string to_text(scenario_file const& script, std::string const& fleet_path);

} // namespace foxtailvale::scenario

#endif
