#include "flows.hpp"

#include <algorithm>
#include <set>

namespace foxtailvale::entry_core
{

namespace
{

// An agent that runs a request of this entry and sends nothing for this long is
// probed. This covers long calls of plain services, which send nothing until
// they end. Two probes a second to at most a few hundred such agents stay far
// below the budget for control traffic.
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
    auto const added = state.requests.peer_contacts.try_emplace(
        peer, peer_contact{incarnation, now, now});
    auto& contact = added.first->second;
    contact.last_heard = now;
    if (contact.incarnation != incarnation)
    {
        contact.incarnation = incarnation;
        on_endpoint_lost(state, peer, now, out);
    }
}

// Failure: an agent restarts while it runs a booking. It sends heartbeats to
// three entries only, so another entry would not learn of the new incarnation,
// and its caller would learn only at the deadline that the outcome is unknown.
// An empty frame is answered by the peer bus of the new incarnation, which
// thereby makes itself known.
void probe_unresponsive_agents(state& state, base::time_point now, actions& out)
{
    for (auto const& agent : busy_agents(state))
    {
        auto const found = state.requests.peer_contacts.find(agent);
        if (found == state.requests.peer_contacts.end())
        {
            continue;
        }
        auto& contact = found->second;
        if (now - std::max(contact.last_heard, contact.last_probed) <
            probe_interval)
        {
            continue;
        }
        contact.last_probed = now;
        out.push_back(core::send_message{agent, {}});
    }
}

} // namespace foxtailvale::entry_core
