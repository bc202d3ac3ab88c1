#include "endpoint_shares.hpp"

#include <base/digest.hpp>
#include <direct/followed_endpoints.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

std::set<std::string>
followed_endpoints(endpoint_table const& table, placement_query const& query)
{
    endpoint_shares const shares(table, query);
    std::set<std::string> followed;
    for (auto const& [id, state] : table.endpoints)
    {
        if (state.listed.service == query.service && shares.includes(state))
        {
            followed.insert(id);
        }
    }
    return followed;
}

void discard_other_reports(
    endpoint_table& table,
    std::string const& service,
    std::set<std::string> const& followed)
{
    for (auto& [id, state] : table.endpoints)
    {
        if (state.listed.service == service && !followed.contains(id))
        {
            state.report.reset();
        }
    }
}

std::vector<std::string> choose_directory(std::vector<std::string> agents)
{
    auto const rank = [](std::string const& agent)
    {
        return std::pair(base::stable_hash(agent), agent);
    };
    std::ranges::sort(agents, {}, rank);
    agents.resize(std::min(agents.size(), directory_agents));
    return agents;
}

} // namespace foxtailvale::direct
