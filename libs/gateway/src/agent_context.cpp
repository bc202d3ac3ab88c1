#include "agent_context.hpp"

#include <algorithm>

namespace foxtailvale::gateway
{

agent_context::agent_context(
    boost::asio::io_context& event_loop, platform::settings given)
    : loop(event_loop), settings(std::move(given)),
      pool(event_loop), random{base::entropy_seed()}
{
}

std::uint64_t agent_context::oldest_held() const
{
    return this->versions.empty() ? 0 : this->versions.begin()->first;
}

void note_served(agent_context& state, served_model const& served)
{
    state.model = served.model;
    state.origin = served.origin;
    state.origin_bounds = served.limits;
}

bool note_named(
    agent_context& state,
    std::string const& model,
    weights::announced_target const& target)
{
    auto& known = state.named[model];
    if (!known.empty() && known.back().version >= target.version)
    {
        return false;
    }
    known.push_back(target);
    return true;
}

std::vector<weights::announced_target> const&
targets_of(agent_context const& state)
{
    static std::vector<weights::announced_target> const none;
    auto const found = state.named.find(state.model);
    return found == state.named.end() ? none : found->second;
}

std::uint64_t newest_version(agent_context const& state)
{
    auto const& targets = targets_of(state);
    return targets.empty() ? 1 : targets.back().version;
}

std::uint64_t serving_version(agent_context const& state)
{
    if (!state.engine || !state.engine->load.weights.whole)
    {
        return 0;
    }
    return state.engine->load.weights.version;
}

std::optional<base::time_point>
expected_switch(agent_context const& state, base::time_point now)
{
    // Requests run for less than this.
    constexpr std::chrono::milliseconds notice{2500};
    auto const ask = switch_ask_of(state, now);
    auto const target = next_version(state, now);
    if (ask.serving == 0 || ask.serving >= target)
    {
        return std::nullopt;
    }
    auto const found = state.versions.find(target);
    if (found == state.versions.end() || !found->second.manifest)
    {
        return std::nullopt;
    }
    auto const at = weights::planned_switch_time(ask, target);
    return at - now <= notice ? std::optional(at) : std::nullopt;
}

std::vector<weights::chunk_source>
holders_of(agent_context const& state, std::uint64_t version)
{
    auto const found = state.holders.find(version);
    if (found == state.holders.end())
    {
        return {};
    }
    // During a burst the first few that serve would be asked by all the others;
    // the forest spreads that load. They are asked once they are the half.
    auto const own = found->second.find(state.settings.failure_domain);
    auto const plan = state.fleet.find(state.settings.failure_domain);
    if (own != found->second.end() && plan != state.fleet.end() &&
        own->second.size() * 2 >= plan->second.endpoints.size())
    {
        return own->second;
    }
    return {};
}

weights::origin_fetch_schedule
draws_of(agent_context const& state, std::uint64_t version)
{
    // Until a manifest says otherwise.
    constexpr std::uint32_t usual_chunk = 32 * 1024;
    auto const found = state.versions.find(version);
    auto const known = found != state.versions.end();
    auto const bytes = known && found->second.manifest
                           ? found->second.manifest->chunk_bytes
                           : usual_chunk;
    auto start = known ? found->second.wanted.value_or(base::time_point())
                       : base::time_point();
    // Agents learn of a version at different times; it was named at one.
    auto const& targets = targets_of(state);
    auto const named = std::ranges::find(
        targets, version, &weights::announced_target::version);
    if (named != targets.end())
    {
        start = named->named;
    }
    return weights::plan_origin_fetches(
        state.fleet, state.origin_bounds, bytes, start);
}

std::uint64_t next_version(agent_context const& state, base::time_point now)
{
    auto const ask = switch_ask_of(state, now);
    auto const to_come = [&state](std::uint64_t version) -> std::size_t
    {
        constexpr std::size_t unknown = 64;
        auto const found = state.versions.find(version);
        if (found == state.versions.end() || !found->second.manifest)
        {
            return unknown;
        }
        auto const& transfer = found->second.transfer;
        return transfer.digests.size() - transfer.held;
    };
    return weights::choose_fallback_target(
        ask, weights::choose_target(ask), to_come, now);
}

void note_whole(agent_context& state, base::time_point now)
{
    // An agent that was there when the version was named.
    constexpr std::chrono::milliseconds soon{1500};
    auto const& targets = targets_of(state);
    for (auto& [version, held] : state.versions)
    {
        if (held.whole || !weights::is_complete(held.transfer))
        {
            continue;
        }
        held.whole = now;
        auto const named = std::ranges::find(
            targets, version, &weights::announced_target::version);
        if (named != targets.end() && held.wanted &&
            *held.wanted - named->named < soon)
        {
            state.arrival =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - named->named);
        }
    }
}

namespace
{

// When the version was whole here or will be, as far as its chunks tell.
std::optional<base::time_point> whole_at(
    agent_context const& state, std::uint64_t version, base::time_point now)
{
    auto const found = state.versions.find(version);
    if (found == state.versions.end() || !found->second.manifest)
    {
        return std::nullopt;
    }
    auto const& held = found->second;
    if (held.whole)
    {
        return held.whole;
    }
    auto const missing = held.transfer.digests.size() - held.transfer.held;
    auto at = now + weights::chunk_interval * static_cast<int>(missing);
    auto const& targets = targets_of(state);
    auto const named = std::ranges::find(
        targets, version, &weights::announced_target::version);
    if (named != targets.end() && state.arrival)
    {
        at = std::max(at, named->named + *state.arrival);
    }
    return at;
}

} // namespace

weights::switch_context
switch_ask_of(agent_context const& state, base::time_point now)
{
    weights::switch_context ask;
    ask.serving = serving_version(state);
    ask.targets = targets_of(state);
    ask.bound = state.settings.promised.version;
    ask.arrival = state.arrival;
    ask.whole = [&state, now](std::uint64_t version)
    {
        return whole_at(state, version, now);
    };
    auto const found = state.fleet.find(state.settings.failure_domain);
    if (found != state.fleet.end())
    {
        auto const& agents = found->second.endpoints;
        auto const own = std::ranges::find(
            agents, state.settings.ip, &control::plan_endpoint::agent);
        ask.rank = static_cast<std::size_t>(own - agents.begin());
        ask.agents = agents.size();
    }
    return ask;
}

} // namespace foxtailvale::gateway
