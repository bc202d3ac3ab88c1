#include "settings_writer.hpp"

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t engine_memory_mib = 256;

std::string store_url(
    deployment const& fleet_layout,
    std::string const& region,
    std::uint16_t port)
{
    auto address = store_address(fleet_layout);
    if (region != fleet_layout.store_region)
    {
        address = through_link(
            fleet_layout, region_index(fleet_layout, region), address);
    }
    return "http://" + address + ":" + std::to_string(port);
}

// Agents also reach their own region through a link, which counts the bytes of
// each VM; entries connect directly.
json rewrites(
    deployment const& fleet_layout, std::string const& region, vm_kind kind)
{
    json list = json::array();
    for (std::size_t index = 0; index < fleet_layout.domains.size(); ++index)
    {
        if (kind == vm_kind::entry &&
            fleet_layout.domains[index].region == region)
        {
            continue;
        }
        auto const network = domain_network(fleet_layout, index);
        list.push_back(
            {{"from", network},
             {"to",
              through_link(
                  fleet_layout, region_index(fleet_layout, region), network)}});
    }
    return list;
}

json listed_vms(deployment const& fleet_layout, std::vector<vm> const& vms)
{
    json list = json::array();
    for (auto const& machine : vms)
    {
        auto const& failure_domain = fleet_layout.domains[machine.domain];
        auto const engine = machine.kind == vm_kind::engine;
        list.push_back(
            {{"name", machine.name},
             {"role", machine.kind == vm_kind::entry ? "entry" : "agent"},
             {"failure_domain", failure_domain.name},
             {"region", failure_domain.region},
             {"address", machine.address + ":" + std::to_string(peer_port)},
             {"memory_mib", engine ? engine_memory_mib : 0}});
    }
    return list;
}

void add_route(
    json& routes,
    deployment const& layout,
    std::size_t from_index,
    std::string const& address,
    std::uint16_t port)
{
    routes.push_back(
        {{"from", regions_of(layout)[from_index]},
         {"listen_address", through_link(layout, from_index, address)},
         {"listen_port", port},
         {"target_address", address},
         {"target_port", port}});
}

// Each agent fetches from the origin through its own listening address, so that
// the link counts bytes by VM.
void add_origin_routes(
    json& routes,
    deployment const& layout,
    std::vector<vm> const& vms,
    std::size_t region)
{
    for (auto const& machine : vms)
    {
        if (machine.kind == vm_kind::entry ||
            region_index(layout, layout.domains[machine.domain].region) !=
                region)
        {
            continue;
        }
        routes.push_back(
            {{"from", regions_of(layout)[region]},
             {"listen_address", through_link(layout, region, machine.address)},
             {"listen_port", origin_port},
             {"target_address", store_address(layout)},
             {"target_port", origin_port}});
    }
}

json link_between(
    deployment const& fleet_layout,
    std::vector<vm> const& vms,
    std::size_t first,
    std::size_t second,
    std::uint16_t control_port)
{
    auto const regions = regions_of(fleet_layout);
    json routes = json::array();
    auto const add_direction = [&](std::size_t source, std::size_t target)
    {
        for (auto const& machine : vms)
        {
            if (fleet_layout.domains[machine.domain].region == regions[target])
            {
                add_route(
                    routes, fleet_layout, source, machine.address, peer_port);
            }
        }
        if (regions[target] == fleet_layout.store_region)
        {
            add_route(
                routes, fleet_layout, source, store_address(fleet_layout),
                platform_port);
            add_origin_routes(routes, fleet_layout, vms, source);
        }
    };
    add_direction(first, second);
    add_direction(second, first);
    return {
        {"address", link_control_address(fleet_layout)},
        {"port", control_port},
        {"first", regions[first]},
        {"second", regions[second]},
        {"latency_us", fleet_layout.region_latency_us},
        {"bits_per_second", fleet_layout.region_bits_per_second},
        {"routes", std::move(routes)}};
}

