#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

// Interval between requests to the same neighbours. A neighbour answers at
// once, or as soon as it has the manifest itself.
constexpr std::chrono::milliseconds request_interval{1000};

// Interval between requests for what neighbours hold. It changes as fast as a
// burst progresses, but each answer is as large as a manifest.
constexpr std::chrono::milliseconds holdings_interval{3000};

// Number of manifests from the origin with a wrong digest after which the
// version is refused.
constexpr std::uint32_t max_corrupt_manifests = 3;

// An agent fetches the manifest from the origin only when it should have
// arrived by now. The delay grows with the agent's position in the order of the
// first chunk.
constexpr std::chrono::milliseconds origin_delay_per_rank{2000};

void send_manifest_request(
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

void request_from_neighbours(
    state& state, transfer const& transfer, actions& out)
{
    for (auto const& neighbour : weights::neighbours_of(
             state.control.plans, state.self.failure_domain, state.self.name,
             transfer.digest))
    {
        send_manifest_request(state, transfer.digest, neighbour, out);
    }
}

void fetch_origin_manifest(
    state& state,
    transfer& transfer,
    weights::chunk_sources const& sources,
    base::time_point now,
    actions& out)
{
    auto const rank =
        std::min<std::size_t>(sources.place + sources.outside.size(), 10);
    auto const delay = origin_delay_per_rank * static_cast<int>(rank);
    auto const is_due = state.weights.how != distribution::forest ||
                        now - transfer.started >= delay;
    if (!transfer.manifest_fetch_pending && is_due &&
        now >= state.weights.origin.not_before)
    {
        transfer.manifest_fetch_pending = true;
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

void reply_to_waiters(state& state, std::string const& digest, actions& out)
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

// Stores the manifest of a version in transfer; fails when it is not the
// requested one or there is no room for the version.
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
    reply_to_waiters(state, digest, out);
    begin_chunks(state, found->second, now, out);
    return boost::outcome_v2::success();
}

// Handles an unusable manifest from the origin. A damaged one stays damaged, so
// the version is refused after a few attempts. When room is missing, the fetch
// is retried at growing intervals.
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
    if (++found->second.corrupt_manifests >= max_corrupt_manifests)
    {
        refuse_version(state, found->second, out);
    }
}

} // namespace

void request_manifest(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    auto const sources = weights::sources_of(
        state.control.plans, state.self.failure_domain, state.self.name,
        transfer.digest, 0);
    if (!sources)
    {
        return;
    }
    fetch_origin_manifest(state, transfer, *sources, now, out);
    if (now - transfer.manifest_requested < request_interval)
    {
        return;
    }
    transfer.manifest_requested = now;
    request_from_neighbours(state, transfer, out);
    for (auto const* const list : {&sources->ancestors, &sources->outside})
    {
        for (auto const& source : *list)
        {
            send_manifest_request(state, transfer.digest, source, out);
        }
    }
}

void request_holdings(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    if (now - transfer.manifest_requested >= holdings_interval)
    {
        transfer.manifest_requested = now;
        request_from_neighbours(state, transfer, out);
    }
}

void on_manifest_request(
    state& state,
    std::string const& peer,
    wire::ManifestRequest const& request,
    actions& out)
{
    // Maximum number of digests with waiting agents; an unknown peer could
    // invent any number of digests.
    constexpr std::size_t max_waited_digests = 64;
    auto const& digest = request.digest();
    if (state.weights.store.versions.contains(digest))
    {
        send_manifest(state, peer, digest, out);
        return;
    }
    auto& waiters = state.weights.manifest_waiters;
    if (waiters.size() < max_waited_digests || waiters.contains(digest))
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
    auto const accepted =
        accept_manifest(state, reply.digest(), reply.document(), now, out);
    if (!accepted)
    {
        out.push_back(core::report_error{accepted.error(), {{"source", peer}}});
    }
    if (!accepted && accepted.error().kind == base::error_kind::bad_digest)
    {
        weights::blame(state.weights.peer_table, peer, now);
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
        found->second.manifest_fetch_pending = false;
    }
    auto const accepted =
        reply.failure
            ? base::result<void>(
                  base::fail(reply.failure->kind, reply.failure->detail))
            : accept_manifest(state, reply.digest, reply.text, now, out);
    weights::note_origin_fetch_ended(
        state.weights.origin,
        accepted ? weights::origin_fetch_outcome::good
                 : outcome_of(std::optional<base::error>(accepted.error())),
        state.random, now);
    if (!accepted)
    {
        reject_manifest(state, reply.digest, accepted.error(), out);
    }
}

} // namespace foxtailvale::agent_core
