#ifndef FOXTAILVALE_ROUTING_ROUTES_HPP
#define FOXTAILVALE_ROUTING_ROUTES_HPP

#include <base/error.hpp>
#include <routing/configuration.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace foxtailvale::routing
{

// Age of the read that last confirmed a view, counted from the moment at which
// the read began: what was accepted before that moment is known.
using view_age = std::chrono::milliseconds;

// The route of the host with the longest prefix that begins the path; the
// host's port and the target's query do not count. Null when there is none.
route const* find_route(
    configuration const& current,
    std::string_view host,
    std::string_view target);

// The service that this request goes to. The same token always gives the same
// service, and over many tokens the shares are those of the weights.
std::string const& choose_service(route const& chosen, std::string_view token);

// What a caller brings and how well this process knows the configuration.
struct admission_ask
{
    std::string_view host;
    std::string_view target;
    // Key as the caller sent it; empty without one.
    std::string_view key;
    view_age age{0};
};

// How old a view may be for each use.
struct view_limits
{
    // Beyond it a key may have been withdrawn: a caller with a key is refused
    // as "not run". Failure: a machine that is cut off from the platform goes
    // on serving a key that was taken away. It shows as answers to a former
    // customer; the limit holds because a read that began within it saw every
    // withdrawal that is older than it.
    std::chrono::milliseconds max_age_for_keys{3800};
    // Beyond it "no such route" and "no such key" are not said: the route or
    // key may have been added meanwhile, and callers do not come back after
    // such an answer.
    std::chrono::milliseconds max_age_for_denials{3800};
};

// What a request may use.
struct permission
{
    route const* chosen = nullptr;
    // Null on an open route and without workspaces.
    workspace const* owner = nullptr;
    std::uint32_t priority = 0;
    // Regions that may serve it; empty allows all.
    std::set<std::string> regions;
};

// Finds what the request may use, or why it may use nothing: unknown_route,
// unknown_key, stale_configuration, no_region. Null means that this process
// knows no configuration yet.
base::result<permission> permit(
    configuration const* current,
    admission_ask const& ask,
    view_limits const& limits);

} // namespace foxtailvale::routing

#endif
