#ifndef FOXTAILVALE_SCENARIO_VM_LINKS_HPP
#define FOXTAILVALE_SCENARIO_VM_LINKS_HPP

#include "fleet.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace foxtailvale::scenario
{

// Bytes in and out of each VM's link that agents exchanged with one another
// and with the origin, by VM, as the links counted them. Callers' traffic is
// not in it.
std::map<std::string, std::uint64_t> agent_link_bytes(fleet& running);

// The most loaded link between two counts, in copies of the model.
double most_copies(
    std::map<std::string, std::uint64_t> const& before,
    std::map<std::string, std::uint64_t> const& after,
    std::uint64_t model_bytes);

} // namespace foxtailvale::scenario

#endif
