#include "flows.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

// Chunks asked for at once, over all sources. Enough to keep a link busy over
// a round trip, few enough that an agent's memory for unverified bytes stays
// small.
constexpr std::size_t most_pending = 8;

// An answer that takes longer is asked for elsewhere.
constexpr std::chrono::milliseconds chunk_timeout{5000};
constexpr std::chrono::milliseconds manifest_timeout{1000};
constexpr std::chrono::milliseconds order_timeout{15'000};

// The endpoint's part of the plan of its domain.
control::plan_endpoint const* own_part(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end()
               ? nullptr
               : control::find_agent(found->second, state.self.name);
}

std::uint64_t fencing(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end() ? 0 : found->second.version;
}

bool is_assigned(state const& state, std::string const& digest)
{
    auto const* const part = own_part(state);
    return part != nullptr &&
           std::ranges::find(
               part->models, digest, &control::assigned_model::digest) !=
               part->models.end();
}

std::vector<weights::chunk_source>
sources(state const& state, std::string const& digest, std::uint32_t chunk)
{
    return weights::sources_of(
        state.control.plans, state.self.failure_domain, state.self.name, digest,
        chunk);
}

void connect(state& state, weights::chunk_source const& source, actions& out)
{
    if (state.weights.connected.insert(source.agent).second)
    {
        out.push_back(core::connect_peer{source.agent, source.address});
    }
}

// Asks the next best source for a chunk: each failure moves one on, and after
// the last source it begins again with the first.
void ask_for_chunk(
    state& state,
    transfer& transfer,
    std::uint32_t index,
    base::time_point now,
    actions& out)
{
    auto const options = sources(state, transfer.digest, index);
    if (options.empty())
    {
        return;
    }
    auto const& source = options[transfer.failures[index] % options.size()];
    transfer.pending[index] = {source.agent, now};
    if (source.agent.empty())
    {
        out.push_back(fetch_chunk{transfer.digest, index});
        return;
    }
    connect(state, source, out);
    core::send_message message{source.agent, {}};
    auto* const request = message.envelope.mutable_chunk_request();
    request->set_digest(transfer.digest);
    request->set_index(index);
    out.push_back(std::move(message));
}

void ask_for_manifest(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    transfer.manifest_asked = true;
    transfer.manifest_time = now;
    auto const options = sources(state, transfer.digest, 0);
    if (options.empty())
    {
        return;
    }
    auto const attempt = transfer.failures[0]++;
    auto const& source = options[attempt % options.size()];
    if (source.agent.empty())
    {
        out.push_back(fetch_manifest{transfer.digest});
        return;
    }
    connect(state, source, out);
    core::send_message message{source.agent, {}};
    message.envelope.mutable_manifest_request()->set_digest(transfer.digest);
    out.push_back(std::move(message));
}

void ask_for_more(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    auto const& version = state.weights.store.versions.at(transfer.digest);
    for (std::uint32_t index = 0; index < version.chunks.size(); ++index)
    {
        if (transfer.pending.size() >= most_pending)
        {
            return;
        }
        if (!version.chunks[index] && !transfer.pending.contains(index))
        {
            ask_for_chunk(state, transfer, index, now, out);
        }
    }
}

void finish_transfer(
    state& state, std::string const& digest, base::time_point now, actions& out)
{
    auto const& transfer = state.weights.transfers.at(digest);
    auto const took = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - transfer.started);
    out.push_back(core::write_log{
        kernel::event_id::transfer_finished,
        {{"digest", digest}, {"milliseconds", took.count()}}});
    state.weights.transfers.erase(digest);
}

void keep_chunk(
    state& state,
    std::string const& digest,
    std::uint32_t index,
    std::string bytes,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(digest);
    if (found == state.weights.transfers.end())
    {
        return;
    }
    auto& transfer = found->second;
    auto const pending = transfer.pending.find(index);
    if (pending == transfer.pending.end())
    {
        return;
    }
    auto const source = pending->second.agent;
    transfer.pending.erase(pending);
    auto const kept = weights::put_chunk(
        state.weights.store, digest, index, std::move(bytes));
    if (!kept)
    {
        ++transfer.failures[index];
        out.push_back(core::report_error{
            kept.error(), {{"source", source}, {"chunk", index}}});
    }
    if (weights::is_whole(state.weights.store, digest))
    {
        finish_transfer(state, digest, now, out);
        return;
    }
    ask_for_more(state, transfer, now, out);
}

void give_up_chunk(state& state, std::string const& digest, std::uint32_t index)
{
    auto const found = state.weights.transfers.find(digest);
    if (found == state.weights.transfers.end())
    {
        return;
    }
    if (found->second.pending.erase(index) > 0)
    {
        ++found->second.failures[index];
    }
}

