#include "version_fetch.hpp"

#include "fetch.hpp"
#include "peer_weights_server.hpp"

#include <kernel/events.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Peers hold a ready request until the chunk has arrived and send one chunk
// after the other; a request that takes longer than this has met an
// unresponsive or slow source.
constexpr milliseconds chunk_timeout{2500};
constexpr milliseconds ready_timeout{900};

constexpr milliseconds manifest_timeout{800};
// A peer holds the request for up to half a second while it waits for the
// manifest itself. One that has not answered by then is gone, and the next one
// is asked.
constexpr milliseconds peer_manifest_timeout{700};
constexpr milliseconds manifest_retry_delay{100};
constexpr std::uint32_t max_manifest_doublings = 2;

// The list of the other agents comes within 0.1 s, if at all.
constexpr milliseconds list_timeout{600};
// A list that was older than this when the version was first needed is
// requested again.
constexpr milliseconds list_max_age{2500};

// Number of tries for which only the origin fetchers of the own failure domain
// are asked, before any other agent there.
constexpr std::uint32_t same_domain_tries = 4;

// The plans with the version's label set at every agent, because all of them
// need the version.
weights::plan_set
label_plans(agent_context const& state, std::string const& label)
{
    auto plans = state.fleet;
    for (auto& [domain, plan] : plans)
    {
        for (auto& endpoint : plan.endpoints)
        {
            endpoint.models = {{state.model, label}};
        }
    }
    return plans;
}

} // namespace

version_fetch::version_fetch(std::shared_ptr<agent_context> shared)
    : context(std::move(shared)), timer(this->context->loop)
{
}

void version_fetch::advance(std::uint64_t version, bool chunks)
{
    auto& held = this->context->versions[version];
    if (!held.manifest)
    {
        this->fetch_manifest(version);
        return;
    }
    if (chunks && !weights::is_complete(held.transfer))
    {
        this->request_chunks(version);
    }
}

std::optional<std::string>
version_fetch::manifest_source(held_version& held, std::uint64_t version) const
{
    auto const& state = *this->context;
    auto const& own = state.settings.ip;
    auto const schedule = origin_fetch_schedule(state, version);
    auto const begun = held.wanted_since.value_or(clock::now());
    // Failures: after all machines had lost power, every agent asked the origin
    // before the list of the others had arrived; agents with lists of different
    // age did not agree on which of them fetches what from the origin.
    auto const is_listed = state.fleet_listed_at + list_max_age > begun;
    if (!is_listed && clock::now() < begun + list_timeout)
    {
        return std::nullopt;
    }
    auto const may_use_origin =
        weights::may_request_manifest(schedule, own, begun, clock::now());
    auto const found = state.fleet.find(state.settings.failure_domain);
    // Where the origin may be asked at all, tries alternate between it and the
    // peers.
    if (found == state.fleet.end() || schedule.order.size() < 2 ||
        (may_use_origin && held.manifest_tries % 2 == 0))
    {
        return std::string();
    }
    // The first agent of the failure domain gets the manifest first, then the
    // other origin fetchers of the domain, which ask the first; when those are
    // gone, any other agent may hold it.
    auto const& agents = found->second.endpoints;
    auto const rank = static_cast<std::size_t>(
        std::ranges::find(agents, own, &control::plan_endpoint::agent) -
        agents.begin());
    auto const near = std::clamp<std::size_t>(
        schedule.fetchers / schedule.domains, 1, agents.size());
    auto const among =
        held.manifest_tries < same_domain_tries ? near : agents.size();
    auto const first = rank < near ? 0 : rank;
    auto const& chosen = agents[(first + held.manifest_tries) % among];
    if (chosen.agent == own)
    {
        // The try counts, so the next one asks the next agent.
        ++held.manifest_tries;
        return std::nullopt;
    }
    return chosen.address;
}

