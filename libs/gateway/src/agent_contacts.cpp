#include <direct/followed_endpoints.hpp>
#include <gateway/agent_contacts.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using clock = std::chrono::steady_clock;

// Other failure domains whose directory is asked in one round.
constexpr std::size_t others_per_round = 2;

void add_agent(
    std::set<net::udp_endpoint>& agents,
    entry_context const& context,
    direct::endpoint_state const& state)
{
    if (auto const address = net::parse_endpoint(state.listed.address))
    {
        agents.emplace(address->address(), context.settings.peer_port);
    }
}

std::set<std::string> services_with_agents(entry_context const& context)
{
    std::set<std::string> found;
    for (auto const& [id, state] : context.book.endpoints)
    {
        if (has_agents(context, state.listed.service))
        {
            found.insert(state.listed.service);
        }
    }
    return found;
}

void add_agents_of_domains(
    std::set<net::udp_endpoint>& agents,
    entry_context const& context,
    std::string const& service,
    std::set<std::string> const& domains)
{
    for (auto const& [id, state] : context.book.endpoints)
    {
        if (state.listed.service == service &&
            domains.contains(state.listed.failure_domain))
        {
            add_agent(agents, context, state);
        }
    }
}

void add_agents_with_share(
    std::set<net::udp_endpoint>& agents,
    entry_context& context,
    std::string const& service)
{
    auto query = query_for(
        context, service, context.configuration->services.at(service));
    query.parts = &context.parts;
    auto const followed = direct::followed_endpoints(context.book, query);
    direct::discard_other_reports(context.book, service, followed);
    for (auto const& id : followed)
    {
        add_agent(agents, context, context.book.endpoints.at(id));
    }
}

} // namespace

std::set<net::udp_endpoint> followed_agents(
    entry_context& context, std::set<std::string> const& polled_domains)
{
    std::set<net::udp_endpoint> found;
    for (auto const& service : services_with_agents(context))
    {
        if (is_divided(context, service))
        {
            add_agents_with_share(found, context, service);
            continue;
        }
        add_agents_of_domains(found, context, service, polled_domains);
    }
    return found;
}

agent_directories find_directories(entry_context const& context)
{
    std::map<std::string, std::set<std::string>> agents;
    for (auto const& [id, state] : context.book.endpoints)
    {
        auto const address = net::parse_endpoint(state.listed.address);
        if (address && has_agents(context, state.listed.service))
        {
            agents[state.listed.failure_domain].insert(
                address->address().to_string());
        }
    }
    agent_directories found;
    for (auto const& [domain, known] : agents)
    {
        for (auto const& agent :
             direct::choose_directory({known.begin(), known.end()}))
        {
            found[domain].emplace_back(
                boost::asio::ip::make_address(agent),
                context.settings.peer_port);
        }
    }
    return found;
}

std::vector<std::string> domains_to_ask(
    entry_context const& context,
    agent_directories const& directories,
    std::size_t round)
{
    std::vector<std::string> others;
    std::vector<std::string> chosen;
    for (auto const& [domain, agents] : directories)
    {
        auto const is_own = domain == context.settings.failure_domain;
        (is_own ? chosen : others).push_back(domain);
    }
    auto const count = direct::is_newcomer(context.entries, clock::now())
                           ? others.size()
                           : std::min(others_per_round, others.size());
    for (std::size_t next = 0; next < count; ++next)
    {
        auto const turn = round * others_per_round + next;
        chosen.push_back(others[turn % others.size()]);
    }
    return chosen;
}

} // namespace foxtailvale::gateway
