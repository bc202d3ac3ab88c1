#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

// Missing chunks that are looked at, in order. Imports go in order too, so
// those further on would only wait; and it bounds the work of a tick.
constexpr std::uint32_t look_ahead = 64;

// Chunks asked for at once. Waiting ones cost a request only; at 256 KiB a
// chunk and no more than a few under way, an agent's memory for unverified
// bytes stays below 16 MiB.
constexpr std::size_t most_pending = 48;

// Failure: the plan of another domain of the region comes a second after the
// own one, and until then each domain takes itself for the only one: the origin
// gives one copy to each domain and not to each region. The release tells which
// domains there are; their plans are waited for this long.
constexpr milliseconds plan_patience{2500};

// Domains of this region that want the version according to the release.
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
        if (auto const* const part = control::find_agent(plan->second, agent))
        {
            found.push_back({agent, part->address});
        }
    }
    return found;
}

void draw_from_origin(
    state& state,
    transfer& transfer,
    std::uint32_t index,
    std::uint32_t missing_before,
    base::time_point now,
    actions& out)
{
    auto const& version = state.weights.store.versions.at(transfer.digest);
    weights::import_slot turn;
    turn.started = transfer.described;
    turn.in_turn = state.weights.how == distribution::forest;
    turn.index = index;
    turn.chunk_bytes = version.description.chunk_bytes;
    turn.missing_before = missing_before;
    turn.transfers = static_cast<std::uint32_t>(state.weights.transfers.size());
    turn.last_chunk = transfer.last_chunk;
    if (!weights::may_fetch_from_origin(state.weights.origin, turn, now))
    {
        return;
    }
    weights::note_origin_fetch_started(state.weights.origin);
    transfer.pending[index] = {"", now, std::nullopt};
    out.push_back(fetch_chunk{transfer.digest, index});
}

void ask_peer(
    state& state,
    transfer& transfer,
    std::uint32_t index,
    weights::chunk_source const& source,
    base::time_point now,
    actions& out)
{
    if (!weights::has_room(state.weights.book, source.agent))
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
    weights::note_requested(state.weights.book, source.agent, now);
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
        weights::note_dropped(state.weights.book, found->second.agent);
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
        return weights::is_usable(state.weights.book, agent, now) &&
               !is_declined(transfer, index, agent, now);
    };
    view.known_holders = known_holders(state, transfer, index);
    auto const best = weights::choose_source(*sources, view);
    if (best.agent.empty() && sources->incomplete &&
        now - transfer.started < plan_patience)
    {
        return std::nullopt;
    }
    // Failure: the origin is down, so every importer hands its chunks on and
    // in the end all agents wait to draw all chunks; once it is back its link
    // would carry dozens of copies. Who was handed a chunk and finds the
    // origin down itself goes back to waiting for those before it.
    if (!best.agent.empty() ||
        !weights::suspects_origin(state.weights.origin, now))
    {
        return best;
    }
    view.is_usable = [&](std::string const& agent)
    {
        return weights::is_usable(state.weights.book, agent, now);
    };
    return weights::choose_source(*sources, view);
}

void ask_for_more(
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
        if (missing >= look_ahead || transfer.pending.size() >= most_pending)
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
            draw_from_origin(state, transfer, index, before, now, out);
        }
        else if (source)
        {
            ask_peer(state, transfer, index, *source, now, out);
        }
    }
}

} // namespace foxtailvale::agent_core
