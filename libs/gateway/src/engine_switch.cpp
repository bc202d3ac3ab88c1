#include "engine_switch.hpp"

#include "fetch.hpp"

#include <base/digest.hpp>
#include <kernel/events.hpp>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// A call to the engine on the same machine.
constexpr milliseconds local_limit{1000};

// The engine's report shows an order some time after it was accepted.
constexpr milliseconds order_pause{300};

} // namespace

engine_switch::engine_switch(std::shared_ptr<agent_context> shared)
    : context(std::move(shared))
{
}

void engine_switch::forget_staged()
{
    this->staged.clear();
    this->recovered = 0;
    this->verifying = false;
    this->unanswered = false;
}

bool engine_switch::has_unanswered_order() const
{
    auto const& state = *this->context;
    auto const held = state.versions.find(this->staged_version);
    return this->unanswered && state.engine &&
           state.engine->born == this->born &&
           serving_version(state) < this->staged_version &&
           held != state.versions.end() && held->second.manifest;
}

bool engine_switch::has_recovered(std::uint64_t version) const
{
    return this->recovered == version && this->context->engine &&
           this->context->engine->born == this->born;
}

void engine_switch::recover(std::uint64_t version)
{
    auto& state = *this->context;
    if (this->recovering || !state.engine)
    {
        return;
    }
    if (this->has_unanswered_order())
    {
        this->drive(this->staged_version);
        return;
    }
    if (state.engine->born != this->born)
    {
        // A restarted engine may have lost what was staged.
        this->born = state.engine->born;
        this->forget_staged();
    }
    this->staged_version = version;
    this->staged.clear();
    this->recovering = true;
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_list_request(state.model), local_limit,
        [self = this->shared_from_this()](std::optional<fetched> response)
        {
            auto read = response && response->status == 200
                            ? platform::read_staged_list(response->body)
                            : base::fail(base::error_kind::not_found);
            self->to_recover =
                read.has_value() ? read.value() : std::vector<std::uint32_t>{};
            self->recover_next();
        });
}

void engine_switch::recover_next()
{
    auto& state = *this->context;
    if (this->to_recover.empty())
    {
        this->recovering = false;
        this->recovered = this->staged_version;
        this->on_step();
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
            auto& transfer =
                self->context->versions[self->staged_version].transfer;
            if (response && response->status == 200 &&
                weights::offer(transfer, index, response->body))
            {
                self->staged.insert(index);
            }
            self->recover_next();
        });
}

void engine_switch::drive(std::uint64_t wanted)
{
    auto& state = *this->context;
    this->settle();
    auto const version =
        this->has_unanswered_order() ? this->staged_version : wanted;
    if (!state.engine || state.switching || state.engine->busy ||
        this->recovering || serving_version(state) >= version)
    {
        return;
    }
    if (state.engine->born != this->born || this->staged_version != version)
    {
        this->born = state.engine->born;
        this->forget_staged();
        this->staged_version = version;
    }
    this->stage_next();
    auto const& held = state.versions[version];
    if (!held.manifest || this->staged.size() < held.manifest->digests.size())
    {
        return;
    }
    if (clock::now() >=
        weights::switch_turn(switch_ask_of(state, clock::now()), version))
    {
        this->verify();
    }
}

void engine_switch::stage_next()
{
    auto& state = *this->context;
    if (this->staging || this->verifying || this->ordering)
    {
        return;
    }
    auto const version = this->staged_version;
    auto const& chunks = state.versions[version].transfer.chunks;
    for (std::uint32_t index = 0; index < chunks.size(); ++index)
    {
        if (!chunks[index] || this->staged.contains(index))
        {
            continue;
        }
        this->staging = true;
        fetch(
            state.loop, state.pool, state.settings.engine_address,
            platform::stage_request(state.model, index, *chunks[index]),
            local_limit,
            [self = this->shared_from_this(), index,
             version](std::optional<fetched> response)
            {
                self->staging = false;
                if (self->staged_version == version && response &&
                    response->status / 100 == 2)
                {
                    self->staged.insert(index);
                    self->on_step();
                }
            });
        return;
    }
}

void engine_switch::verify()
{
    if (this->verifying || this->ordering || this->staging ||
        clock::now() < this->order_again)
    {
        return;
    }
    this->verifying = true;
    this->verified = 0;
    this->verify_next();
}

void engine_switch::verify_next()
{
    auto& state = *this->context;
    auto const version = this->staged_version;
    auto const& digests = state.versions[version].manifest->digests;
    auto const index = this->verified;
    if (index == digests.size())
    {
        this->verifying = false;
        this->order();
        return;
    }
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_request(state.model, index), local_limit,
        [self = this->shared_from_this(), index, version,
         digest = digests[index]](std::optional<fetched> response)
        {
            if (!self->verifying || self->staged_version != version)
            {
                self->verifying = false;
                return;
            }
            auto const good = response && response->status == 200 &&
                              base::sha256_hex(response->body) == digest;
            if (good)
            {
                ++self->verified;
                self->verify_next();
                return;
            }
            // What lies staged is not what was put there: put it again, and
            // look at all of it again before the order.
            self->staged.erase(index);
            self->verifying = false;
            self->context->counters.count(
                "foxtailvale_staged_spoilt_total", {});
            self->on_step();
        });
}

void engine_switch::order()
{
    auto& state = *this->context;
    auto const version = this->staged_version;
    if (!state.engine || state.engine->born != this->born)
    {
        return;
    }
    this->ordering = true;
    this->unanswered = true;
    state.switching = true;
    this->on_order();
    kernel::log_event(
        kernel::event_id::engine_order_sent,
        {{"version", version}, {"orders", state.engine->orders}});
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::start_request(
            state.model, version, state.engine->orders,
            platform::running_requests::finish),
        local_limit,
        [self = this->shared_from_this(),
         version](std::optional<fetched> response)
        {
            self->ordering = false;
            self->order_again = clock::now() + order_pause;
            self->unanswered = !response;
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

void engine_switch::settle()
{
    auto& state = *this->context;
    if (!state.switching || this->ordering || !state.engine)
    {
        return;
    }
    // The engine says what became of the order, also of one whose answer was
    // lost: it is busy with it, it has carried it out, or neither.
    if (serving_version(state) >= this->staged_version)
    {
        state.switching = false;
        kernel::log_event(
            kernel::event_id::weights_activated,
            {{"version", serving_version(state)}});
        return;
    }
    if (!state.engine->busy && clock::now() >= this->order_again)
    {
        state.switching = false;
    }
}

} // namespace foxtailvale::gateway
