#ifndef FOXTAILVALE_ROUTING_ROUTES_HPP
#define FOXTAILVALE_ROUTING_ROUTES_HPP

#include <base/error.hpp>
#include <routing/configuration.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailvale::routing
{

// Age of a view of the configuration: the time since the read that last
// confirmed the view began. The view contains everything that was accepted
// before the read began.
using view_age = std::chrono::milliseconds;

// Returns the host's route with the longest prefix of the path, or null if
// there is none. Ignores the host's port and the target's query. Requires
// sorted routes, see sort_routes.
route const* find_route(
    configuration const& current,
    std::string_view host,
    std::string_view target);

// Chooses the service for a request by a hash of the token. The same token
// always gives the same service; over many tokens the services are chosen in
// proportion to their weights. Requires at least one service.
std::string const& choose_service(route const& chosen, std::string_view token);

// Input of `permit`: the caller's request and the age of this process's view of
// the configuration.
struct permit_query
{
    std::string_view host;
    std::string_view target;
    // Key as sent by the caller; empty if none was sent.
    std::string_view key;
    view_age age{0};
};

// Maximum age of a view for each use.
struct view_limits
{
    // Beyond this age a key may have been revoked, so a request with a key is
    // refused as "not run". Without the limit, a machine that is cut off from
    // the platform would keep accepting a revoked key, and a former customer
    // would still get answers. The limit is sufficient because a read that
    // began within it saw every revocation older than the limit.
    std::chrono::milliseconds max_age_for_keys{3800};
    // Beyond this age "no such route" and "no such key" are not returned: the
    // route or key may have been added since, and callers do not retry after
    // such an answer.
    std::chrono::milliseconds max_age_for_denials{3800};
};

// The route, workspace and regions that a request may use.
struct permission
{
    route const* chosen = nullptr;
    // Workspace of the caller's key; null on an open route and in a
    // configuration without workspaces.
    workspace const* owner = nullptr;
    std::uint32_t priority = 0;
    // Regions that may serve the request; empty allows all.
    std::set<std::string> regions;
};

// Determines what a request may use. Fails with unknown_route, unknown_key,
// stale_configuration or no_region; and with no_configuration if `current` is
// null, which means that this process has not read a configuration yet.
base::result<permission> permit(
    configuration const* current,
    permit_query const& query,
    view_limits const& limits);

// Whether routes that lead to the service differ in priority.
bool differ_in_priority(
    configuration const& current, std::string const& service);

// Returns the smallest goal of the routes that lead to the service with at
// least this priority; nothing if none of them has a goal.
std::optional<std::chrono::milliseconds> shortest_goal(
    configuration const& current,
    std::string const& service,
    std::uint32_t priority);

} // namespace foxtailvale::routing

#endif