// Returns a link inside a region. It adds no latency and has no bandwidth
// limit; it only counts bytes.
json link_inside(
    deployment const& fleet_layout,
    std::vector<vm> const& vms,
    std::size_t region,
    std::uint16_t control_port)
{
    auto const name = regions_of(fleet_layout)[region];
    json routes = json::array();
    for (auto const& machine : vms)
    {
        if (fleet_layout.domains[machine.domain].region == name)
        {
            add_route(routes, fleet_layout, region, machine.address, peer_port);
        }
    }
    if (name == fleet_layout.store_region)
    {
        add_origin_routes(routes, fleet_layout, vms, region);
    }
    return {
        {"address", link_control_address(fleet_layout)},
        {"port", control_port},
        {"first", name},
        {"second", name + " inside"},
        {"routes", std::move(routes)}};
}

json links(deployment const& fleet_layout, std::vector<vm> const& vms)
{
    json list = json::array();
    auto const count = regions_of(fleet_layout).size();
    for (std::size_t first = 0; first < count; ++first)
    {
        for (auto second = first + 1; second < count; ++second)
        {
            auto const port =
                static_cast<std::uint16_t>(link_control_port + list.size());
            list.push_back(
                link_between(fleet_layout, vms, first, second, port));
        }
    }
    for (std::size_t region = 0; region < count; ++region)
    {
        auto const port =
            static_cast<std::uint16_t>(link_control_port + list.size());
        list.push_back(link_inside(fleet_layout, vms, region, port));
    }
    return list;
}

} // namespace

json node_settings(deployment const& fleet_layout, vm const& machine)
{
    auto const& failure_domain = fleet_layout.domains[machine.domain];
    json settings{
        {"name", machine.name},
        {"failure_domain", failure_domain.name},
        {"region", failure_domain.region},
        {"address", machine.address},
        {"peer_port", peer_port},
        {"operator_port", operator_port},
        {"platform",
         store_url(fleet_layout, failure_domain.region, platform_port)},
        {"address_rewrites",
         rewrites(fleet_layout, failure_domain.region, machine.kind)}};
    if (machine.kind == vm_kind::entry)
    {
        settings["caller_port"] = caller_port;
        return settings;
    }
    settings["endpoint"] =
        "http://" + machine.address + ":" + std::to_string(endpoint_port);
    auto const origin = through_link(
        fleet_layout, region_index(fleet_layout, failure_domain.region),
        machine.address);
    settings["origin"] = "http://" + origin + ":" + std::to_string(origin_port);
    settings["distribution"] = fleet_layout.distribution;
    if (failure_domain.region != fleet_layout.store_region)
    {
        settings["origin_link_mbit"] =
            fleet_layout.region_bits_per_second / 1'000'000;
    }
    settings["weights_port"] = weights_port;
    settings["memory_mib"] = engine_memory_mib;
    if (machine.kind == vm_kind::booking)
    {
        settings["service"] = fleet_layout.booking_service;
    }
    if (machine.kind == vm_kind::supporting)
    {
        settings["service"] = fleet_layout.supporting_service;
    }
    return settings;
}

json standin_settings(
    deployment const& fleet_layout,
    std::vector<vm> const& vms,
    std::vector<origin_version> const& versions)
{
    json settings;
    settings["platform"] = {
        {"address", store_address(fleet_layout)},
        {"port", platform_port},
        {"vms", listed_vms(fleet_layout, vms)}};
    settings["origin"] = {
        {"address", store_address(fleet_layout)},
        {"port", origin_port},
        {"versions", json::array()}};
    for (auto const& version : versions)
    {
        settings["origin"]["versions"].push_back(
            {{"seed", version.seed},
             {"bytes", version.bytes},
             {"chunk_bytes", version.chunk_bytes}});
    }
    settings["engines"] = json::array();
    settings["services"] = json::array();
    for (auto const& machine : vms)
    {
        json entry{
            {"name", machine.name},
            {"address", machine.address},
            {"port", endpoint_port}};
        if (machine.kind == vm_kind::engine)
        {
            settings["engines"].push_back(std::move(entry));
        }
        else if (machine.kind != vm_kind::entry)
        {
            settings["services"].push_back(std::move(entry));
        }
    }
    settings["links"] = links(fleet_layout, vms);
    return settings;
}

} // namespace foxtailvale::scenario
