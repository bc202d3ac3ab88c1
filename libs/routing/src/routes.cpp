#include <base/digest.hpp>
#include <routing/routes.hpp>

#include <algorithm>
#include <cctype>
#include <iterator>

namespace foxtailvale::routing
{

namespace
{

using base::error_kind;

// Host name without the port, in lower case.
std::string host_name(std::string_view host)
{
    auto const colon = host.find(':');
    std::string name(host.substr(0, colon));
    std::ranges::transform(
        name, name.begin(),
        [](unsigned char letter)
        {
            return static_cast<char>(std::tolower(letter));
        });
    return name;
}

// Intersection of two sets of allowed regions, where an empty set allows all.
// Returns nullopt if no region is in both sets.
std::optional<std::set<std::string>> common_regions(
    std::set<std::string> const& one, std::set<std::string> const& other)
{
    if (one.empty())
    {
        return other;
    }
    if (other.empty())
    {
        return one;
    }
    std::set<std::string> common;
    std::ranges::set_intersection(
        one, other, std::inserter(common, common.begin()));
    if (common.empty())
    {
        return std::nullopt;
    }
    return common;
}

// Permission for a request on the route, with the key's workspace if the route
// needs a key.
base::result<permission> permit_key(
    configuration const& current, route const& chosen, std::string_view key)
{
    permission allowed{
        .chosen = &chosen,
        .owner = nullptr,
        .priority = chosen.priority,
        .regions = chosen.regions};
    if (!current.needs_keys || chosen.open)
    {
        return allowed;
    }
    auto const found = current.keys.find(std::string(key));
    if (found == current.keys.end())
    {
        return base::fail(error_kind::unknown_key);
    }
    auto const& owner = current.workspaces.at(found->second);
    auto const regions = common_regions(chosen.regions, owner.regions);
    if (!regions)
    {
        return base::fail(error_kind::no_region);
    }
    allowed.owner = &owner;
    allowed.priority = owner.priority.value_or(chosen.priority);
    allowed.regions = *regions;
    return allowed;
}

bool leads_to(route const& chosen, std::string const& service)
{
    return std::ranges::any_of(
        chosen.services,
        [&service](weighted_service const& target)
        {
            return target.service == service;
        });
}

} // namespace

void sort_routes(configuration& value)
{
    for (auto& [host, routes] : value.routes)
    {
        std::ranges::stable_sort(
            routes,
            [](route const& one, route const& other)
            {
                return one.path_prefix.size() > other.path_prefix.size();
            });
    }
}

route const* find_route(
    configuration const& current,
    std::string_view host,
    std::string_view target)
{
    auto const found = current.routes.find(host_name(host));
    if (found == current.routes.end())
    {
        return nullptr;
    }
    auto const path = target.substr(0, target.find('?'));
    auto const match = std::ranges::find_if(
        found->second,
        [path](route const& entry)
        {
            return path.starts_with(entry.path_prefix);
        });
    return match == found->second.end() ? nullptr : &*match;
}

std::string const& choose_service(route const& chosen, std::string_view token)
{
    std::uint64_t total = 0;
    for (auto const& entry : chosen.services)
    {
        total += entry.weight;
    }
    if (total == 0)
    {
        return chosen.services.front().service;
    }
    auto point = base::stable_hash(token) % total;
    for (auto const& entry : chosen.services)
    {
        if (point < entry.weight)
        {
            return entry.service;
        }
        point -= entry.weight;
    }
    return chosen.services.back().service;
}

bool differ_in_priority(
    configuration const& current, std::string const& service)
{
    std::optional<std::uint32_t> first;
    for (auto const& [host, routes] : current.routes)
    {
        for (auto const& next : routes)
        {
            if (!leads_to(next, service))
            {
                continue;
            }
            if (first && *first != next.priority)
            {
                return true;
            }
            first = next.priority;
        }
    }
    return false;
}

std::optional<std::chrono::milliseconds> shortest_goal(
    configuration const& current,
    std::string const& service,
    std::uint32_t priority)
{
    std::optional<std::chrono::milliseconds> shortest;
    for (auto const& [host, routes] : current.routes)
    {
        for (auto const& next : routes)
        {
            if (next.priority <= priority && next.goal.count() > 0 &&
                leads_to(next, service))
            {
                shortest = std::min(shortest.value_or(next.goal), next.goal);
            }
        }
    }
    return shortest;
}

base::result<permission> permit(
    configuration const* current,
    permit_query const& query,
    view_limits const& limits)
{
    if (current == nullptr)
    {
        return base::fail(error_kind::no_configuration);
    }
    auto const* chosen = find_route(*current, query.host, query.target);
    if (chosen == nullptr)
    {
        return base::fail(
            query.age > limits.max_age_for_denials
                ? error_kind::stale_configuration
                : error_kind::unknown_route);
    }
    auto allowed = permit_key(*current, *chosen, query.key);
    if (allowed.has_error() &&
        allowed.error().kind == error_kind::unknown_key &&
        query.age > limits.max_age_for_denials)
    {
        return base::fail(error_kind::stale_configuration);
    }
    if (allowed.has_value() && allowed.value().owner != nullptr &&
        query.age > limits.max_age_for_keys)
    {
        return base::fail(error_kind::stale_configuration);
    }
    return allowed;
}

} // namespace foxtailvale::routing
