#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

// Number of agents that one gossip message is sent to.
constexpr std::size_t gossip_targets = 4;

std::vector<control::plan_endpoint const*>
all_holders(state const& state, std::string const& digest)
{
    std::vector<control::plan_endpoint const*> agents;
    for (auto const& [domain, plan] : state.control.plans)
    {
        for (auto const* const endpoint : control::holders(plan, digest))
        {
            if (endpoint->agent != state.self.name)
            {
                agents.push_back(endpoint);
            }
        }
    }
    return agents;
}

} // namespace

std::optional<weights::chunk_source>
baseline_source(state& state, transfer const& transfer, std::uint32_t index)
{
    weights::chunk_source const origin;
    if (state.weights.how == distribution::origin)
    {
        return origin;
    }
    auto const agents = all_holders(state, transfer.digest);
    std::vector<weights::chunk_source> holding;
    for (auto const* const agent : agents)
    {
        auto const found = transfer.holders.find(agent->agent);
        if (found != transfer.holders.end() && index < found->second.size() &&
            found->second[index])
        {
            holding.push_back({agent->agent, agent->address});
        }
    }
    if (!holding.empty())
    {
        return holding[base::random_below(state.random, holding.size())];
    }
    // No agent is known to hold the chunk. The origin counts as one source
    // among all the others, so it is chosen as often as each of them would be.
    if (base::random_below(state.random, agents.size() + 1) == 0)
    {
        return origin;
    }
    return std::nullopt;
}

void gossip_holdings(state& state, actions& out)
{
    for (auto const& [digest, version] : state.weights.store.versions)
    {
        auto const agents = all_holders(state, digest);
        auto const bitmap = held_bitmap(state, digest);
        auto const count = std::min(gossip_targets, agents.size());
        for (std::size_t sent = 0; sent < count; ++sent)
        {
            auto const* const agent =
                agents[base::random_below(state.random, agents.size())];
            connect_source(state, {agent->agent, agent->address}, out);
            core::send_message message{agent->agent, {}};
            auto* const have = message.envelope.mutable_chunk_have();
            have->set_digest(digest);
            have->set_bitmap(bitmap);
            out.push_back(std::move(message));
        }
    }
}

} // namespace foxtailvale::agent_core
