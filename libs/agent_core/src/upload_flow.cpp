#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

// Waiting agents are told twice a second that this agent is alive and which
// chunks it holds.
constexpr std::chrono::milliseconds progress_interval{500};

// In the swarm baseline, agents learn only from this gossip which agent holds
// which chunk.
constexpr std::chrono::milliseconds gossip_interval{100};

transfer const* find_transfer(state const& state, std::string const& digest)
{
    auto const found = state.weights.transfers.find(digest);
    return found == state.weights.transfers.end() ? nullptr : &found->second;
}

void send_progress(
    std::string const& peer,
    std::string const& digest,
    std::string const& bitmap,
    actions& out)
{
    core::send_message message{peer, {}};
    auto* const have = message.envelope.mutable_chunk_have();
    have->set_digest(digest);
    have->set_bitmap(bitmap);
    out.push_back(std::move(message));
}

// Failure: the origin has failed this agent for a long time, so no agent that
// waits for it gets the chunk, although another agent may be able to reach the
// origin. Declining the waiting requests lets the next agent in the chunk's
// order try.
void decline_stuck_requests(state& state, base::time_point now, actions& out)
{
    if (!weights::should_decline(state.weights.origin))
    {
        return;
    }
    std::vector<std::pair<std::string, std::uint32_t>> stuck;
    for (auto const& [chunk, peers] : state.weights.uploads.waiting)
    {
        auto const transfer = state.weights.transfers.find(chunk.first);
        if (transfer == state.weights.transfers.end())
        {
            continue;
        }
        auto const source =
            best_source(state, transfer->second, chunk.second, now);
        if (source && source->agent.empty())
        {
            stuck.push_back(chunk);
        }
    }
    for (auto const& [digest, index] : stuck)
    {
        for (auto const& request :
             weights::take_waiting(state.weights.uploads, digest, index))
        {
            decline_chunk(request, base::error_kind::not_found, out);
        }
    }
}

} // namespace

void send_uploads(state& state, base::time_point now, actions& out)
{
    auto& uploads = state.weights.uploads;
    while (auto const next = weights::next_upload(uploads, now))
    {
        auto const data =
            weights::find_chunk(state.weights.store, next->digest, next->index);
        if (!data)
        {
            decline_chunk(*next, base::error_kind::not_found, out);
            continue;
        }
        core::send_message message{next->peer, {}};
        auto* const reply = message.envelope.mutable_chunk_reply();
        reply->set_digest(next->digest);
        reply->set_index(next->index);
        reply->set_data(*data);
        out.push_back(std::move(message));
        weights::note_sent(uploads, data->size());
        out.push_back(core::count_metric{
            "foxtailvale_weights_sent_bytes_total",
            static_cast<double>(data->size())});
    }
}

void on_chunk_request(
    state& state,
    std::string const& peer,
    wire::ChunkRequest const& request,
    base::time_point now,
    actions& out)
{
    weights::upload const requested{peer, request.digest(), request.index()};
    auto const* const transfer = find_transfer(state, requested.digest);
    if (transfer != nullptr && transfer->refused)
    {
        decline_chunk(requested, base::error_kind::bad_digest, out);
        return;
    }
    if (weights::find_chunk(
            state.weights.store, requested.digest, requested.index))
    {
        weights::make_ready(state.weights.uploads, requested);
        send_uploads(state, now, out);
        return;
    }
    // In a swarm, agents request chunks from any possible holder and could wait
    // for each other in a cycle; only the order of the forest rules that out.
    auto const may_wait = state.weights.how == distribution::forest;
    if (!may_wait || !weights::wait_for_chunk(state.weights.uploads, requested))
    {
        decline_chunk(requested, base::error_kind::not_found, out);
    }
}

void on_upload_tick(state& state, base::time_point now, actions& out)
{
    send_uploads(state, now, out);
    auto const interval = state.weights.how == distribution::swarm
                              ? gossip_interval
                              : progress_interval;
    if (now - state.weights.last_progress_sent < interval)
    {
        return;
    }
    state.weights.last_progress_sent = now;
    if (state.weights.how == distribution::swarm)
    {
        gossip_holdings(state, out);
        return;
    }
    decline_stuck_requests(state, now, out);
    for (auto const& [digest, peers] :
         weights::waiting_peers(state.weights.uploads))
    {
        if (find_transfer(state, digest) == nullptr &&
            !state.weights.store.versions.contains(digest))
        {
            continue;
        }
        auto const bitmap = held_bitmap(state, digest);
        for (auto const& peer : peers)
        {
            send_progress(peer, digest, bitmap, out);
        }
    }
}

} // namespace foxtailvale::agent_core
