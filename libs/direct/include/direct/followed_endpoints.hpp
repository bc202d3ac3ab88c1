#ifndef FOXTAILVALE_DIRECT_FOLLOWED_ENDPOINTS_HPP
#define FOXTAILVALE_DIRECT_FOLLOWED_ENDPOINTS_HPP

#include <direct/placement.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

// Selects the agents with which an entry exchanges messages in a fleet whose
// entries outnumber the shares of an endpoint.
//
// Failure: each of hundreds of entries received the reports of all engines. The
// reports filled the links between regions, and entries that then heard nothing
// subscribed to every agent beyond the link, so that the links stayed full:
// most regions lost the platform's store and served nobody.
namespace foxtailvale::direct
{

// Returns the ids of the service's endpoints of which this entry has a share,
// draining ones included. These are the only ones to which it sends requests,
// so that it needs no reports of others.
std::set<std::string>
followed_endpoints(endpoint_table const& table, placement_query const& query);

// Discards the reports of endpoints of the service that are not followed. An
// old report would show the endpoint as unresponsive when it is followed again.
void discard_other_reports(
    endpoint_table& table,
    std::string const& service,
    std::set<std::string> const& followed);

// Agents of a failure domain that know all its entries.
inline constexpr std::size_t directory_agents = 4;

// Returns the IP addresses of the agents at which all entries of a failure
// domain announce themselves and that tell others of them, given those of all
// its agents. Every entry selects the same ones, and few change when agents
// come and go.
std::vector<std::string> choose_directory(std::vector<std::string> agents);

} // namespace foxtailvale::direct

#endif
