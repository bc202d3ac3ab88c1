#include "flows.hpp"

#include <algorithm>

namespace foxtailvale::entry_core
{

namespace
{

// An entry becomes ready after this time although it knows no endpoint for some
// model or service. By then it is cut off or there is no such endpoint, and
// callers are better served with what it has than by one entry less.
constexpr std::chrono::seconds max_wait{5};

bool has_endpoint(state const& state, auto const& wanted)
{
    return std::ranges::any_of(
        state.control.endpoints,
        [&](auto const& known)
        {
            return known.second.limit > 0 && wanted(known.second);
        });
}

bool knows_endpoints(state const& state)
{
    auto const& configuration = state.control.configuration;
    auto const has_model = [&](auto const& model)
    {
        return has_endpoint(
            state,
            [&](endpoint_view const& view)
            {
                return view.serving.contains(model.first);
            });
    };
    auto const has_service = [&](auto const& service)
    {
        return has_endpoint(
            state,
            [&](endpoint_view const& view)
            {
                return view.service == service.first;
            });
    };
    return std::ranges::all_of(configuration.models, has_model) &&
           std::ranges::all_of(configuration.services, has_service);
}

} // namespace

void update_readiness(state& state, base::time_point now)
{
    auto& readiness = state.control.readiness;
    if (readiness.ready || state.control.configuration.generation == 0)
    {
        return;
    }
    if (!readiness.configured_at)
    {
        readiness.configured_at = now;
    }
    // Failure: a restarted entry has the configuration before it has heard from
    // any agent. If it were ready then, the load balancer would route callers
    // to it, and it would refuse each with "no endpoint" although all endpoints
    // are healthy. So it is ready only when it knows an endpoint for every
    // model and service. It stays ready after that: when endpoints are lost, no
    // other entry could serve the callers better.
    readiness.ready =
        knows_endpoints(state) || now - *readiness.configured_at >= max_wait;
}

} // namespace foxtailvale::entry_core
