#include "fleet_shape.hpp"

#include <base/digest.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtailvale::capacity
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t engine_memory_mib = 81920;
constexpr std::uint32_t model_memory_mib = 60000;

std::string address_of(std::uint32_t number)
{
    return "10.0." + std::to_string(number / 250) + "." +
           std::to_string(number % 250 + 1) + ":7000";
}

std::string region_name(fleet_shape const& shape, std::uint32_t domain)
{
    return "region-" + std::to_string(domain % shape.regions);
}

json vm_entry(
    fleet_shape const& shape,
    std::string const& name,
    char const* role,
    std::uint32_t domain,
    std::uint32_t place)
{
    return {
        {"name", name},
        {"role", role},
        {"failure_domain", domain_name(domain)},
        {"region", region_name(shape, domain)},
        {"address", address_of(place)},
        {"memory_mib",
         std::string_view(role) == "agent" ? engine_memory_mib : 0}};
}

} // namespace

fleet_shape shape_of(std::uint32_t endpoints)
{
    fleet_shape shape;
    shape.endpoints = endpoints;
    shape.entries = std::max(1U, endpoints * target_entries / target_endpoints);
    return shape;
}

std::string domain_name(std::uint32_t number)
{
    return "domain-" + std::to_string(number);
}

std::string agent_name(fleet_shape const& shape, std::uint32_t number)
{
    return domain_name(number % shape.domains) + "-engine-" +
           std::to_string(number);
}

std::string entry_name(fleet_shape const& shape, std::uint32_t number)
{
    return domain_name(number % shape.domains) + "-entry-" +
           std::to_string(number);
}

std::string model_name(std::uint32_t number)
{
    return "model-" + std::to_string(number);
}

std::string digest_of(std::uint32_t model)
{
    return base::sha256_hex(model_name(model));
}

release::configuration
make_configuration(fleet_shape const& shape, std::uint64_t generation)
{
    release::configuration result;
    result.generation = generation;
    auto const each =
        std::max(1U, shape.endpoints / shape.domains / shape.models);
    for (std::uint32_t number = 0; number < shape.models; ++number)
    {
        auto& model = result.models[model_name(number)];
        model.digest = digest_of(number);
        model.memory_mib = model_memory_mib;
        for (std::uint32_t domain = 0; domain < shape.domains; ++domain)
        {
            model.replicas[domain_name(domain)] = each;
        }
    }
    for (std::uint32_t domain = 0; domain < shape.domains; ++domain)
    {
        result.domains[domain_name(domain)].region = region_name(shape, domain);
    }
    result.services["booking"] = {};
    for (std::uint32_t number = 0; number < shape.workspaces; ++number)
    {
        result.workspaces["workspace-" + std::to_string(number)] = {};
    }
    return result;
}

std::vector<control::plan_member>
members_of(fleet_shape const& shape, std::uint32_t domain)
{
    std::vector<control::plan_member> members;
    for (auto number = domain; number < shape.endpoints;
         number += shape.domains)
    {
        members.push_back(
            {agent_name(shape, number), address_of(number), engine_memory_mib});
    }
    return members;
}

control::domain_plan
make_domain_plan(fleet_shape const& shape, std::uint32_t domain)
{
    auto plan = control::make_plan(
        make_configuration(shape, 1), domain_name(domain),
        members_of(shape, domain), {});
    plan.version = 1;
    return plan;
}

std::string make_vm_list(fleet_shape const& shape)
{
    json list = json::array();
    for (std::uint32_t number = 0; number < shape.endpoints; ++number)
    {
        list.push_back(vm_entry(
            shape, agent_name(shape, number), "agent", number % shape.domains,
            number));
    }
    for (std::uint32_t number = 0; number < shape.entries; ++number)
    {
        list.push_back(vm_entry(
            shape, entry_name(shape, number), "entry", number % shape.domains,
            shape.endpoints + number));
    }
    return json{{"vms", std::move(list)}}.dump();
}

} // namespace foxtailvale::capacity
