#include <request/refusals.hpp>

namespace foxtailvale::request
{

namespace
{

void forget_oldest(recent_refusals& state)
{
    auto const& [request, at] = state.order.front();
    auto const found = state.refused.find(request);
    // Refused again meanwhile: the later entry stays.
    if (found != state.refused.end() && found->second == at)
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
    while (state.order.size() > most_refusals)
    {
        forget_oldest(state);
    }
}

std::optional<base::time_point>
refused_at(recent_refusals const& state, fingerprint request, base::time_point now)
{
    auto const found = state.refused.find(request);
    if (found == state.refused.end() || now - found->second > refusal_memory)
    {
        return std::nullopt;
    }
    return found->second;
}

void expire(recent_refusals& state, base::time_point now)
{
    while (!state.order.empty() &&
           now - state.order.front().second > refusal_memory)
    {
        forget_oldest(state);
    }
}

} // namespace foxtailvale::request
