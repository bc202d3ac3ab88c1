#include "rollout.hpp"

#include "fetch.hpp"
#include "weights_door.hpp"

#include <base/digest.hpp>
#include <kernel/events.hpp>
#include <weights/switch_time.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// A call to the engine on the same machine.
constexpr milliseconds local_limit{1000};
// A chunk of 32 KiB over a link of 7.6 Mbit/s that six of them share takes a
// fifth of a second; what takes this long has met a silent or squeezed source.
constexpr milliseconds chunk_limit{1500};
constexpr milliseconds manifest_limit{1000};
constexpr milliseconds again_soon{150};
constexpr milliseconds order_pause{300};

std::string label_of(agent_context const& state, std::uint64_t version)
{
    return state.model + "@" + std::to_string(version);
}

// Plans in the form that the forest of chunks is computed from: every agent of
// the service wants the version.
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

rollout::rollout(std::shared_ptr<agent_context> shared)
    : context(std::move(shared))
{
}

bool rollout::engine_is_current() const
{
    auto const& state = *this->context;
    return state.engine && state.engine->load.weights.whole &&
           state.engine->load.weights.version >= newest_version(state);
}

void rollout::drive()
{
    auto& state = *this->context;
    if (state.model.empty() || !state.engine)
    {
        return;
    }
    this->settle();
    auto const wanted = newest_version(state);
    if (!state.manifest || state.manifest->version != wanted)
    {
        this->fetch_manifest();
        return;
    }
    if (state.engine->born != this->staged_born)
    {
        // A restarted engine may have lost what was staged.
        this->staged_born = state.engine->born;
        this->staged.clear();
        this->recovered = false;
    }
    if (!this->recovered)
    {
        this->recover_staged();
        return;
    }
    if (this->engine_is_current())
    {
        return;
    }
    this->ask_for_chunks();
    this->stage_next();
    if (this->staged.size() == state.manifest->digests.size() && this->is_due())
    {
        this->verify();
    }
}

bool rollout::is_importer() const
{
    auto const& state = *this->context;
    auto const found = state.fleet.find(state.settings.failure_domain);
    if (found == state.fleet.end() || found->second.endpoints.empty())
    {
        return true;
    }
    auto const& agents = found->second.endpoints;
    auto const place = newest_version(state) % agents.size();
    return agents[place].agent == state.settings.ip;
}

void rollout::fetch_manifest()
{
    auto& state = *this->context;
    if (this->manifest_pending || clock::now() < this->manifest_again)
    {
        return;
    }
    this->manifest_pending = true;
    // One agent of a failure domain asks the origin; the others ask it, and
    // the origin when that did not help.
    constexpr std::uint32_t peer_tries = 4;
    auto const found = state.fleet.find(state.settings.failure_domain);
    if (this->is_importer() || found == state.fleet.end() ||
        this->manifest_tries >= peer_tries)
    {
        this->ask_origin_for_manifest();
        return;
    }
    auto const& agents = found->second.endpoints;
    auto const place =
        (newest_version(state) + this->manifest_tries / 2) % agents.size();
    fetch(
        state.loop, state.pool, agents[place].address,
        peer_manifest_request(state.model, newest_version(state)),
        manifest_limit,
        [self = this->shared_from_this()](std::optional<fetched> response)
        {
            self->manifest_pending = false;
            ++self->manifest_tries;
            auto read = response && response->status == 200
                            ? platform::read_manifest(response->body)
                            : base::fail(base::error_kind::not_found);
            if (read.has_value())
            {
                self->take_manifest(std::move(read.value()));
                return;
            }
            self->manifest_again = clock::now() + again_soon;
        });
}

void rollout::ask_origin_for_manifest()
{
    auto& state = *this->context;
    fetch(
        state.loop, state.pool, state.origin,
        platform::manifest_request(state.model, newest_version(state)),
        manifest_limit,
        [self = this->shared_from_this()](std::optional<fetched> response)
        {
            self->manifest_pending = false;
            auto read = response && response->status == 200
                            ? platform::read_manifest(response->body)
                            : base::fail(base::error_kind::origin_unavailable);
            if (read.has_value())
            {
                self->take_manifest(std::move(read.value()));
                return;
            }
            // Others may have got it meanwhile.
            self->manifest_tries = 0;
            self->manifest_again = clock::now() + 2 * again_soon;
            kernel::log_error(
                read.error(), {{"status", response ? response->status : 0}});
        });
}

