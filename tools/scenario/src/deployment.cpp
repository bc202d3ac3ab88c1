#include "deployment.hpp"

#include <release/object_reader.hpp>

#include <algorithm>

namespace foxtailvale::scenario
{

namespace
{

constexpr std::uint64_t max_vms = 200;
constexpr std::uint64_t max_rate = 1ULL << 40U;

// Network prefix of a fleet's VMs, for example "127.1.".
std::string own_network(deployment const& fleet_layout)
{
    return "127." + std::to_string(fleet_layout.network) + ".";
}

domain read_domain(release::object_reader reader)
{
    auto const count = [&](char const* key)
    {
        return static_cast<std::uint32_t>(reader.number_or(key, 0, 0, max_vms));
    };
    domain parsed;
    parsed.name = reader.text("name");
    parsed.region = reader.text("region");
    parsed.entries = count("entries");
    parsed.engines = count("engines");
    parsed.booking = count("booking");
    parsed.supporting = count("supporting");
    reader.finish();
    return parsed;
}

char const* kind_name(vm_kind kind)
{
    switch (kind)
    {
    case vm_kind::entry:
        return "entry";
    case vm_kind::engine:
        return "engine";
    case vm_kind::booking:
        return "booking";
    case vm_kind::supporting:
        break;
    }
    return "supporting";
}

} // namespace

deployment read_deployment(release::document& source)
{
    release::object_reader reader(source, "", source.faults);
    deployment parsed;
    parsed.name = reader.text("name");
    parsed.model = reader.text("model");
    parsed.booking_service = reader.text("booking_service");
    parsed.supporting_service = reader.text("supporting_service");
    parsed.store_region = reader.text("store_region");
    for (std::size_t index = 0; index < reader.size("domains"); ++index)
    {
        parsed.domains.push_back(read_domain(reader.element("domains", index)));
    }
    parsed.region_latency_us =
        reader.number_or("region_latency_us", 0, 0, max_rate);
    parsed.region_bits_per_second =
        reader.number_or("region_bits_per_second", 0, 0, max_rate);
    if (reader.has("workspaces"))
    {
        parsed.workspaces = source.value["workspaces"];
    }
    reader.finish();
    return parsed;
}

std::vector<vm> make_vms(deployment const& fleet_layout)
{
    std::vector<vm> vms;
    for (std::size_t index = 0; index < fleet_layout.domains.size(); ++index)
    {
        auto const& failure_domain = fleet_layout.domains[index];
        auto number = 0;
        auto const add = [&](vm_kind kind, std::uint32_t count)
        {
            for (std::uint32_t kind_number = 1; kind_number <= count;
                 ++kind_number)
            {
                ++number;
                vms.push_back(
                    {failure_domain.name + "-" + kind_name(kind) + "-" +
                         std::to_string(kind_number),
                     kind, index,
                     domain_network(fleet_layout, index) +
                         std::to_string(number)});
            }
        };
        add(vm_kind::entry, failure_domain.entries);
        add(vm_kind::engine, failure_domain.engines);
        add(vm_kind::booking, failure_domain.booking);
        add(vm_kind::supporting, failure_domain.supporting);
    }
    return vms;
}

std::string store_address(deployment const& fleet_layout)
{
    return own_network(fleet_layout) + "200.1";
}

std::string link_control_address(deployment const& fleet_layout)
{
    return own_network(fleet_layout) + "200.2";
}

std::string domain_network(deployment const& fleet_layout, std::size_t domain)
{
    return own_network(fleet_layout) + std::to_string(domain + 1) + ".";
}

std::string through_link(
    deployment const& fleet_layout,
    std::size_t from_region,
    std::string const& address)
{
    auto const network = fleet_layout.network + 1 + from_region;
    return "127." + std::to_string(network) + "." +
           address.substr(own_network(fleet_layout).size());
}

std::vector<std::string> regions_of(deployment const& fleet_layout)
{
    std::vector<std::string> regions;
    for (auto const& failure_domain : fleet_layout.domains)
    {
        if (std::ranges::find(regions, failure_domain.region) == regions.end())
        {
            regions.push_back(failure_domain.region);
        }
    }
    return regions;
}

std::size_t
region_index(deployment const& fleet_layout, std::string const& region)
{
    auto const regions = regions_of(fleet_layout);
    return static_cast<std::size_t>(
        std::ranges::find(regions, region) - regions.begin());
}

} // namespace foxtailvale::scenario
