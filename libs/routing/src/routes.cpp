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

// Regions that both allow, where an empty set allows all. Nothing is left when
// two sets do not meet.
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
    std::set<std::string> both;
    std::ranges::set_intersection(
        one, other, std::inserter(both, both.begin()));
    if (both.empty())
    {
        return std::nullopt;
    }
    return both;
}

base::result<permission> permit_owner(
    configuration const& current, route const& chosen, std::string_view key)
{
    permission allowed{
        .chosen = &chosen,
        .owner = nullptr,
        .priority = chosen.priority,
        .regions = chosen.regions};
    if (!current.has_workspaces || chosen.open)
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

base::result<permission> permit(
    configuration const* current,
    admission_ask const& ask,
    view_limits const& limits)
{
    if (current == nullptr)
    {
        return base::fail(error_kind::no_configuration);
    }
    auto const* chosen = find_route(*current, ask.host, ask.target);
    if (chosen == nullptr)
    {
        return base::fail(
            ask.age > limits.max_age_for_denials ? error_kind::stale_configuration
                                         : error_kind::unknown_route);
    }
    auto allowed = permit_owner(*current, *chosen, ask.key);
    if (allowed.has_error() &&
        allowed.error().kind == error_kind::unknown_key &&
        ask.age > limits.max_age_for_denials)
    {
        return base::fail(error_kind::stale_configuration);
    }
    if (allowed.has_value() && allowed.value().owner != nullptr &&
        ask.age > limits.max_age_for_keys)
    {
        return base::fail(error_kind::stale_configuration);
    }
    return allowed;
}

} // namespace foxtailvale::routing
