#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

// How long a source that declined a chunk is not asked for it again.
constexpr milliseconds decline_duration{10'000};

// A version is refused when the origin returned wrong bytes for one chunk this
// often and over at least this time. A damaged transfer passes within seconds,
// damaged storage does not. Without the minimum time a version was abandoned
// for good after three bad copies within 30 ms.
constexpr std::uint32_t max_corrupt_fetches = 3;
constexpr milliseconds min_corrupt_duration{10'000};

bool is_persistent(corrupt_record const& record, base::time_point now)
{
    return record.fetches >= max_corrupt_fetches &&
           now - record.first >= min_corrupt_duration;
}

// Number of other agents that must refuse a version before an agent that has
// not received wrong bytes itself refuses it: a single agent cannot stop a
// release.
constexpr std::size_t min_refusing_agents = 2;

void finish_transfer(
    state& state, std::string const& digest, base::time_point now, actions& out)
{
    auto& transfer = state.weights.transfers.at(digest);
    while (!transfer.pending.empty())
    {
        drop_pending(state, transfer, transfer.pending.begin()->first);
    }
    auto const elapsed =
        std::chrono::duration_cast<milliseconds>(now - transfer.started);
    out.push_back(core::write_log{
        kernel::event_id::transfer_finished,
        {{"digest", digest}, {"milliseconds", elapsed.count()}}});
    state.weights.transfers.erase(digest);
}

// Stores a chunk that arrived from a peer or the origin; fails when its bytes
// do not match the manifest.
base::result<void> store_chunk(
    state& state,
    transfer& transfer,
    std::uint32_t index,
    std::string bytes,
    base::time_point now,
    actions& out)
{
    auto const digest = transfer.digest;
    BOOST_OUTCOME_TRYV(weights::put_chunk(
        state.weights.store, digest, index, std::move(bytes)));
    drop_pending(state, transfer, index);
    transfer.declined.erase(index);
    transfer.sources.erase(index);
    transfer.last_chunk = now;
    weights::on_chunk_held(state.weights.uploads, digest, index);
    send_uploads(state, now, out);
    if (weights::is_complete(state.weights.store, digest))
    {
        finish_transfer(state, digest, now, out);
    }
    else
    {
        request_missing_chunks(state, transfer, now, out);
    }
    return boost::outcome_v2::success();
}

void note_rate(
    state& state,
    pending_chunk const& pending,
    std::size_t bytes,
    base::time_point now)
{
    // Time spent waiting for a chunk that the source did not hold yet says
    // nothing about its rate.
    if (pending.held_since)
    {
        weights::note_delivered(
            state.weights.peer_table, pending.agent,
            static_cast<std::uint32_t>(bytes), now - *pending.held_since);
    }
}

void on_declined(
    state& state,
    transfer& transfer,
    std::string const& peer,
    wire::ChunkReply const& reply,
    base::time_point now,
    actions& out)
{
    auto const index = reply.index();
    auto const pending = transfer.pending.find(index);
    if (pending == transfer.pending.end() || pending->second.agent != peer)
    {
        return;
    }
    drop_pending(state, transfer, index);
    transfer.declined[index][peer] = now + decline_duration;
    auto const kind = base::error_kind_from_name(reply.error());
    out.push_back(core::count_retry{kind});
    if (kind == base::error_kind::bad_digest)
    {
        transfer.refusals.insert(peer);
        if (transfer.refusals.size() >= min_refusing_agents)
        {
            refuse_version(state, transfer, out);
        }
    }
}

// Drops requests to sources that are unresponsive or that hold a chunk but do
// not deliver it in time.
void drop_stalled_requests(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    auto const version = state.weights.store.versions.find(transfer.digest);
    if (version == state.weights.store.versions.end())
    {
        return;
    }
    auto const chunk_bytes = version->second.description.chunk_bytes;
    std::set<std::string> failed;
    std::set<std::string> unresponsive_agents;
    std::vector<std::uint32_t> dropped;
    for (auto const& [index, pending] : transfer.pending)
    {
        if (pending.agent.empty())
        {
            continue;
        }
        auto const unresponsive =
            weights::is_silent(state.weights.peer_table, pending.agent, now);
        auto const late =
            pending.held_since &&
            now - *pending.held_since >
                weights::delivery_timeout(
                    state.weights.peer_table, pending.agent, chunk_bytes);
        if (unresponsive || late || failed.contains(pending.agent))
        {
            failed.insert(pending.agent);
            if (unresponsive)
            {
                unresponsive_agents.insert(pending.agent);
            }
            dropped.push_back(index);
        }
    }
    for (auto const index : dropped)
    {
        drop_pending(state, transfer, index);
        out.push_back(core::count_retry{base::error_kind::peer_unreachable});
    }
    for (auto const& agent : failed)
    {
        if (unresponsive_agents.contains(agent))
        {
            weights::note_unresponsive(state.weights.peer_table, agent, now);
        }
        else
        {
            weights::avoid_after_failure(state.weights.peer_table, agent, now);
        }
    }
}

void start_transfer(
    state& state, std::string const& digest, base::time_point now, actions& out)
{
    transfer added;
    added.digest = digest;
    added.started = now;
    auto& transfer =
        state.weights.transfers.emplace(digest, std::move(added)).first->second;
    out.push_back(core::write_log{
        kernel::event_id::transfer_started, {{"digest", digest}}});
    // Verified chunks of an earlier transfer are reused.
    if (state.weights.store.versions.contains(digest))
    {
        begin_chunks(state, transfer, now, out);
        return;
    }
    request_manifest(state, transfer, now, out);
}

void stop_unwanted_transfers(state& state, actions& out)
{
    std::vector<std::string> unwanted;
    for (auto const& [digest, transfer] : state.weights.transfers)
    {
        if (!is_assigned(state, digest))
        {
            unwanted.push_back(digest);
        }
    }
    for (auto const& digest : unwanted)
    {
        auto& transfer = state.weights.transfers.at(digest);
        while (!transfer.pending.empty())
        {
            drop_pending(state, transfer, transfer.pending.begin()->first);
        }
        state.weights.transfers.erase(digest);
        state.weights.manifest_waiters.erase(digest);
        for (auto const& request :
             weights::take_waiting(state.weights.uploads, digest, std::nullopt))
        {
            decline_chunk(request, base::error_kind::not_found, out);
        }
        out.push_back(core::write_log{
            kernel::event_id::transfer_stopped, {{"digest", digest}}});
    }
}

// Handles a manifest request that could not be sent. A connection that is still
// being established takes no frames, so the request is repeated with the next
// tick instead of after the usual interval, which would delay the start of a
// burst.
void retry_manifest(
    state& state, core::send_failed const& failed, base::time_point now)
{
    auto const& digest = failed.envelope.manifest_request().digest();
    auto const found = state.weights.transfers.find(digest);
    if (found != state.weights.transfers.end() &&
        !weights::note_unreachable(state.weights.peer_table, failed.peer, now))
    {
        found->second.manifest_requested = {};
    }
}

} // namespace

void begin_chunks(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    transfer.manifest_received = now;
    transfer.last_chunk = now;
    request_missing_chunks(state, transfer, now, out);
}

void refuse_version(state& state, transfer& transfer, actions& out)
{
    transfer.refused = true;
    while (!transfer.pending.empty())
    {
        drop_pending(state, transfer, transfer.pending.begin()->first);
    }
    weights::remove_version(state.weights.store, transfer.digest);
    out.push_back(core::report_error{
        {base::error_kind::bad_digest,
         "version refused: bytes from the origin do not match digest " +
             transfer.digest},
        {{"refused", transfer.digest}}});
    for (auto const& request : weights::take_waiting(
             state.weights.uploads, transfer.digest, std::nullopt))
    {
        decline_chunk(request, base::error_kind::bad_digest, out);
    }
}

void on_plan_changed(state& state, base::time_point now, actions& out)
{
    if (!state.weights.first_plan)
    {
        state.weights.first_plan = now;
    }
    stop_unwanted_transfers(state, out);
    for (auto& [digest, transfer] : state.weights.transfers)
    {
        transfer.sources.clear();
    }
    auto const* const plan_entry = own_plan_entry(state);
    if (plan_entry == nullptr || !state.self.service.empty())
    {
        return;
    }
    for (auto const& model : plan_entry->models)
    {
        if (!weights::is_complete(state.weights.store, model.digest) &&
            !state.weights.transfers.contains(model.digest))
        {
            start_transfer(state, model.digest, now, out);
        }
    }
}

void on_chunk_reply(
    state& state,
    std::string const& peer,
    wire::ChunkReply const& reply,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(reply.digest());
    if (found == state.weights.transfers.end() || found->second.refused ||
        !state.weights.store.versions.contains(reply.digest()))
    {
        return;
    }
    auto& transfer = found->second;
    if (!reply.error().empty())
    {
        on_declined(state, transfer, peer, reply, now, out);
        request_missing_chunks(state, transfer, now, out);
        return;
    }
    auto const index = reply.index();
    auto const pending = transfer.pending.find(index);
    auto const awaited =
        pending != transfer.pending.end() && pending->second.agent == peer;
    out.push_back(core::count_metric{
        "foxtailvale_weights_received_bytes_total",
        static_cast<double>(reply.data().size())});
    if (awaited)
    {
        note_rate(state, pending->second, reply.data().size(), now);
    }
    // A chunk that arrives after its request was abandoned is used all the
    // same.
    auto const stored =
        store_chunk(state, transfer, index, reply.data(), now, out);
    if (stored)
    {
        return;
    }
    // Failure: a peer sends corrupted chunks, which their digests reveal. If
    // the peer were not blamed, it would be asked again and could block the
    // version for good.
    out.push_back(core::write_log{
        kernel::event_id::chunk_refused,
        {{"source", peer}, {"digest", reply.digest()}, {"chunk", index}}});
    out.push_back(core::report_error{stored.error(), {{"source", peer}}});
    weights::blame(state.weights.peer_table, peer, now);
    if (awaited)
    {
        drop_pending(state, transfer, index);
    }
    request_missing_chunks(state, transfer, now, out);
}

void on_chunk_have(
    state& state,
    std::string const& peer,
    wire::ChunkHave const& have,
    base::time_point now)
{
    auto const found = state.weights.transfers.find(have.digest());
    if (found == state.weights.transfers.end())
    {
        return;
    }
    auto& transfer = found->second;
    auto held = read_bitmap(have.bitmap());
    for (auto& [index, pending] : transfer.pending)
    {
        if (pending.agent == peer && !pending.held_since && holds(held, index))
        {
            pending.held_since = now;
        }
    }
    transfer.holders[peer] = std::move(held);
}

void on_origin_chunk(
    state& state, origin_chunk const& reply, base::time_point now, actions& out)
{
    auto const end_fetch = [&](weights::origin_fetch_outcome outcome)
    {
        weights::note_origin_fetch_ended(
            state.weights.origin, outcome, state.random, now);
    };
    auto const found = state.weights.transfers.find(reply.digest);
    if (found == state.weights.transfers.end() || found->second.refused)
    {
        end_fetch(outcome_of(reply.failure));
        return;
    }
    auto& transfer = found->second;
    if (reply.failure)
    {
        end_fetch(outcome_of(reply.failure));
        out.push_back(core::report_error{*reply.failure, {}});
        out.push_back(core::count_retry{reply.failure->kind});
        drop_pending(state, transfer, reply.index);
        return;
    }
    out.push_back(core::count_metric{
        "foxtailvale_weights_drawn_bytes_total",
        static_cast<double>(reply.bytes.size())});
    auto const stored =
        store_chunk(state, transfer, reply.index, reply.bytes, now, out);
    // Wrong bytes count as a failed fetch and delay the next one, so that a
    // transient fault does not use up the origin's link.
    end_fetch(
        stored ? weights::origin_fetch_outcome::good
               : weights::origin_fetch_outcome::failed);
    if (stored)
    {
        return;
    }
    out.push_back(core::report_error{
        stored.error(), {{"source", "origin"}, {"chunk", reply.index}}});
    drop_pending(state, transfer, reply.index);
    auto const added = transfer.corrupt_fetches.try_emplace(
        reply.index, corrupt_record{0, now});
    auto& record = added.first->second;
    ++record.fetches;
    if (is_persistent(record, now))
    {
        refuse_version(state, transfer, out);
    }
}

void on_transfer_tick(state& state, base::time_point now, actions& out)
{
    for (auto& [digest, transfer] : state.weights.transfers)
    {
        if (transfer.refused)
        {
            continue;
        }
        if (!state.weights.store.versions.contains(digest))
        {
            request_manifest(state, transfer, now, out);
            continue;
        }
        // If the origin fails this agent, it may be the only one that fetches a
        // chunk. Another agent that took over the fetch may hold the chunk by
        // now.
        if (weights::suspects_origin(state.weights.origin, now))
        {
            request_holdings(state, transfer, now, out);
        }
        drop_stalled_requests(state, transfer, now, out);
        request_missing_chunks(state, transfer, now, out);
    }
}

void on_weights_send_failed(
    state& state, core::send_failed const& failed, base::time_point now)
{
    if (failed.envelope.has_manifest_request())
    {
        retry_manifest(state, failed, now);
        return;
    }
    if (!failed.envelope.has_chunk_request())
    {
        return;
    }
    auto const& request = failed.envelope.chunk_request();
    auto const found = state.weights.transfers.find(request.digest());
    if (found == state.weights.transfers.end())
    {
        return;
    }
    drop_pending(state, found->second, request.index());
    if (weights::note_unreachable(state.weights.peer_table, failed.peer, now))
    {
        weights::avoid_after_failure(
            state.weights.peer_table, failed.peer, now);
    }
}

} // namespace foxtailvale::agent_core
