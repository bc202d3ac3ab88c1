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

bool add_announced_version(
    agent_context& state,
    std::string const& model,
    weights::announced_target const& target)
{
    auto& known = state.announced[model];
    if (!known.empty() && known.back().version >= target.version)
    {
        return false;
    }
    known.push_back(target);
    return true;
}

std::vector<weights::announced_target> const&
announced_versions(agent_context const& state)
{
    static std::vector<weights::announced_target> const none;
    auto const found = state.announced.find(state.model);
    return found == state.announced.end() ? none : found->second;
}

std::uint64_t newest_version(agent_context const& state)
{
    auto const& targets = announced_versions(state);
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
    constexpr std::chrono::milliseconds notice_period{2500};
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
    return at - now <= notice_period ? std::optional(at) : std::nullopt;
}

std::vector<weights::chunk_source>
chunk_holders(agent_context const& state, std::uint64_t version)
{
    auto const found = state.holders.find(version);
    if (found == state.holders.end())
    {
        return {};
    }
    // The first few agents that serve a version during a burst would be asked
    // by all the others; the forest of transfer trees spreads that load
    // instead. They are used once they make up half of the failure domain.
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
origin_fetch_schedule(agent_context const& state, std::uint64_t version)
{
    // Used until the manifest is known.
    constexpr std::uint32_t default_chunk_bytes = 32 * 1024;
    auto const found = state.versions.find(version);
    auto const known = found != state.versions.end();
    auto const bytes = known && found->second.manifest
                           ? found->second.manifest->chunk_bytes
                           : default_chunk_bytes;
    auto start = known ? found->second.wanted_since.value_or(base::time_point())
                       : base::time_point();
    // Agents learn of a version at different times, but all know the time at
    // which it was announced.
    auto const& targets = announced_versions(state);
    auto const announcement = std::ranges::find(
        targets, version, &weights::announced_target::version);
    if (announcement != targets.end())
    {
        start = announcement->named;
    }
    return weights::plan_origin_fetches(
        state.fleet, state.origin_bounds, bytes, start);
}

std::uint64_t next_version(agent_context const& state, base::time_point now)
{
    auto const ask = switch_ask_of(state, now);
    auto const missing_chunks = [&state](std::uint64_t version) -> std::size_t
    {
        constexpr std::size_t assumed_missing = 64;
        auto const found = state.versions.find(version);
        if (found == state.versions.end() || !found->second.manifest)
        {
            return assumed_missing;
        }
        auto const& transfer = found->second.transfer;
        return transfer.digests.size() - transfer.held;
    };
    return weights::choose_fallback_target(
        ask, weights::choose_target(ask), missing_chunks, now);
}

void record_complete_versions(agent_context& state, base::time_point now)
{
    // A longer delay means that the agent was not running when the version was
    // announced, so its transfer time is not representative.
    constexpr std::chrono::milliseconds max_announcement_delay{1500};
    auto const& targets = announced_versions(state);
    for (auto& [version, held] : state.versions)
    {
        if (held.complete_at || !weights::is_complete(held.transfer))
        {
            continue;
        }
        held.complete_at = now;
        auto const announcement = std::ranges::find(
            targets, version, &weights::announced_target::version);
        if (announcement != targets.end() && held.wanted_since &&
            *held.wanted_since - announcement->named < max_announcement_delay)
        {
            state.last_transfer_time =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - announcement->named);
        }
    }
}

namespace
{

// When the version became complete here, or an estimate of when it will be,
// from the number of missing chunks and the duration of the last transfer.
std::optional<base::time_point> completion_time(
    agent_context const& state, std::uint64_t version, base::time_point now)
{
    auto const found = state.versions.find(version);
    if (found == state.versions.end() || !found->second.manifest)
    {
        return std::nullopt;
    }
    auto const& held = found->second;
    if (held.complete_at)
    {
        return held.complete_at;
    }
    auto const missing = held.transfer.digests.size() - held.transfer.held;
    auto at = now + weights::chunk_interval * static_cast<int>(missing);
    auto const& targets = announced_versions(state);
    auto const announcement = std::ranges::find(
        targets, version, &weights::announced_target::version);
    if (announcement != targets.end() && state.last_transfer_time)
    {
        at = std::max(at, announcement->named + *state.last_transfer_time);
    }
    return at;
}

} // namespace

weights::switch_context
switch_ask_of(agent_context const& state, base::time_point now)
{
    weights::switch_context ask;
    ask.serving = serving_version(state);
    ask.targets = announced_versions(state);
    ask.bound = state.settings.promised.version;
    ask.arrival = state.last_transfer_time;
    ask.whole = [&state, now](std::uint64_t version)
    {
        return completion_time(state, version, now);
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
