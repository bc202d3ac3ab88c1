#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

// Neighbours are asked again after this long; each answers at once or when it
// has the manifest itself.
constexpr std::chrono::milliseconds ask_interval{1000};

// What neighbours hold changes with the speed of a burst, and asking costs a
// manifest's size.
constexpr std::chrono::milliseconds holdings_interval{3000};

// An agent turns to the origin for the manifest only when it should have come
// by now: the later, the further back it stands in the first chunk's order.
constexpr std::chrono::milliseconds origin_patience{2000};

void ask_neighbour(
    state& state,
    std::string const& digest,
    weights::chunk_source const& source,
    actions& out)
{
    connect_source(state, source, out);
    core::send_message message{source.agent, {}};
    message.envelope.mutable_manifest_request()->set_digest(digest);
    out.push_back(std::move(message));
}

void ask_neighbours(state& state, transfer const& transfer, actions& out)
{
    for (auto const& neighbour : weights::neighbours_of(
             state.control.plans, state.self.failure_domain, state.self.name,
             transfer.digest))
    {
        ask_neighbour(state, transfer.digest, neighbour, out);
    }
}

void draw_manifest(
    state& state,
    transfer& transfer,
    weights::chunk_sources const& sources,
    base::time_point now,
    actions& out)
{
    auto const rank =
        std::min<std::size_t>(sources.place + sources.outside.size(), 10);
    auto const patience = origin_patience * static_cast<int>(rank);
    auto const may_ask = state.weights.how != distribution::forest ||
                         now - transfer.started >= patience;
    if (!transfer.manifest_drawn && may_ask &&
        now >= state.weights.origin.not_before)
    {
        transfer.manifest_drawn = true;
        weights::note_draw(state.weights.origin);
        out.push_back(fetch_manifest{transfer.digest});
    }
}

void send_manifest(
    state const& state,
    std::string const& peer,
    std::string const& digest,
    actions& out)
{
    core::send_message message{peer, {}};
    auto* const reply = message.envelope.mutable_manifest_reply();
    reply->set_digest(digest);
    reply->set_document(state.weights.store.versions.at(digest).manifest_text);
    reply->set_bitmap(held_bitmap(state, digest));
    out.push_back(std::move(message));
}

void accept_manifest(
    state& state,
    std::string const& digest,
    std::string const& text,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(digest);
    if (found == state.weights.transfers.end() || found->second.refused ||
        state.weights.store.versions.contains(digest))
    {
        return;
    }
    auto const added = weights::add_version(state.weights.store, digest, text);
    if (!added)
    {
        out.push_back(core::report_error{added.error(), {}});
        return;
    }
    auto const waiting = state.weights.manifest_waiters.find(digest);
    if (waiting != state.weights.manifest_waiters.end())
    {
        for (auto const& peer : waiting->second)
        {
            send_manifest(state, peer, digest, out);
        }
        state.weights.manifest_waiters.erase(waiting);
    }
    begin_chunks(state, found->second, now, out);
}

} // namespace

void ask_for_manifest(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    auto const sources = weights::sources_of(
        state.control.plans, state.self.failure_domain, state.self.name,
        transfer.digest, 0);
    if (!sources)
    {
        return;
    }
    draw_manifest(state, transfer, *sources, now, out);
    if (now - transfer.manifest_asked < ask_interval)
    {
        return;
    }
    transfer.manifest_asked = now;
    ask_neighbours(state, transfer, out);
    for (auto const* const list : {&sources->ancestors, &sources->outside})
    {
        for (auto const& source : *list)
        {
            ask_neighbour(state, transfer.digest, source, out);
        }
    }
}

void ask_for_holdings(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    if (now - transfer.manifest_asked >= holdings_interval)
    {
        transfer.manifest_asked = now;
        ask_neighbours(state, transfer, out);
    }
}

void on_manifest_request(
    state& state,
    std::string const& peer,
    wire::ManifestRequest const& request,
    actions& out)
{
    // Digests that may be waited for; a stranger could invent many.
    constexpr std::size_t most_waited = 64;
    auto const& digest = request.digest();
    if (state.weights.store.versions.contains(digest))
    {
        send_manifest(state, peer, digest, out);
        return;
    }
    auto& waiters = state.weights.manifest_waiters;
    if (waiters.size() < most_waited || waiters.contains(digest))
    {
        waiters[digest].insert(peer);
    }
}

void on_manifest_reply(
    state& state,
    std::string const& peer,
    wire::ManifestReply const& reply,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(reply.digest());
    if (found == state.weights.transfers.end())
    {
        return;
    }
    found->second.holders[peer] = read_bitmap(reply.bitmap());
    accept_manifest(state, reply.digest(), reply.document(), now, out);
}

void on_origin_manifest(
    state& state,
    origin_manifest const& reply,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(reply.digest);
    if (found != state.weights.transfers.end())
    {
        found->second.manifest_drawn = false;
    }
    auto& origin = state.weights.origin;
    weights::note_draw_ended(
        origin, reply.failure.has_value(), state.random, now);
    if (reply.failure)
    {
        out.push_back(core::report_error{*reply.failure, {}});
        return;
    }
    accept_manifest(state, reply.digest, reply.text, now, out);
}

} // namespace foxtailvale::agent_core
