#ifndef FOXTAILVALE_SCENARIO_DEPLOYMENT_HPP
#define FOXTAILVALE_SCENARIO_DEPLOYMENT_HPP

#include <release/document.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// A failure domain and its number of VMs of each kind.
struct domain
{
    std::string name;
    std::string region;
    std::uint32_t entries = 0;
    std::uint32_t engines = 0;
    std::uint32_t booking = 0;
    std::uint32_t supporting = 0;
};

// Layout of a user's fleet, from which the settings of all processes are
// generated.
struct deployment
{
    std::string name;
    std::string model;
    std::string booking_service;
    std::string supporting_service;
    std::string store_region;
    std::vector<domain> domains;
    std::uint64_t region_latency_us = 0;
    std::uint64_t region_bits_per_second = 0;
    nlohmann::json workspaces;
    // Distribution method of the agents; other values are for measurements.
    std::string distribution = "forest";
    // Second number of the loopback addresses of the VMs. The links use the
    // numbers that follow it, so two fleets can run side by side if their
    // numbers are ten apart.
    unsigned network = 1;
};

// Reads a deployment and adds all faults to the document.
deployment read_deployment(release::document& source);

// Kinds of VM in a fleet.
enum class vm_kind
{
    entry,
    engine,
    booking,
    supporting,
};

// One VM with its address.
struct vm
{
    std::string name;
    vm_kind kind = vm_kind::entry;
    // Index into the deployment's domains.
    std::size_t domain = 0;
    std::string address;
};

// Returns all VMs of a deployment; the result is deterministic.
std::vector<vm> make_vms(deployment const& fleet_layout);

// Ports, the same on every VM.
inline constexpr std::uint16_t peer_port = 7000;
inline constexpr std::uint16_t operator_port = 7001;
inline constexpr std::uint16_t caller_port = 7002;
inline constexpr std::uint16_t weights_port = 7003;
inline constexpr std::uint16_t endpoint_port = 7100;
inline constexpr std::uint16_t platform_port = 8000;
inline constexpr std::uint16_t origin_port = 8001;
inline constexpr std::uint16_t link_control_port = 8100;

// Address of the platform and the origin in the store's region.
std::string store_address(deployment const& fleet_layout);

// Address on which the links are controlled.
std::string link_control_address(deployment const& fleet_layout);

// Address prefix of a domain's VMs, for example "127.1.2.".
std::string domain_network(deployment const& fleet_layout, std::size_t domain);

// Returns the address under which a VM of the region with this index (from 0)
// reaches, through a link, the given address of another region.
std::string through_link(
    deployment const& fleet_layout,
    std::size_t from_region,
    std::string const& address);

// Returns the regions in the order in which the domains name them.
std::vector<std::string> regions_of(deployment const& fleet_layout);

std::size_t
region_index(deployment const& fleet_layout, std::string const& region);

} // namespace foxtailvale::scenario

#endif