void rollout::take_manifest(platform::version_manifest manifest)
{
    auto& state = *this->context;
    if (manifest.version != newest_version(state) ||
        manifest.model != state.model)
    {
        this->manifest_again = clock::now() + again_soon;
        return;
    }
    kernel::log_event(
        kernel::event_id::transfer_started,
        {{"version", manifest.version}, {"chunks", manifest.digests.size()}});
    weights::begin(state.transfer, manifest.digests);
    state.manifest = std::move(manifest);
    this->manifest_tries = 0;
    this->recovered = false;
    this->staged.clear();
    this->verifying = false;
    this->drive();
}

void rollout::recover_staged()
{
    auto& state = *this->context;
    if (this->recovering)
    {
        return;
    }
    // While the engine serves an older version, what lies staged is that one.
    auto const& weights = state.engine->load.weights;
    if (weights.whole && weights.version != state.manifest->version)
    {
        this->recovered = true;
        this->drive();
        return;
    }
    this->recovering = true;
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_list_request(state.model), local_limit,
        [self = this->shared_from_this()](std::optional<fetched> response)
        {
            auto const read = response && response->status == 200
                                  ? platform::read_staged_list(response->body)
                                  : base::fail(base::error_kind::not_found);
            self->to_recover =
                read.has_value() ? read.value() : std::vector<std::uint32_t>{};
            self->recover_next();
        });
}

void rollout::recover_next()
{
    auto& state = *this->context;
    if (this->to_recover.empty())
    {
        this->recovering = false;
        this->recovered = true;
        this->drive();
        return;
    }
    auto const index = this->to_recover.back();
    this->to_recover.pop_back();
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_request(state.model, index), local_limit,
        [self = this->shared_from_this(),
         index](std::optional<fetched> response)
        {
            if (response && response->status == 200 &&
                weights::offer(self->context->transfer, index, response->body))
            {
                self->staged.insert(index);
            }
            self->recover_next();
        });
}

void rollout::ask_for_chunks()
{
    auto& state = *this->context;
    if (weights::is_whole(state.transfer))
    {
        return;
    }
    auto const label = label_of(state, state.manifest->version);
    weights::transfer_place const place{
        state.settings.failure_domain, state.settings.ip, label};
    auto const asks = weights::next_asks(
        state.transfer, state.sources, labelled(state, label), place, {},
        clock::now());
    for (auto const& wanted : asks)
    {
        this->ask(wanted);
    }
}

void rollout::ask(weights::chunk_ask const& wanted)
{
    auto& state = *this->context;
    auto const version = state.manifest->version;
    auto const from_origin = wanted.source.agent.empty();
    auto const address = from_origin ? state.origin : wanted.source.address;
    auto const request =
        from_origin
            ? platform::chunk_request(state.model, version, wanted.index)
            : peer_chunk_request(state.model, version, wanted.index);
    fetch(
        state.loop, state.pool, address, request, chunk_limit,
        [self = this->shared_from_this(), version, from_origin,
         index = wanted.index](std::optional<fetched> response)
        {
            auto& held = *self->context;
            if (!held.manifest || held.manifest->version != version)
            {
                return;
            }
            auto const now = clock::now();
            if (response && response->status == 200)
            {
                auto const good = weights::deliver(
                    held.transfer, held.sources, index,
                    std::move(response->body), now);
                if (!good)
                {
                    kernel::log_event(
                        kernel::event_id::chunk_refused,
                        {{"chunk", index}, {"origin", from_origin}});
                }
                else if (weights::is_whole(held.transfer))
                {
                    kernel::log_event(
                        kernel::event_id::transfer_finished,
                        {{"version", version}});
                }
                self->on_chunk();
                self->drive();
                return;
            }
            auto why = weights::chunk_loss::failed;
            if (response && !from_origin)
            {
                why = response->status == weights_not_yet
                          ? weights::chunk_loss::not_yet
                          : weights::chunk_loss::missing;
            }
            weights::lose(held.transfer, held.sources, index, why, now);
        });
}

