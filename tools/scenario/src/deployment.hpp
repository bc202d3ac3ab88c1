#ifndef FOXTAILVALE_SCENARIO_DEPLOYMENT_HPP
#define FOXTAILVALE_SCENARIO_DEPLOYMENT_HPP

#include <release/document.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// One failure domain and how many VMs of each kind it has.
struct domain
{
    std::string name;
    std::string region;
    std::uint32_t entries = 0;
    std::uint32_t engines = 0;
    std::uint32_t booking = 0;
    std::uint32_t supporting = 0;
};

// A user's fleet, from which settings of all processes are made.
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
    // How agents distribute weights; for measurements.
    std::string distribution = "forest";
    // Second number of the loopback addresses of the VMs; the links' addresses
    // follow on it. Two fleets can run side by side with numbers ten apart.
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

// All VMs of a deployment, the same each time.
std::vector<vm> make_vms(deployment const& from);

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
std::string store_address(deployment const& from);

// Address of the links' switchboards.
std::string link_control_address(deployment const& from);

// First numbers of the addresses of a domain's VMs, "127.1.2.".
std::string domain_network(deployment const& from, std::size_t domain);

// The address under which a VM of the region with this index (from 0) reaches
// an address of another region: through the link.
std::string through_link(
    deployment const& from,
    std::size_t from_region,
    std::string const& address);

// Regions in the order in which the domains name them.
std::vector<std::string> regions_of(deployment const& from);

std::size_t region_index(deployment const& from, std::string const& region);

} // namespace foxtailvale::scenario

#endif
