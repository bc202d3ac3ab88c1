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

// Manifests from the origin that are not the one asked for, before the version
// is refused.
constexpr std::uint32_t most_corrupt_manifests = 3;

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
        weights::note_origin_fetch_started(state.weights.origin);
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

void answer_waiters(state& state, std::string const& digest, actions& out)
{
    auto const waiting = state.weights.manifest_waiters.find(digest);
    if (waiting == state.weights.manifest_waiters.end())
    {
        return;
    }
    for (auto const& peer : waiting->second)
    {
        send_manifest(state, peer, digest, out);
    }
    state.weights.manifest_waiters.erase(waiting);
}

// Keeps the manifest of a version that is on its way; the error when it is not
// the one asked for or its version has no room.
base::result<void> accept_manifest(
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
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRYV(weights::add_version(state.weights.store, digest, text));
    answer_waiters(state, digest, out);
    begin_chunks(state, found->second, now, out);
    return boost::outcome_v2::success();
}

// The origin's manifest cannot be used. A damaged one stays damaged, so after
// a few the version is refused; without room it is tried again, ever slower.
void reject_manifest(
    state& state,
    std::string const& digest,
    base::error const& reason,
    actions& out)
{
    out.push_back(core::report_error{reason, {{"source", "origin"}}});
    auto const found = state.weights.transfers.find(digest);
    if (found == state.weights.transfers.end() ||
        reason.kind != base::error_kind::bad_digest)
    {
        return;
    }
    if (++found->second.corrupt_manifests >= most_corrupt_manifests)
    {
        refuse_version(state, found->second, out);
    }
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
    auto const kept =
        accept_manifest(state, reply.digest(), reply.document(), now, out);
    if (!kept)
    {
        out.push_back(core::report_error{kept.error(), {{"source", peer}}});
    }
    if (!kept && kept.error().kind == base::error_kind::bad_digest)
    {
        weights::blame(state.weights.book, peer, now);
    }
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
    auto const kept =
        reply.failure
            ? base::result<void>(
                  base::fail(reply.failure->kind, reply.failure->detail))
            : accept_manifest(state, reply.digest, reply.text, now, out);
    weights::note_origin_fetch_ended(
        state.weights.origin,
        kept ? weights::origin_fetch_outcome::good
             : outcome_of(std::optional<base::error>(kept.error())),
        state.random, now);
    if (!kept)
    {
        reject_manifest(state, reply.digest, kept.error(), out);
    }
}

} // namespace foxtailvale::agent_core
