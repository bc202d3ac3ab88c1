#include <gateway/ranked_admission.hpp>

#include <algorithm>
#include <optional>

namespace foxtailvale::gateway
{

namespace
{

bool leads_to(routing::route const& route, std::string const& service)
{
    return std::ranges::any_of(
        route.services,
        [&service](routing::weighted_service const& target)
        {
            return target.service == service;
        });
}

bool do_routes_differ(
    routing::configuration const& configuration, std::string const& service)
{
    std::optional<std::uint32_t> priority;
    for (auto const& [host, routes] : configuration.routes)
    {
        for (auto const& route : routes)
        {
            if (!leads_to(route, service))
            {
                continue;
            }
            if (priority && *priority != route.priority)
            {
                return true;
            }
            priority = route.priority;
        }
    }
    return false;
}

} // namespace

bool is_ranked(entry_context const& context, std::string const& service)
{
    switch (context.settings.scheduling.admission)
    {
    case scheduling::ranked_admission::on:
        return true;
    case scheduling::ranked_admission::off:
        return false;
    case scheduling::ranked_admission::automatic:
        break;
    }
    return context.settings.ranks_compete ||
           (context.configuration &&
            do_routes_differ(*context.configuration, service));
}

} // namespace foxtailvale::gateway