void version_fetch::fetch_manifest(std::uint64_t version)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    if (held.manifest_pending || clock::now() < held.next_manifest_try)
    {
        return;
    }
    if (!held.wanted_since)
    {
        held.wanted_since = clock::now();
    }
    auto const source = this->manifest_source(held, version);
    if (!source)
    {
        return;
    }
    auto const from_origin = source->empty();
    this->request_manifest(
        version, from_origin ? state.origin : *source, from_origin);
}

void version_fetch::refetch_manifest(std::uint64_t version)
{
    auto& state = *this->context;
    auto const& held = state.versions[version];
    if (!held.manifest_pending && clock::now() >= held.next_manifest_try)
    {
        this->request_manifest(version, state.origin, true);
    }
}

void version_fetch::request_manifest(
    std::uint64_t version, std::string const& address, bool from_origin)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    held.manifest_pending = true;
    held.manifest_source = from_origin ? "origin" : address;
    auto const request = from_origin
                             ? platform::manifest_request(state.model, version)
                             : peer_manifest_request(state.model, version);
    // The time-out doubles with every second failure: while links between
    // regions are full, requests abandoned early are sent again and fill them
    // further.
    auto const doublings =
        std::min(held.manifest_tries / 2, max_manifest_doublings);
    auto const limit = from_origin ? manifest_timeout * (1U << doublings)
                                   : peer_manifest_timeout;
    fetch(
        state.loop, state.pool, address, request, limit,
        [self = this->shared_from_this(), version,
         address](std::optional<fetched> response)
        {
            if (!response || response->status != 200)
            {
                kernel::log_event(
                    kernel::event_id::manifest_not_had,
                    {{"version", version},
                     {"source", address},
                     {"status", response ? response->status : 0}});
            }
            self->on_manifest(
                version, response && response->status == 200
                             ? std::optional(std::move(response->body))
                             : std::nullopt);
        });
}

void version_fetch::on_manifest(
    std::uint64_t version, std::optional<std::string> const& body)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    held.manifest_pending = false;
    auto read = body ? platform::read_manifest(*body)
                     : base::fail(base::error_kind::origin_unavailable);
    auto const matches = read.has_value() && read.value().version == version &&
                         read.value().model == state.model;
    held.refused_chunks.clear();
    if (!matches || held.manifest == read.value())
    {
        ++held.manifest_tries;
        held.next_manifest_try = clock::now() + manifest_retry_delay;
        return;
    }
    kernel::log_event(
        kernel::event_id::transfer_started,
        {{"version", version},
         {"chunks", read.value().digests.size()},
         {"from", held.manifest_source},
         {"tries", held.manifest_tries}});
    while (!held.transfer.pending.empty())
    {
        weights::withdraw(
            held.transfer, state.sources, held.transfer.pending.begin()->first);
    }
    auto const former = std::move(held.transfer);
    weights::begin(held.transfer, read.value().digests, clock::now());
    weights::reuse(held.transfer, former);
    held.last_progress = clock::now();
    for (auto const& [other, earlier] : state.versions)
    {
        if (other != version)
        {
            weights::reuse(held.transfer, earlier.transfer);
        }
    }
    held.manifest = std::move(read.value());
    this->on_progress();
}

void version_fetch::log_waiting(std::uint64_t version)
{
    constexpr milliseconds log_interval{1000};
    constexpr std::size_t max_logged = 4;
    auto& held = this->context->versions[version];
    if (clock::now() < held.last_progress + log_interval)
    {
        return;
    }
    held.last_progress = clock::now();
    auto const& transfer = held.transfer;
    auto missing = nlohmann::json::array();
    auto from = nlohmann::json::array();
    for (std::uint32_t index = 0;
         index < transfer.chunks.size() && missing.size() < max_logged; ++index)
    {
        if (transfer.chunks[index])
        {
            continue;
        }
        missing.push_back(index);
        auto const asked = transfer.pending.find(index);
        auto const& source = asked == transfer.pending.end()
                                 ? std::string("nobody")
                                 : asked->second.source.agent;
        from.push_back(source.empty() ? "origin" : source);
    }
    kernel::log_event(
        kernel::event_id::transfer_waits,
        {{"version", version},
         {"held", transfer.held},
         {"missing", missing},
         {"from", from},
         {"pending", transfer.pending.size()}});
}

