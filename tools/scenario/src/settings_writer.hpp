#ifndef FOXTAILVALE_SCENARIO_SETTINGS_WRITER_HPP
#define FOXTAILVALE_SCENARIO_SETTINGS_WRITER_HPP

#include "deployment.hpp"

#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// Weights that the origin offers, generated from a seed.
struct origin_version
{
    std::uint64_t seed = 0;
    std::uint64_t bytes = 0;
    std::uint32_t chunk_bytes = 0;
};

// Returns the settings of an entry or agent.
nlohmann::json node_settings(deployment const& fleet_layout, vm const& machine);

// Returns the settings of the process that hosts all stand-ins.
nlohmann::json standin_settings(
    deployment const& fleet_layout,
    std::vector<vm> const& vms,
    std::vector<origin_version> const& versions);

} // namespace foxtailvale::scenario

#endif
