#ifndef FOXTAILVALE_GATEWAY_AGENT_CONTACTS_HPP
#define FOXTAILVALE_GATEWAY_AGENT_CONTACTS_HPP

#include <gateway/entry_context.hpp>
#include <net/datagram_socket.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

// Selects the agents to which an entry sends subscriptions and questions.
namespace foxtailvale::gateway
{

// Returns the addresses of the agents to whose reports this entry subscribes:
// those of the endpoints of which it has a share. Where it has a share of all,
// those of the given failure domains. Discards the reports of endpoints that
// are no longer followed.
std::set<net::udp_endpoint> followed_agents(
    entry_context& context, std::set<std::string> const& polled_domains);

// The agents of each failure domain that know all its entries.
using agent_directories = std::map<std::string, std::vector<net::udp_endpoint>>;
agent_directories find_directories(entry_context const& context);

// Returns the failure domains whose directory is asked in this round: the own
// one, and the others in turn. An entry that has just started asks all.
std::vector<std::string> domains_to_ask(
    entry_context const& context,
    agent_directories const& directories,
    std::size_t round);

} // namespace foxtailvale::gateway

#endif