void accept_manifest(
    state& state,
    std::string const& digest,
    std::string const& text,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(digest);
    if (found == state.weights.transfers.end() ||
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
    found->second.failures.clear();
    ask_for_more(state, found->second, now, out);
}

void start_transfer(
    state& state, std::string const& digest, base::time_point now, actions& out)
{
    transfer transfer;
    transfer.digest = digest;
    transfer.started = now;
    auto& added = state.weights.transfers.emplace(digest, std::move(transfer))
                      .first->second;
    out.push_back(core::write_log{
        kernel::event_id::transfer_started, {{"digest", digest}}});
    ask_for_manifest(state, added, now, out);
}

void send_order(
    state& state,
    order_kind kind,
    control::assigned_model const& model,
    base::time_point now,
    actions& out)
{
    order_engine const order{
        ++state.weights.last_order, kind, model.model, model.digest,
        fencing(state)};
    state.weights.order = pending_order{order, now};
    // Failure: the engine moves to other weights while an answer streams, and
    // the caller reads the beginning of one version and the end of another.
    // From here until a report made after the order, the gate runs nothing of
    // this model; what ran before has ended, or there would be no order.
    state.weights.changing[model.model] = base::time_point::max();
    state.weights.serving.erase(model.model);
    state.control.last_heartbeat = {};
    out.push_back(order);
    out.push_back(core::write_log{
        kernel::event_id::engine_order_sent,
        {{"kind", kind == order_kind::load ? "load" : "unload"},
         {"model", model.model},
         {"digest", model.digest},
         {"fencing", order.fencing}}});
}

void end_order(state& state, base::time_point now)
{
    state.weights.changing[state.weights.order->order.model] = now;
    state.weights.order.reset();
}

bool runs_model(state const& state, std::string const& model)
{
    return std::ranges::any_of(
        state.requests.running,
        [&model](auto const& entry)
        {
            return entry.second.model == model;
        });
}

// One order at a time: load what is assigned and whole, unload what is no
// longer assigned. A model moves to another digest only between requests, so
// that no answer comes from two versions.
void order_difference(state& state, base::time_point now, actions& out)
{
    auto const* const part = own_part(state);
    if (part == nullptr || state.weights.order || !state.self.service.empty())
    {
        return;
    }
    for (auto const& wanted : part->models)
    {
        auto const serving = state.weights.serving.find(wanted.model);
        auto const there = serving != state.weights.serving.end();
        // An order for it was just answered; the next report tells how it went.
        auto const unsure = state.weights.changing.contains(wanted.model);
        if (unsure || (there && serving->second == wanted.digest))
        {
            continue;
        }
        if (weights::is_whole(state.weights.store, wanted.digest) &&
            !(there && runs_model(state, wanted.model)))
        {
            send_order(state, order_kind::load, wanted, now, out);
            return;
        }
    }
    for (auto const& [model, digest] : state.weights.serving)
    {
        auto const assigned = std::ranges::find(
            part->models, model, &control::assigned_model::model);
        if (assigned == part->models.end() && !runs_model(state, model))
        {
            send_order(state, order_kind::unload, {model, digest}, now, out);
            return;
        }
    }
}

bool is_serving(state const& state, std::string const& digest)
{
    return std::ranges::any_of(
        state.weights.serving,
        [&digest](auto const& entry)
        {
            return entry.second == digest;
        });
}

void release_unused(state& state, actions& out)
{
    std::vector<std::string> unused;
    for (auto const& [digest, version] : state.weights.store.versions)
    {
        if (!is_assigned(state, digest) && !is_serving(state, digest))
        {
            unused.push_back(digest);
        }
    }
    for (auto const& digest : unused)
    {
        weights::remove_version(state.weights.store, digest);
        out.push_back(core::write_log{
            kernel::event_id::weights_released, {{"digest", digest}}});
    }
}

void expire(
    state& state, transfer& transfer, base::time_point now, actions& out)
{
    std::vector<std::uint32_t> late;
    for (auto const& [index, pending] : transfer.pending)
    {
        if (now - pending.asked > chunk_timeout)
        {
            late.push_back(index);
        }
    }
    for (auto const index : late)
    {
        give_up_chunk(state, transfer.digest, index);
    }
    auto const described =
        state.weights.store.versions.contains(transfer.digest);
    if (described)
    {
        ask_for_more(state, transfer, now, out);
    }
    else if (now - transfer.manifest_time > manifest_timeout)
    {
        ask_for_manifest(state, transfer, now, out);
    }
}

} // namespace

