#include "settings_writer.hpp"

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t engine_memory_mib = 256;

std::string
store_url(deployment const& from, std::string const& region, std::uint16_t port)
{
    auto address = store_address(from);
    if (region != from.store_region)
    {
        address = through_link(from, region_index(from, region), address);
    }
    return "http://" + address + ":" + std::to_string(port);
}

// Agents reach their own region through a link too, which counts whose bytes
// they are; entries go straight.
json rewrites(deployment const& from, std::string const& region, vm_kind kind)
{
    json list = json::array();
    for (std::size_t index = 0; index < from.domains.size(); ++index)
    {
        if (kind == vm_kind::entry && from.domains[index].region == region)
        {
            continue;
        }
        auto const network = domain_network(from, index);
        list.push_back(
            {{"from", network},
             {"to", through_link(from, region_index(from, region), network)}});
    }
    return list;
}

json listed_vms(deployment const& from, std::vector<vm> const& vms)
{
    json list = json::array();
    for (auto const& machine : vms)
    {
        auto const& place = from.domains[machine.domain];
        auto const engine = machine.kind == vm_kind::engine;
        list.push_back(
            {{"name", machine.name},
             {"role", machine.kind == vm_kind::entry ? "entry" : "agent"},
             {"failure_domain", place.name},
             {"region", place.region},
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

// Each agent draws from the origin through a listening address of its own, so
// that the link counts by VM.
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
    deployment const& from,
    std::vector<vm> const& vms,
    std::size_t first,
    std::size_t second,
    std::uint16_t control_port)
{
    auto const regions = regions_of(from);
    json routes = json::array();
    auto const add_way = [&](std::size_t source, std::size_t target)
    {
        for (auto const& machine : vms)
        {
            if (from.domains[machine.domain].region == regions[target])
            {
                add_route(routes, from, source, machine.address, peer_port);
            }
        }
        if (regions[target] == from.store_region)
        {
            add_route(routes, from, source, store_address(from), platform_port);
            add_origin_routes(routes, from, vms, source);
        }
    };
    add_way(first, second);
    add_way(second, first);
    return {
        {"address", link_control_address(from)},
        {"port", control_port},
        {"first", regions[first]},
        {"second", regions[second]},
        {"latency_us", from.region_latency_us},
        {"bits_per_second", from.region_bits_per_second},
        {"routes", std::move(routes)}};
}

// A link inside a region: no latency of its own and no limit, it only counts.
json link_inside(
    deployment const& from,
    std::vector<vm> const& vms,
    std::size_t region,
    std::uint16_t control_port)
{
    auto const name = regions_of(from)[region];
    json routes = json::array();
    for (auto const& machine : vms)
    {
        if (from.domains[machine.domain].region == name)
        {
            add_route(routes, from, region, machine.address, peer_port);
        }
    }
    if (name == from.store_region)
    {
        add_origin_routes(routes, from, vms, region);
    }
    return {
        {"address", link_control_address(from)},
        {"port", control_port},
        {"first", name},
        {"second", name + " inside"},
        {"routes", std::move(routes)}};
}

json links(deployment const& from, std::vector<vm> const& vms)
{
    json list = json::array();
    auto const count = regions_of(from).size();
    for (std::size_t first = 0; first < count; ++first)
    {
        for (auto second = first + 1; second < count; ++second)
        {
            auto const port =
                static_cast<std::uint16_t>(link_control_port + list.size());
            list.push_back(link_between(from, vms, first, second, port));
        }
    }
    for (std::size_t region = 0; region < count; ++region)
    {
        auto const port =
            static_cast<std::uint16_t>(link_control_port + list.size());
        list.push_back(link_inside(from, vms, region, port));
    }
    return list;
}

} // namespace

json node_settings(deployment const& from, vm const& machine)
{
    auto const& place = from.domains[machine.domain];
    json settings{
        {"name", machine.name},
        {"failure_domain", place.name},
        {"region", place.region},
        {"address", machine.address},
        {"peer_port", peer_port},
        {"operator_port", operator_port},
        {"platform", store_url(from, place.region, platform_port)},
        {"address_rewrites", rewrites(from, place.region, machine.kind)}};
    if (machine.kind == vm_kind::entry)
    {
        settings["caller_port"] = caller_port;
        return settings;
    }
    settings["endpoint"] =
        "http://" + machine.address + ":" + std::to_string(endpoint_port);
    auto const origin =
        through_link(from, region_index(from, place.region), machine.address);
    settings["origin"] = "http://" + origin + ":" + std::to_string(origin_port);
    settings["distribution"] = from.distribution;
    if (place.region != from.store_region)
    {
        settings["origin_link_mbit"] = from.region_bits_per_second / 1'000'000;
    }
    settings["weights_port"] = weights_port;
    settings["memory_mib"] = engine_memory_mib;
    if (machine.kind == vm_kind::booking)
    {
        settings["service"] = from.booking_service;
    }
    if (machine.kind == vm_kind::supporting)
    {
        settings["service"] = from.supporting_service;
    }
    return settings;
}

json standin_settings(
    deployment const& from,
    std::vector<vm> const& vms,
    std::vector<origin_version> const& versions)
{
    json settings;
    settings["platform"] = {
        {"address", store_address(from)},
        {"port", platform_port},
        {"vms", listed_vms(from, vms)}};
    settings["origin"] = {
        {"address", store_address(from)},
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
    settings["links"] = links(from, vms);
    return settings;
}

} // namespace foxtailvale::scenario
