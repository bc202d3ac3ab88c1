#include "version_fetch.hpp"

#include "fetch.hpp"
#include "weights_door.hpp"

#include <kernel/events.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// An agent keeps a question for a chunk for a while and sends one chunk after
// the other; what takes longer has met a silent or squeezed source.
constexpr milliseconds chunk_limit{2500};
constexpr milliseconds question_limit{900};

constexpr milliseconds manifest_limit{800};
// Another agent keeps the question for half a second while it waits for the
// manifest itself; one that does not answer then is gone, and the next is
// asked.
constexpr milliseconds peer_manifest_limit{700};
constexpr milliseconds again_soon{100};
constexpr std::uint32_t most_manifest_doublings = 2;

// The list of the other agents comes within a tenth of a second, if at all.
constexpr milliseconds list_patience{600};
// A list that is older is asked for anew when a version is wanted.
constexpr milliseconds list_memory{2500};

// Drawers of the own failure domain are asked this often before any other.
constexpr std::uint32_t peer_tries = 4;

// The plans with the version's label at every agent: all of them want it.
weights::plan_set labelled(agent_context const& state, std::string const& label)
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

void version_fetch::drive(std::uint64_t version, bool chunks)
{
    auto& held = this->context->versions[version];
    if (!held.manifest)
    {
        this->fetch_manifest(version);
        return;
    }
    if (chunks && !weights::is_complete(held.transfer))
    {
        this->ask_for_chunks(version);
    }
}

std::optional<std::string>
version_fetch::manifest_source(held_version& held, std::uint64_t version) const
{
    auto const& state = *this->context;
    auto const& own = state.settings.ip;
    auto const schedule = draws_of(state, version);
    auto const begun = held.wanted.value_or(clock::now());
    // Failures: all machines lose power, and every agent asks the origin before
    // the list of the others has come; agents listed the others at different
    // times long ago and do not agree on who draws what.
    auto const is_listed = state.fleet_listed_at + list_memory > begun;
    if (!is_listed && clock::now() < begun + list_patience)
    {
        return std::nullopt;
    }
    auto const may_fetch_from_origin =
        weights::may_request_manifest(schedule, own, begun, clock::now());
    auto const found = state.fleet.find(state.settings.failure_domain);
    // The origin and the others take turns where it may be asked at all.
    if (found == state.fleet.end() || schedule.order.size() < 2 ||
        (may_fetch_from_origin && held.manifest_tries % 2 == 0))
    {
        return std::string();
    }
    // The first of the own failure domain has it first, then the other fetchers
    // there, who ask the first; when they are gone, somebody else has it.
    auto const& agents = found->second.endpoints;
    auto const rank = static_cast<std::size_t>(
        std::ranges::find(agents, own, &control::plan_endpoint::agent) -
        agents.begin());
    auto const near = std::clamp<std::size_t>(
        schedule.fetchers / schedule.domains, 1, agents.size());
    auto const among = held.manifest_tries < peer_tries ? near : agents.size();
    auto const first = rank < near ? 0 : rank;
    auto const& chosen = agents[(first + held.manifest_tries) % among];
    if (chosen.agent == own)
    {
        // The turn passes to the next.
        ++held.manifest_tries;
        return std::nullopt;
    }
    return chosen.address;
}

void version_fetch::fetch_manifest(std::uint64_t version)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    if (held.manifest_pending || clock::now() < held.manifest_again)
    {
        return;
    }
    if (!held.wanted)
    {
        held.wanted = clock::now();
    }
    auto const source = this->manifest_source(held, version);
    if (!source)
    {
        return;
    }
    held.manifest_pending = true;
    held.manifest_source = source->empty() ? "origin" : *source;
    auto const from_origin = source->empty();
    auto const address = from_origin ? state.origin : *source;
    auto const request = from_origin
                             ? platform::manifest_request(state.model, version)
                             : peer_manifest_request(state.model, version);
    // Twice as long after each failure: while links between regions are full,
    // what is given up early is asked for again and fills them further.
    auto const doublings =
        std::min(held.manifest_tries / 2, most_manifest_doublings);
    auto const limit =
        from_origin ? manifest_limit * (1U << doublings) : peer_manifest_limit;
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
            self->take_manifest(
                version, response && response->status == 200
                             ? std::optional(std::move(response->body))
                             : std::nullopt);
        });
}

void version_fetch::take_manifest(
    std::uint64_t version, std::optional<std::string> const& body)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    held.manifest_pending = false;
    auto read = body ? platform::read_manifest(*body)
                     : base::fail(base::error_kind::origin_unavailable);
    auto const fits = read.has_value() && read.value().version == version &&
                      read.value().model == state.model;
    if (!fits || held.manifest)
    {
        ++held.manifest_tries;
        held.manifest_again = clock::now() + again_soon;
        return;
    }
    kernel::log_event(
        kernel::event_id::transfer_started,
        {{"version", version},
         {"chunks", read.value().digests.size()},
         {"from", held.manifest_source},
         {"tries", held.manifest_tries}});
    weights::begin(held.transfer, read.value().digests, clock::now());
    held.last_news = clock::now();
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