void version_fetch::request_chunks(std::uint64_t version)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    this->fetch_ready();
    this->log_waiting(version);
    auto const label = state.model + "@" + std::to_string(version);
    weights::transfer_requester const place{
        state.settings.failure_domain, state.settings.ip, label,
        chunk_holders(state, version)};
    auto const asks = weights::next_chunk_requests(
        held.transfer, state.sources, label_plans(state, label), place,
        origin_fetch_schedule(state, version), weights::transfer_limits{},
        clock::now());
    for (auto const& wanted : asks)
    {
        this->request_chunk(version, wanted);
    }
    auto const checks = weights::next_liveness_checks(
        held.transfer, label_plans(state, label), place,
        origin_fetch_schedule(state, version), clock::now());
    for (auto const& origin_fetcher : checks)
    {
        this->check_peer(version, origin_fetcher);
    }
}

void version_fetch::check_peer(
    std::uint64_t version, weights::chunk_source const& origin_fetcher)
{
    auto& state = *this->context;
    fetch(
        state.loop, state.pool, origin_fetcher.address,
        peer_check_request(state.model, version),
        weights::liveness_check_timeout,
        [self = this->shared_from_this(), version,
         origin_fetcher](std::optional<fetched> response)
        {
            auto const lives = response && response->status == 200;
            if (!lives)
            {
                kernel::log_event(
                    kernel::event_id::fetcher_silent,
                    {{"version", version},
                     {"drawer", origin_fetcher.agent},
                     {"status", response ? response->status : 0}});
            }
            weights::note_liveness_check(
                self->context->versions[version].transfer, origin_fetcher.agent,
                lives);
        });
}

void version_fetch::request_chunk(
    std::uint64_t version, weights::wanted_chunk const& wanted)
{
    auto& state = *this->context;
    ready_chunk const asked{version, wanted};
    if (wanted.source.agent.empty())
    {
        this->fetch_chunk(asked);
        return;
    }
    fetch(
        state.loop, state.pool, wanted.source.address,
        peer_chunk_ready_request(
            state.model, version, wanted.index, wanted.behind),
        ready_timeout,
        [self = this->shared_from_this(),
         asked](std::optional<fetched> response)
        {
            if (response && response->status == weights_ready)
            {
                self->ready_chunks.push_back(asked);
                self->fetch_ready();
                return;
            }
            if (response && response->status == weights_not_yet)
            {
                weights::note_holdings(
                    self->context->versions[asked.version].transfer,
                    asked.wanted.source, std::move(response->body),
                    clock::now());
            }
            self->on_chunk_failed(asked, response ? response->status : 0);
        });
}

void version_fetch::withdraw_slow_fetches(base::time_point now)
{
    for (auto const number :
         weights::narrowed_fetches(this->receive_queue, now))
    {
        auto const found = this->fetches.find(number);
        if (found == this->fetches.end())
        {
            continue;
        }
        auto const withdrawn = found->second;
        this->fetches.erase(found);
        weights::avoid_after_failure(
            this->context->sources, withdrawn.wanted.source.agent, now);
        weights::withdraw(
            this->context->versions[withdrawn.version].transfer,
            this->context->sources, withdrawn.wanted.index);
    }
}

void version_fetch::fetch_ready()
{
    auto const now = clock::now();
    this->withdraw_slow_fetches(now);
    while (!this->ready_chunks.empty() &&
           weights::may_fetch(this->receive_queue, now))
    {
        auto const next = this->ready_chunks.front();
        this->ready_chunks.pop_front();
        if (this->drop_if_held(next))
        {
            continue;
        }
        this->fetch_chunk(next);
    }
    if (!this->ready_chunks.empty() && now < this->receive_queue.not_before)
    {
        this->timer.expires_at(this->receive_queue.not_before);
        this->timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code error)
            {
                if (!error)
                {
                    self->fetch_ready();
                }
            });
    }
}

