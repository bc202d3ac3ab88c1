#ifndef FOXTAILVALE_CAPACITY_FLEET_SHAPE_HPP
#define FOXTAILVALE_CAPACITY_FLEET_SHAPE_HPP

#include <control/planner.hpp>
#include <release/configuration.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::capacity
{

// Target sizes, from CONTRIBUTING.md.
inline constexpr std::uint32_t target_endpoints = 1500;
inline constexpr std::uint32_t target_entries = 410;
inline constexpr std::uint32_t target_domains = 7;
inline constexpr std::uint32_t target_regions = 2;

// Sizes of a simulated fleet. Entries and endpoints have the same ratio as in
// the target.
struct fleet_shape
{
    std::uint32_t endpoints = 0;
    std::uint32_t entries = 0;
    std::uint32_t domains = target_domains;
    std::uint32_t regions = target_regions;
    std::uint32_t models = 12;
    std::uint32_t workspaces = 40;
};

// Returns a shape with this many endpoints and the ratios of the target.
fleet_shape shape_of(std::uint32_t endpoints);

std::string domain_name(std::uint32_t number);
std::string agent_name(fleet_shape const& shape, std::uint32_t number);
std::string entry_name(fleet_shape const& shape, std::uint32_t number);
std::string model_name(std::uint32_t number);
// Digest of a model's weights, with the length of a real digest.
std::string digest_of(std::uint32_t model);

release::configuration
make_configuration(fleet_shape const& shape, std::uint64_t generation);

// Engine endpoints of one failure domain, in the form that its planner uses.
std::vector<control::plan_member>
members_of(fleet_shape const& shape, std::uint32_t domain);

control::domain_plan
make_domain_plan(fleet_shape const& shape, std::uint32_t domain);

// The platform's VM list, as JSON.
std::string make_vm_list(fleet_shape const& shape);

} // namespace foxtailvale::capacity

#endif
