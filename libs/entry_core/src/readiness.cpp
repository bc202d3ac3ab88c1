#include "flows.hpp"

#include <algorithm>

namespace foxtailvale::entry_core
{

namespace
{

// An entry that still knows no endpoint for some model or service after this
// long is cut off or there is none; callers are then better served with what
// it has than by one entry less.
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
    if (!readiness.configured)
    {
        readiness.configured = now;
    }
    // Failure: a restarted entry has the configuration before it has heard
    // from any agent; the balancer sends it callers and it turns each away
    // with "no endpoint" although all endpoints are well. It is ready only
    // when it knows an endpoint for each thing that callers may ask for. It
    // stays ready after that: if endpoints go, no entry would do better.
    readiness.ready =
        knows_endpoints(state) || now - *readiness.configured >= max_wait;
}

} // namespace foxtailvale::entry_core