void version_fetch::tell_waiting(std::uint64_t version)
{
    constexpr milliseconds between{1000};
    constexpr std::size_t most_named = 4;
    auto& held = this->context->versions[version];
    if (clock::now() < held.last_news + between)
    {
        return;
    }
    held.last_news = clock::now();
    auto const& transfer = held.transfer;
    auto missing = nlohmann::json::array();
    auto from = nlohmann::json::array();
    for (std::uint32_t index = 0;
         index < transfer.chunks.size() && missing.size() < most_named; ++index)
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

void version_fetch::ask_for_chunks(std::uint64_t version)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    this->fetch_ready();
    this->tell_waiting(version);
    auto const label = state.model + "@" + std::to_string(version);
    weights::transfer_requester const place{
        state.settings.failure_domain, state.settings.ip, label,
        holders_of(state, version)};
    auto const asks = weights::next_chunk_requests(
        held.transfer, state.sources, labelled(state, label), place,
        draws_of(state, version), weights::transfer_limits{}, clock::now());
    for (auto const& wanted : asks)
    {
        this->ask(version, wanted);
    }
    auto const checks = weights::next_liveness_checks(
        held.transfer, labelled(state, label), place, draws_of(state, version),
        clock::now());
    for (auto const& drawer : checks)
    {
        this->check(version, drawer);
    }
}

void version_fetch::check(
    std::uint64_t version, weights::chunk_source const& drawer)
{
    auto& state = *this->context;
    fetch(
        state.loop, state.pool, drawer.address,
        peer_check_request(state.model, version),
        weights::liveness_check_timeout,
        [self = this->shared_from_this(), version,
         drawer](std::optional<fetched> response)
        {
            auto const lives = response && response->status == 200;
            if (!lives)
            {
                kernel::log_event(
                    kernel::event_id::drawer_silent,
                    {{"version", version},
                     {"drawer", drawer.agent},
                     {"status", response ? response->status : 0}});
            }
            weights::note_liveness_check(
                self->context->versions[version].transfer, drawer.agent, lives);
        });
}

void version_fetch::ask(
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
        peer_chunk_question(state.model, version, wanted.index, wanted.behind),
        question_limit,
        [self = this->shared_from_this(),
         asked](std::optional<fetched> response)
        {
            if (response && response->status == weights_ready)
            {
                self->ready.push_back(asked);
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
            self->lose(asked, response ? response->status : 0);
        });
}

void version_fetch::leave_squeezed(base::time_point now)
{
    for (auto const number : weights::squeezed_fetches(this->line, now))
    {
        auto const found = this->fetches.find(number);
        if (found == this->fetches.end())
        {
            continue;
        }
        auto const slow = found->second;
        this->fetches.erase(found);
        weights::avoid_after_failure(
            this->context->sources, slow.wanted.source.agent, now);
        weights::withdraw(
            this->context->versions[slow.version].transfer,
            this->context->sources, slow.wanted.index);
    }
}

void version_fetch::fetch_ready()
{
    auto const now = clock::now();
    this->leave_squeezed(now);
    while (!this->ready.empty() && weights::may_fetch(this->line, now))
    {
        auto const next = this->ready.front();
        this->ready.pop_front();
        if (this->is_held(next))
        {
            continue;
        }
        this->fetch_chunk(next);
    }
    if (!this->ready.empty() && now < this->line.not_before)
    {
        this->timer.expires_at(this->line.not_before);
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

bool version_fetch::is_held(ready_chunk const& next)
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
    auto const number = from_origin ? 0 : this->begin(next);
    auto const limit = from_origin
                           ? weights::origin_fetch_timeout(
                                 draws_of(state, next.version),
                                 weights::failures_of(state.sources, {}))
                           : chunk_limit;
    fetch(
        state.loop, state.pool, address, request, limit,
        [self = this->shared_from_this(), next,
         number](std::optional<fetched> response)
        {
            weights::end_fetch(self->line, number, clock::now());
            auto const is_wanted =
                number == 0 || self->fetches.erase(number) > 0;
            if (response && response->status == 200)
            {
                self->take_chunk(
                    next.version, next.wanted.index, std::move(response->body));
            }
            else if (is_wanted)
            {
                self->lose(next, response ? response->status : 0);
            }
            self->fetch_ready();
        });
}

std::uint64_t version_fetch::begin(ready_chunk const& next)
{
    auto const number = weights::begin_fetch(
        this->line, next.wanted.source.agent, clock::now());
    this->fetches[number] = next;
    return number;
}

void version_fetch::lose(ready_chunk const& asked, unsigned status)
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

void version_fetch::take_chunk(
    std::uint64_t version, std::uint32_t index, std::string bytes)
{
    auto& state = *this->context;
    auto& held = state.versions[version];
    auto const was_whole = weights::is_complete(held.transfer);
    auto const good = weights::deliver(
        held.transfer, state.sources, index, std::move(bytes), clock::now());
    if (!good)
    {
        kernel::log_event(
            kernel::event_id::chunk_refused,
            {{"version", version}, {"chunk", index}});
    }
    else
    {
        held.last_news = clock::now();
    }
    if (good && !was_whole && weights::is_complete(held.transfer))
    {
        kernel::log_event(
            kernel::event_id::transfer_finished, {{"version", version}});
    }
    this->on_progress();
}

} // namespace foxtailvale::gateway