void on_plan_changed(state& state, base::time_point now, actions& out)
{
    std::erase_if(
        state.weights.transfers,
        [&](auto const& entry)
        {
            auto const stop = !is_assigned(state, entry.first);
            if (stop)
            {
                out.push_back(core::write_log{
                    kernel::event_id::transfer_stopped,
                    {{"digest", entry.first}}});
            }
            return stop;
        });
    auto const* const part = own_part(state);
    if (part == nullptr || !state.self.service.empty())
    {
        return;
    }
    for (auto const& model : part->models)
    {
        if (!weights::is_whole(state.weights.store, model.digest) &&
            !state.weights.transfers.contains(model.digest))
        {
            start_transfer(state, model.digest, now, out);
        }
    }
}

void on_chunk_request(
    state& state,
    std::string const& peer,
    wire::ChunkRequest const& request,
    actions& out)
{
    core::send_message message{peer, {}};
    auto* const reply = message.envelope.mutable_chunk_reply();
    reply->set_digest(request.digest());
    reply->set_index(request.index());
    auto const data = weights::find_chunk(
        state.weights.store, request.digest(), request.index());
    if (data)
    {
        reply->set_data(*data);
    }
    else
    {
        reply->set_error(
            std::string(base::row_of(base::error_kind::not_found).name));
    }
    out.push_back(std::move(message));
}

void on_chunk_reply(
    state& state,
    std::string const& peer,
    wire::ChunkReply const& reply,
    base::time_point now,
    actions& out)
{
    auto const found = state.weights.transfers.find(reply.digest());
    if (found == state.weights.transfers.end())
    {
        return;
    }
    auto const pending = found->second.pending.find(reply.index());
    if (pending == found->second.pending.end() || pending->second.agent != peer)
    {
        return;
    }
    if (!reply.error().empty())
    {
        // The parent does not hold it yet: ask it again after a tick rather
        // than fall back on the origin, which carries only a few copies.
        found->second.pending.erase(pending);
        return;
    }
    keep_chunk(state, reply.digest(), reply.index(), reply.data(), now, out);
}

void on_manifest_request(
    state& state,
    std::string const& peer,
    wire::ManifestRequest const& request,
    actions& out)
{
    core::send_message message{peer, {}};
    auto* const reply = message.envelope.mutable_manifest_reply();
    reply->set_digest(request.digest());
    auto const found = state.weights.store.versions.find(request.digest());
    if (found == state.weights.store.versions.end())
    {
        reply->set_error(
            std::string(base::row_of(base::error_kind::not_found).name));
    }
    else
    {
        reply->set_document(found->second.manifest_text);
    }
    out.push_back(std::move(message));
}

void on_manifest_reply(
    state& state,
    wire::ManifestReply const& reply,
    base::time_point now,
    actions& out)
{
    if (reply.error().empty())
    {
        accept_manifest(state, reply.digest(), reply.document(), now, out);
    }
}

void on_origin_manifest(
    state& state,
    origin_manifest const& reply,
    base::time_point now,
    actions& out)
{
    if (reply.failure)
    {
        out.push_back(core::report_error{*reply.failure, {}});
        return;
    }
    accept_manifest(state, reply.digest, reply.text, now, out);
}

void on_origin_chunk(
    state& state, origin_chunk const& reply, base::time_point now, actions& out)
{
    if (reply.failure)
    {
        out.push_back(core::report_error{*reply.failure, {}});
        give_up_chunk(state, reply.digest, reply.index);
        return;
    }
    keep_chunk(state, reply.digest, reply.index, reply.bytes, now, out);
}

void on_order_answered(
    state& state,
    order_answered const& answer,
    base::time_point now,
    actions& out)
{
    if (!state.weights.order ||
        state.weights.order->order.order != answer.order)
    {
        return;
    }
    // Whether it took effect is read from the engine's next report, so that a
    // lost answer and a refusal end the same way.
    end_order(state, now);
    if (answer.failure)
    {
        out.push_back(core::report_error{*answer.failure, {}});
    }
}

void on_weights_tick(state& state, base::time_point now, actions& out)
{
    std::vector<std::string> digests;
    for (auto const& [digest, transfer] : state.weights.transfers)
    {
        digests.push_back(digest);
    }
    for (auto const& digest : digests)
    {
        expire(state, state.weights.transfers.at(digest), now, out);
    }
    if (state.weights.order && now - state.weights.order->sent > order_timeout)
    {
        end_order(state, now);
    }
    order_difference(state, now, out);
    release_unused(state, out);
}

void on_weights_send_failed(
    state& state, core::send_failed const& failed, actions& /*out*/)
{
    if (failed.envelope.has_chunk_request())
    {
        auto const& request = failed.envelope.chunk_request();
        give_up_chunk(state, request.digest(), request.index());
    }
}

} // namespace foxtailvale::agent_core
