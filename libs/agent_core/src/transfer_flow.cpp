#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

// How long a source that will not give a chunk is not asked for it again.
constexpr milliseconds decline_time{10'000};

// Other bytes from the origin than the manifest names, per chunk, before the
// version is refused, and for how long at the least: a damaged transfer passes
// within seconds, a damaged store does not. Refused sooner, a version was given
// up for good after three bad copies within 30 ms.
constexpr std::uint32_t most_corrupt_draws = 3;
constexpr milliseconds least_corrupt_time{10'000};

bool is_persistent(corrupt_record const& record, base::time_point now)
{
    return record.draws >= most_corrupt_draws &&
           now - record.first >= least_corrupt_time;
}

// Other agents that must refuse a version before one that has not seen the
// wrong bytes itself does: one agent alone cannot stop a release.
constexpr std::size_t refusals_believed = 2;

void finish_transfer(
    state& state, std::string const& digest, base::time_point now, actions& out)
{
    auto& transfer = state.weights.transfers.at(digest);
    while (!transfer.pending.empty())
    {
        drop_pending(state, transfer, transfer.pending.begin()->first);
    }
    auto const took =
        std::chrono::duration_cast<milliseconds>(now - transfer.started);
    out.push_back(core::write_log{
        kernel::event_id::transfer_finished,
        {{"digest", digest}, {"milliseconds", took.count()}}});
    state.weights.transfers.erase(digest);
}

// Keeps a chunk that came from a peer or, with an empty name, from the origin;
// the error when it is not what the manifest names.
base::result<void> keep_chunk(
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
        ask_for_more(state, transfer, now, out);
    }
    return boost::outcome_v2::success();
}

void note_rate(
    state& state,
    pending_chunk const& pending,
    std::size_t bytes,
    base::time_point now)
{
    // The wait for a chunk that the source did not hold yet says nothing about
    // its rate.
    if (pending.held_since)
    {
        weights::note_delivered(
            state.weights.book, pending.agent,
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
    transfer.declined[index][peer] = now + decline_time;
    auto const kind = base::error_kind_from_name(reply.error());
    out.push_back(core::count_retry{kind});
    if (kind == base::error_kind::bad_digest)
    {
        transfer.refusals.insert(peer);
        if (transfer.refusals.size() >= refusals_believed)
        {
            refuse_version(state, transfer, out);
        }
    }
}

// Sources that have gone silent, and chunks that a source holds but does not
// deliver.
void expire(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    auto const version = state.weights.store.versions.find(transfer.digest);
    if (version == state.weights.store.versions.end())
    {
        return;
    }
    auto const chunk_bytes = version->second.description.chunk_bytes;
    std::set<std::string> failed;
    std::set<std::string> silent_agents;
    std::vector<std::uint32_t> dropped;
    for (auto const& [index, pending] : transfer.pending)
    {
        if (pending.agent.empty())
        {
            continue;
        }
        auto const silent =
            weights::is_silent(state.weights.book, pending.agent, now);
        auto const late =
            pending.held_since &&
            now - *pending.held_since >
                weights::delivery_timeout(
                    state.weights.book, pending.agent, chunk_bytes);
        if (silent || late || failed.contains(pending.agent))
        {
            failed.insert(pending.agent);
            if (silent)
            {
                silent_agents.insert(pending.agent);
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
        if (silent_agents.contains(agent))
        {
            weights::note_unresponsive(state.weights.book, agent, now);
        }
        else
        {
            weights::avoid_after_failure(state.weights.book, agent, now);
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
    // Verified chunks of an earlier transfer are used again.
    if (state.weights.store.versions.contains(digest))
    {
        begin_chunks(state, transfer, now, out);
        return;
    }
    ask_for_manifest(state, transfer, now, out);
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

// A connection that is only being made takes no frames: asks again with the
// next tick rather than after the usual time, which a burst would begin with.
void retry_manifest(
    state& state, core::send_failed const& failed, base::time_point now)
{
    auto const& digest = failed.envelope.manifest_request().digest();
    auto const found = state.weights.transfers.find(digest);
    if (found != state.weights.transfers.end() &&
        !weights::note_unreachable(state.weights.book, failed.peer, now))
    {
        found->second.manifest_asked = {};
    }
}

} // namespace

void begin_chunks(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    transfer.described = now;
    transfer.last_chunk = now;
    ask_for_more(state, transfer, now, out);
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
         "refused: the origin's bytes are not those of version " +
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
    auto const* const part = own_part(state);
    if (part == nullptr || !state.self.service.empty())
    {
        return;
    }
    for (auto const& model : part->models)
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
        ask_for_more(state, transfer, now, out);
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
    // A chunk that was given up and comes all the same is as good as any.
    auto const kept =
        keep_chunk(state, transfer, index, reply.data(), now, out);
    if (kept)
    {
        return;
    }
    // Failure: a peer sends corrupted chunks. The digest tells; without blame
    // the same peer would be asked again and hold up the version for good.
    out.push_back(core::write_log{
        kernel::event_id::chunk_refused,
        {{"source", peer}, {"digest", reply.digest()}, {"chunk", index}}});
    out.push_back(core::report_error{kept.error(), {{"source", peer}}});
    weights::blame(state.weights.book, peer, now);
    if (awaited)
    {
        drop_pending(state, transfer, index);
    }
    ask_for_more(state, transfer, now, out);
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
    auto const end_draw = [&](weights::origin_fetch_outcome outcome)
    {
        weights::note_origin_fetch_ended(
            state.weights.origin, outcome, state.random, now);
    };
    auto const found = state.weights.transfers.find(reply.digest);
    if (found == state.weights.transfers.end() || found->second.refused)
    {
        end_draw(outcome_of(reply.failure));
        return;
    }
    auto& transfer = found->second;
    if (reply.failure)
    {
        end_draw(outcome_of(reply.failure));
        out.push_back(core::report_error{*reply.failure, {}});
        out.push_back(core::count_retry{reply.failure->kind});
        drop_pending(state, transfer, reply.index);
        return;
    }
    out.push_back(core::count_metric{
        "foxtailvale_weights_drawn_bytes_total",
        static_cast<double>(reply.bytes.size())});
    auto const kept =
        keep_chunk(state, transfer, reply.index, reply.bytes, now, out);
    // Wrong bytes are a failed draw: the next waits, so that a passing fault
    // does not use up the origin's link.
    end_draw(
        kept ? weights::origin_fetch_outcome::good : weights::origin_fetch_outcome::failed);
    if (kept)
    {
        return;
    }
    out.push_back(core::report_error{
        kept.error(), {{"source", "origin"}, {"chunk", reply.index}}});
    drop_pending(state, transfer, reply.index);
    auto const added =
        transfer.corrupt_draws.try_emplace(reply.index, corrupt_record{0, now});
    auto& record = added.first->second;
    ++record.draws;
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
            ask_for_manifest(state, transfer, now, out);
            continue;
        }
        // An importer that the origin fails may be the only one: another may
        // hold by now what was handed on to it.
        if (weights::suspects_origin(state.weights.origin, now))
        {
            ask_for_holdings(state, transfer, now, out);
        }
        expire(state, transfer, now, out);
        ask_for_more(state, transfer, now, out);
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
    if (weights::note_unreachable(state.weights.book, failed.peer, now))
    {
        weights::avoid_after_failure(state.weights.book, failed.peer, now);
    }
}

} // namespace foxtailvale::agent_core