bool version_fetch::drop_if_held(ready_chunk const& next)
{
    auto& state = *this->context;
    auto& transfer = state.versions[next.version].transfer;
    auto const index = next.wanted.index;
    if (index >= transfer.chunks.size() || !transfer.chunks[index])
    {
        return false;
    }
    weights::withdraw(transfer, state.sources, index);
    return true;
}

void version_fetch::fetch_chunk(ready_chunk const& next)
{
    auto& state = *this->context;
    auto const from_origin = next.wanted.source.agent.empty();
    auto const address =
        from_origin ? state.origin : next.wanted.source.address;
    auto const index = next.wanted.index;
    auto const request =
        from_origin ? platform::chunk_request(state.model, next.version, index)
                    : peer_chunk_request(state.model, next.version, index);
    auto const number = from_origin ? 0 : this->register_fetch(next);
    auto const limit = from_origin
                           ? weights::origin_fetch_timeout(
                                 origin_fetch_schedule(state, next.version),
                                 weights::failures_of(state.sources, {}))
                           : chunk_timeout;
    fetch(
        state.loop, state.pool, address, request, limit,
        [self = this->shared_from_this(), next,
         number](std::optional<fetched> response)
        {
            weights::end_fetch(self->receive_queue, number, clock::now());
            auto const is_wanted =
                number == 0 || self->fetches.erase(number) > 0;
            if (response && response->status == 200)
            {
                self->on_chunk(
                    next.version, next.wanted.index, std::move(response->body));
            }
            else if (is_wanted)
            {
                self->on_chunk_failed(next, response ? response->status : 0);
            }
            self->fetch_ready();
        });
}

std::uint64_t version_fetch::register_fetch(ready_chunk const& next)
{
    auto const number = weights::begin_fetch(
        this->receive_queue, next.wanted.source.agent, clock::now());
    this->fetches[number] = next;
    return number;
}

void version_fetch::on_chunk_failed(ready_chunk const& asked, unsigned status)
{
    auto& state = *this->context;
    auto const from_origin = asked.wanted.source.agent.empty();
    auto why = weights::chunk_loss::failed;
    if (from_origin)
    {
        kernel::log_event(
            kernel::event_id::draw_failed,
            {{"version", asked.version},
             {"chunk", asked.wanted.index},
             {"status", status},
             {"failures", weights::failures_of(state.sources, {})}});
    }
    if (!from_origin && status == weights_not_yet)
    {
        why = weights::chunk_loss::not_yet;
    }
    else if (!from_origin && status != 0)
    {
        why = weights::chunk_loss::missing;
    }
    weights::lose(
        state.versions[asked.version].transfer, state.sources,
        asked.wanted.index, why, clock::now());
}

void version_fetch::on_chunk(
    std::uint64_t version, std::uint32_t index, std::string bytes)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    auto const was_complete = weights::is_complete(held.transfer);
    auto const good = weights::deliver(
        held.transfer, state.sources, index, std::move(bytes), clock::now());
    if (!good)
    {
        this->on_chunk_refused(version, index);
    }
    else
    {
        held.last_progress = clock::now();
    }
    if (good && !was_complete && weights::is_complete(held.transfer))
    {
        kernel::log_event(
            kernel::event_id::transfer_finished, {{"version", version}});
    }
    this->on_progress();
}

void version_fetch::on_chunk_refused(std::uint64_t version, std::uint32_t index)
{
    // Any chunk may arrive corrupt once.
    constexpr std::uint32_t max_refusals = 2;
    auto& held = this->context->versions[version];
    kernel::log_event(
        kernel::event_id::chunk_refused,
        {{"version", version}, {"chunk", index}});
    auto const& chunks = held.transfer.chunks;
    if (index >= chunks.size() || chunks[index])
    {
        return;
    }
    auto const refusals = ++held.refused_chunks[index];
    if (refusals >= max_refusals)
    {
        kernel::log_event(
            kernel::event_id::manifest_doubted,
            {{"version", version}, {"chunk", index}, {"refusals", refusals}});
        this->refetch_manifest(version);
    }
}

} // namespace foxtailvale::gateway
