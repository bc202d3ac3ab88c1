#ifndef FOXTAILVALE_SCENARIO_VM_LINKS_HPP
#define FOXTAILVALE_SCENARIO_VM_LINKS_HPP

#include "fleet.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace foxtailvale::scenario
{

// Returns, for each VM with an agent, the bytes in and out of its link that
// agents exchanged with each other and with the origin, as counted by the
// links. Callers' traffic is not included.
std::map<std::string, std::uint64_t> agent_link_bytes(fleet& running);

// Returns the traffic of the most loaded link between two counts, in copies of
// the model.
double max_copies(
    std::map<std::string, std::uint64_t> const& before,
    std::map<std::string, std::uint64_t> const& after,
    std::uint64_t model_bytes);

} // namespace foxtailvale::scenario

#endif
