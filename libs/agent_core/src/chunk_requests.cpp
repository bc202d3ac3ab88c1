#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

// Number of missing chunks that are considered, in order. Chunks are also
// fetched from the origin in order, so later ones would only wait. The limit
// also bounds the work of a tick.
constexpr std::uint32_t look_ahead = 64;

// Maximum number of outstanding chunk requests. A request that waits costs
// little; with chunks of 256 KiB and only a few in transit, an agent's memory
// for unverified bytes stays below 16 MiB.
constexpr std::size_t max_pending = 48;

// Failure: the plan of another domain in the region arrives a second after this
// domain's own plan. Until then each domain considers itself the only one, and
// the origin sends one copy per domain instead of one per region. The release
// tells which domains exist; their plans are awaited for this long.
constexpr milliseconds plan_wait{2500};

// Domains of this region that need the version according to the release.
std::set<std::string>
expected_domains(state const& state, std::string const& digest)
{
    auto const& release = state.control.configuration;
    std::set<std::string> expected;
    for (auto const& [name, model] : release.models)
    {
        if (model.digest != digest)
        {
            continue;
        }
        for (auto const& [domain, replicas] : model.replicas)
        {
            auto const place = release.domains.find(domain);
            if (replicas > 0 && place != release.domains.end() &&
                place->second.in && place->second.region == state.self.region)
            {
                expected.insert(domain);
            }
        }
    }
    return expected;
}

bool is_declined(
    transfer const& transfer,
    std::uint32_t index,
    std::string const& agent,
    base::time_point now)
{
    auto const chunk = transfer.declined.find(index);
    if (chunk == transfer.declined.end())
    {
        return false;
    }
    auto const found = chunk->second.find(agent);
    return found != chunk->second.end() && found->second > now;
}

std::vector<weights::chunk_source>
known_holders(state const& state, transfer const& transfer, std::uint32_t index)
{
    std::vector<weights::chunk_source> found;
    auto const plan = state.control.plans.find(state.self.failure_domain);
    for (auto const& [agent, held] : transfer.holders)
    {
        if (!holds(held, index) || plan == state.control.plans.end())
        {
            continue;
        }
        if (auto const* const plan_entry =
                control::find_agent(plan->second, agent))
        {
            found.push_back({agent, plan_entry->address});
        }
    }
    return found;
}

void fetch_from_origin(
    state& state,
    transfer& transfer,
    std::uint32_t index,
    std::uint32_t missing_before,
    base::time_point now,
    actions& out)
{
    auto const& version = state.weights.store.versions.at(transfer.digest);
    weights::import_slot slot;
    slot.started = transfer.manifest_received;
    slot.in_turn = state.weights.how == distribution::forest;
    slot.index = index;
    slot.chunk_bytes = version.description.chunk_bytes;
    slot.missing_before = missing_before;
    slot.transfers = static_cast<std::uint32_t>(state.weights.transfers.size());
    slot.last_chunk = transfer.last_chunk;
    if (!weights::may_fetch_from_origin(state.weights.origin, slot, now))
    {
        return;
    }
    weights::note_origin_fetch_started(state.weights.origin);
    transfer.pending[index] = {"", now, std::nullopt};
    out.push_back(fetch_chunk{transfer.digest, index});
}

void request_from_peer(
    state& state,
    transfer& transfer,
    std::uint32_t index,
    weights::chunk_source const& source,
    base::time_point now,
    actions& out)
{
    if (!weights::has_room(state.weights.peer_table, source.agent))
    {
        return;
    }
    auto& pending = transfer.pending[index];
    pending = {source.agent, now, std::nullopt};
    auto const holder = transfer.holders.find(source.agent);
    if (holder != transfer.holders.end() && holds(holder->second, index))
    {
        pending.held_since = now;
    }
    weights::note_requested(state.weights.peer_table, source.agent, now);
    connect_source(state, source, out);
    core::send_message message{source.agent, {}};
    auto* const request = message.envelope.mutable_chunk_request();
    request->set_digest(transfer.digest);
    request->set_index(index);
    out.push_back(std::move(message));
}

} // namespace

bool holds(std::vector<bool> const& held, std::uint32_t index)
{
    return index < held.size() && held[index];
}

void drop_pending(state& state, transfer& transfer, std::uint32_t index)
{
    auto const found = transfer.pending.find(index);
    if (found == transfer.pending.end())
    {
        return;
    }
    if (!found->second.agent.empty())
    {
        weights::note_dropped(state.weights.peer_table, found->second.agent);
    }
    transfer.pending.erase(found);
}

std::optional<weights::chunk_source> best_source(
    state const& state,
    transfer& transfer,
    std::uint32_t index,
    base::time_point now)
{
    auto const [entry, added] = transfer.sources.try_emplace(index);
    auto& sources = entry->second;
    if (added)
    {
        sources = weights::sources_of(
            state.control.plans, state.self.failure_domain, state.self.name,
            transfer.digest, index, expected_domains(state, transfer.digest));
    }
    if (!sources)
    {
        return std::nullopt;
    }
    weights::source_view view;
    view.is_usable = [&](std::string const& agent)
    {
        return weights::is_usable(state.weights.peer_table, agent, now) &&
               !is_declined(transfer, index, agent, now);
    };
    view.known_holders = known_holders(state, transfer, index);
    auto const best = weights::choose_source(*sources, view);
    if (best.agent.empty() && sources->incomplete &&
        now - transfer.started < plan_wait)
    {
        return std::nullopt;
    }
    // Failure: the origin is down, so each agent that fetches from it passes
    // its chunks on, until all agents wait to fetch all chunks; once it is
    // back, its link would carry dozens of copies. An agent that took over a
    // chunk and cannot reach the origin either goes back to waiting for the
    // agents before it.
    if (!best.agent.empty() ||
        !weights::suspects_origin(state.weights.origin, now))
    {
        return best;
    }
    view.is_usable = [&](std::string const& agent)
    {
        return weights::is_usable(state.weights.peer_table, agent, now);
    };
    return weights::choose_source(*sources, view);
}

void request_missing_chunks(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    auto const version = state.weights.store.versions.find(transfer.digest);
    if (transfer.refused || version == state.weights.store.versions.end())
    {
        return;
    }
    auto const& chunks = version->second.chunks;
    std::uint32_t missing = 0;
    for (std::uint32_t index = 0; index < chunks.size(); ++index)
    {
        if (missing >= look_ahead || transfer.pending.size() >= max_pending)
        {
            return;
        }
        if (chunks[index])
        {
            continue;
        }
        auto const before = missing++;
        if (transfer.pending.contains(index))
        {
            continue;
        }
        auto const source = state.weights.how == distribution::forest
                                ? best_source(state, transfer, index, now)
                                : baseline_source(state, transfer, index);
        if (source && source->agent.empty())
        {
            fetch_from_origin(state, transfer, index, before, now, out);
        }
        else if (source)
        {
            request_from_peer(state, transfer, index, *source, now, out);
        }
    }
}

} // namespace foxtailvale::agent_core