void rollout::stage_next()
{
    auto& state = *this->context;
    if (this->staging || this->verifying || this->ordering)
    {
        return;
    }
    auto const& chunks = state.transfer.chunks;
    for (std::uint32_t index = 0; index < chunks.size(); ++index)
    {
        if (!chunks[index] || this->staged.contains(index))
        {
            continue;
        }
        this->staging = true;
        auto const version = state.manifest->version;
        fetch(
            state.loop, state.pool, state.settings.engine_address,
            platform::stage_request(state.model, index, *chunks[index]),
            local_limit,
            [self = this->shared_from_this(), index,
             version](std::optional<fetched> response)
            {
                self->staging = false;
                auto const& held = self->context->manifest;
                if (held && held->version == version && response &&
                    response->status / 100 == 2)
                {
                    self->staged.insert(index);
                    self->drive();
                }
            });
        return;
    }
}

bool rollout::is_due() const
{
    auto const& state = *this->context;
    auto const& serving = state.engine->load.weights;
    auto const now = clock::now();
    if (!serving.whole || state.targets.empty())
    {
        return true;
    }
    auto const bound = state.settings.promised.version;
    weights::switch_place place;
    place.serves = true;
    auto const found = state.fleet.find(state.settings.failure_domain);
    if (found != state.fleet.end())
    {
        auto const& agents = found->second.endpoints;
        auto const own = std::ranges::find(
            agents, state.settings.ip, &control::plan_endpoint::agent);
        place.rank = static_cast<std::size_t>(own - agents.begin());
    }
    auto due = weights::switch_time(place, state.targets.back().named, bound);
    // A version named before, and not reached yet, binds sooner.
    for (auto const& target : state.targets)
    {
        if (target.version > serving.version)
        {
            due = std::min(
                due, weights::switch_time({2, true}, target.named, bound));
        }
    }
    return now >= due;
}

void rollout::verify()
{
    if (this->verifying || this->ordering || this->staging ||
        this->context->engine->busy || clock::now() < this->order_again)
    {
        return;
    }
    this->verifying = true;
    this->verified = 0;
    this->verify_next();
}

void rollout::verify_next()
{
    auto& state = *this->context;
    if (!this->verifying)
    {
        return;
    }
    auto const index = this->verified;
    if (index == state.manifest->digests.size())
    {
        this->verifying = false;
        this->order();
        return;
    }
    auto const version = state.manifest->version;
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_request(state.model, index), local_limit,
        [self = this->shared_from_this(), index,
         version](std::optional<fetched> response)
        {
            auto const& held = self->context->manifest;
            if (!self->verifying || !held || held->version != version)
            {
                self->verifying = false;
                return;
            }
            auto const good =
                response && response->status == 200 &&
                base::sha256_hex(response->body) == held->digests[index];
            if (!good)
            {
                // What lies staged is not what was put there: put it again.
                self->staged.erase(index);
                self->verifying = false;
                self->context->counters.count(
                    "foxtailvale_staged_spoilt_total", {});
                self->drive();
                return;
            }
            ++self->verified;
            self->verify_next();
        });
}

void rollout::order()
{
    auto& state = *this->context;
    auto const version = state.manifest->version;
    if (!state.engine || version != newest_version(state))
    {
        return;
    }
    this->ordering = true;
    state.switching = true;
    this->on_order();
    kernel::log_event(
        kernel::event_id::engine_order_sent,
        {{"version", version}, {"orders", state.engine->orders}});
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::start_request(state.model, version, state.engine->orders),
        local_limit,
        [self = this->shared_from_this(),
         version](std::optional<fetched> response)
        {
            self->ordering = false;
            self->order_again = clock::now() + order_pause;
            auto const answer =
                response ? platform::read_order_answer(response->status)
                         : platform::order_answer::conflict;
            if (answer != platform::order_answer::begun &&
                answer != platform::order_answer::in_effect)
            {
                kernel::log_event(
                    kernel::event_id::engine_order_failed,
                    {{"version", version},
                     {"status", response ? response->status : 0},
                     {"answer", response ? response->body : ""}});
            }
        });
}

void rollout::settle()
{
    auto& state = *this->context;
    if (!state.switching || this->ordering)
    {
        return;
    }
    // The engine says what became of the order, also of one whose answer was
    // lost: it is busy with it, it has carried it out, or neither.
    if (this->engine_is_current())
    {
        state.switching = false;
        kernel::log_event(
            kernel::event_id::weights_activated,
            {{"version", state.engine->load.weights.version}});
        return;
    }
    if (!state.engine->busy && clock::now() >= this->order_again)
    {
        state.switching = false;
    }
}

} // namespace foxtailvale::gateway
