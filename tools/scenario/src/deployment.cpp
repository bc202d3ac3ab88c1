#include "deployment.hpp"

#include <release/object_reader.hpp>

#include <algorithm>

namespace foxtailvale::scenario
{

namespace
{

constexpr std::uint64_t most_vms = 200;
constexpr std::uint64_t most_rate = 1ULL << 40U;

// "127.1.", the network of a fleet's VMs.
std::string own_network(deployment const& from)
{
    return "127." + std::to_string(from.network) + ".";
}

domain read_domain(release::object_reader reader)
{
    auto const count = [&](char const* key)
    {
        return static_cast<std::uint32_t>(
            reader.number_or(key, 0, 0, most_vms));
    };
    domain read;
    read.name = reader.text("name");
    read.region = reader.text("region");
    read.entries = count("entries");
    read.engines = count("engines");
    read.booking = count("booking");
    read.supporting = count("supporting");
    reader.finish();
    return read;
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
    deployment read;
    read.name = reader.text("name");
    read.model = reader.text("model");
    read.booking_service = reader.text("booking_service");
    read.supporting_service = reader.text("supporting_service");
    read.store_region = reader.text("store_region");
    for (std::size_t index = 0; index < reader.size("domains"); ++index)
    {
        read.domains.push_back(read_domain(reader.element("domains", index)));
    }
    read.region_latency_us =
        reader.number_or("region_latency_us", 0, 0, most_rate);
    read.region_bits_per_second =
        reader.number_or("region_bits_per_second", 0, 0, most_rate);
    if (reader.has("workspaces"))
    {
        read.workspaces = source.value["workspaces"];
    }
    reader.finish();
    return read;
}

std::vector<vm> make_vms(deployment const& from)
{
    std::vector<vm> vms;
    for (std::size_t index = 0; index < from.domains.size(); ++index)
    {
        auto const& place = from.domains[index];
        auto number = 0;
        auto const add = [&](vm_kind kind, std::uint32_t count)
        {
            for (std::uint32_t made = 1; made <= count; ++made)
            {
                ++number;
                vms.push_back(
                    {place.name + "-" + kind_name(kind) + "-" +
                         std::to_string(made),
                     kind, index,
                     domain_network(from, index) + std::to_string(number)});
            }
        };
        add(vm_kind::entry, place.entries);
        add(vm_kind::engine, place.engines);
        add(vm_kind::booking, place.booking);
        add(vm_kind::supporting, place.supporting);
    }
    return vms;
}

std::string store_address(deployment const& from)
{
    return own_network(from) + "200.1";
}

std::string link_control_address(deployment const& from)
{
    return own_network(from) + "200.2";
}

std::string domain_network(deployment const& from, std::size_t domain)
{
    return own_network(from) + std::to_string(domain + 1) + ".";
}

std::string through_link(
    deployment const& from, std::size_t from_region, std::string const& address)
{
    auto const network = from.network + 1 + from_region;
    return "127." + std::to_string(network) + "." +
           address.substr(own_network(from).size());
}

std::vector<std::string> regions_of(deployment const& from)
{
    std::vector<std::string> regions;
    for (auto const& place : from.domains)
    {
        if (std::ranges::find(regions, place.region) == regions.end())
        {
            regions.push_back(place.region);
        }
    }
    return regions;
}

std::size_t region_index(deployment const& from, std::string const& region)
{
    auto const regions = regions_of(from);
    return static_cast<std::size_t>(
        std::ranges::find(regions, region) - regions.begin());
}

} // namespace foxtailvale::scenario
