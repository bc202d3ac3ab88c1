#include <request/refusals.hpp>

namespace foxtailvale::request
{

namespace
{

void evict_oldest(recent_refusals& state)
{
    auto const& [request, refusal_time] = state.order.front();
    auto const found = state.refused.find(request);
    // If the request was refused again since, the later refusal is kept.
    if (found != state.refused.end() && found->second == refusal_time)
    {
        state.refused.erase(found);
    }
    state.order.pop_front();
}

} // namespace

void note_refusal(
    recent_refusals& state, fingerprint request, base::time_point now)
{
    state.refused[request] = now;
    state.order.emplace_back(request, now);
    while (state.order.size() > max_refusals)
    {
        evict_oldest(state);
    }
}

std::optional<base::time_point> refused_at(
    recent_refusals const& state, fingerprint request, base::time_point now)
{
    auto const found = state.refused.find(request);
    if (found == state.refused.end() || now - found->second > refusal_retention)
    {
        return std::nullopt;
    }
    return found->second;
}

void expire(recent_refusals& state, base::time_point now)
{
    while (!state.order.empty() &&
           now - state.order.front().second > refusal_retention)
    {
        evict_oldest(state);
    }
}

} // namespace foxtailvale::request
