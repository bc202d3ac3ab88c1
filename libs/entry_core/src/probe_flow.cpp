#include "flows.hpp"

#include <algorithm>
#include <set>

namespace foxtailvale::entry_core
{

namespace
{

// An agent that runs something for this entry and says nothing for this long
// is asked for a sign. Made for long calls of plain services, which send
// nothing until they end; twice a second over at most a few hundred such
// agents stays far below the budget for control.
constexpr std::chrono::milliseconds probe_interval{500};

std::set<std::string> busy_agents(state const& state)
{
    std::set<std::string> agents;
    for (auto const& [caller, open] : state.requests.open)
    {
        if (open.stage != request_stage::waiting && !open.agent.empty())
        {
            agents.insert(open.agent);
        }
    }
    return agents;
}

} // namespace

void note_incarnation(
    state& state,
    std::string const& peer,
    std::uint64_t incarnation,
    base::time_point now,
    actions& out)
{
    auto const added = state.requests.lives.try_emplace(
        peer, peer_life{incarnation, now, now});
    auto& life = added.first->second;
    life.heard = now;
    if (life.incarnation != incarnation)
    {
        life.incarnation = incarnation;
        on_endpoint_lost(state, peer, now, out);
    }
}

// Failure: an agent is restarted while it runs a booking. It speaks to three
// entries only; another one would not hear of its new life, and the caller
// would learn that the outcome is unknown only at the deadline. An empty frame
// is answered by the new life's peer bus, which tells its incarnation.
void probe_silent_agents(state& state, base::time_point now, actions& out)
{
    for (auto const& agent : busy_agents(state))
    {
        auto const found = state.requests.lives.find(agent);
        if (found == state.requests.lives.end())
        {
            continue;
        }
        auto& life = found->second;
        if (now - std::max(life.heard, life.probed) < probe_interval)
        {
            continue;
        }
        life.probed = now;
        out.push_back(core::send_message{agent, {}});
    }
}

} // namespace foxtailvale::entry_core
