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

// Time limit of a call to the engine on the same machine.
constexpr milliseconds engine_timeout{1000};

// The engine's report shows an order only some time after it was accepted.
constexpr milliseconds order_retry_delay{300};

} // namespace

engine_switch::engine_switch(std::shared_ptr<agent_context> shared)
    : context(std::move(shared))
{
}

void engine_switch::reset_staged()
{
    this->staged.clear();
    this->staged_complete_at.reset();
    this->recovered_version = 0;
    this->discard_verification();
    this->order_unanswered = false;
}

void engine_switch::discard_verification()
{
    this->verifying = false;
    this->verification.reset();
}

bool engine_switch::has_unanswered_order() const
{
    auto const& state = *this->context;
    auto const held = state.versions.find(this->staged_version);
    return this->order_unanswered && state.engine &&
           state.engine->engine_start_ms == this->engine_start_ms &&
           serving_version(state) < this->staged_version &&
           held != state.versions.end() && held->second.manifest;
}

bool engine_switch::is_in_use(std::uint64_t version) const
{
    return this->staged_version == version &&
           (this->verification || this->has_unanswered_order());
}

bool engine_switch::has_recovered(std::uint64_t version) const
{
    return this->recovered_version == version && this->context->engine &&
           this->context->engine->engine_start_ms == this->engine_start_ms;
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
        this->advance(this->staged_version);
        return;
    }
    if (state.engine->engine_start_ms != this->engine_start_ms)
    {
        // A restarted engine may have lost its staged chunks.
        this->engine_start_ms = state.engine->engine_start_ms;
        this->reset_staged();
    }
    this->staged_version = version;
    this->staged.clear();
    this->discard_verification();
    this->recovering = true;
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_list_request(state.model), engine_timeout,
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
        this->recovered_version = this->staged_version;
        this->on_step();
        return;
    }
    auto const index = this->to_recover.back();
    this->to_recover.pop_back();
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_request(state.model, index), engine_timeout,
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

void engine_switch::advance(std::uint64_t wanted)
{
    auto& state = *this->context;
    this->settle_order();
    auto const version =
        this->has_unanswered_order() ? this->staged_version : wanted;
    if (!state.engine || state.switching || state.engine->busy ||
        this->recovering || serving_version(state) >= version)
    {
        return;
    }
    if (state.engine->engine_start_ms != this->engine_start_ms ||
        this->staged_version != version)
    {
        this->engine_start_ms = state.engine->engine_start_ms;
        this->reset_staged();
        this->staged_version = version;
    }
    this->log_plan_change(version);
    this->stage_next();
    auto const& held = state.versions[version];
    if (!held.manifest || this->staged.size() < held.manifest->digests.size())
    {
        this->staged_complete_at.reset();
        return;
    }
    if (!this->staged_complete_at)
    {
        this->staged_complete_at = clock::now();
    }
    if (clock::now() >= weights::planned_switch_time(
                            switch_ask_of(state, clock::now()), version))
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
            engine_timeout,
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
        clock::now() < this->next_order_at)
    {
        return;
    }
    this->verifying = true;
    if (!this->verification)
    {
        auto const& digests =
            this->context->versions[this->staged_version].manifest->digests;
        this->verification = std::make_shared<weights::staged_verification>(
            weights::make_verification(digests.size()));
        this->verify_began = clock::now();
        this->outdated_reads_logged = false;
    }
    this->continue_verification();
}

void engine_switch::continue_verification()
{
    auto const now = base::boot_now();
    auto& state = *this->verification;
    if (weights::may_order(state, now))
    {
        this->verifying = false;
        this->order();
        return;
    }
    if (weights::oldest_read(state))
    {
        this->log_outdated_reads("verification");
    }
    while (auto const index = weights::next_to_read(state, now))
    {
        weights::begin_read(state, *index);
        this->read_staged(*index);
    }
}

void engine_switch::read_staged(std::uint32_t index)
{
    auto& state = *this->context;
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        platform::staged_request(state.model, index),
        weights::staged_read_timeout,
        [self = this->shared_from_this(), index, owner = this->verification,
         requested_at = base::boot_now(),
         digest =
             state.versions[this->staged_version].manifest->digests[index]](
            std::optional<fetched> response)
        {
            // An answer for an earlier version, engine or order says nothing
            // about what is staged now.
            if (self->verification != owner)
            {
                return;
            }
            auto end = weights::read_end::unanswered;
            if (response)
            {
                auto const intact = response->status == 200 &&
                                    base::sha256_hex(response->body) == digest;
                end = intact ? weights::read_end::intact
                             : weights::read_end::corrupt;
            }
            self->on_staged_read(index, end, requested_at);
        });
}

void engine_switch::on_staged_read(
    std::uint32_t index, weights::read_end end, base::boot_time requested_at)
{
    weights::note_read(
        *this->verification, index, end, requested_at, base::boot_now());
    if (end == weights::read_end::corrupt)
    {
        this->staged.erase(index);
        this->verifying = false;
        this->context->counters.count("foxtailvale_staged_spoilt_total", {});
        this->on_step();
        return;
    }
    if (end == weights::read_end::unanswered)
    {
        // The next report of the engine continues the verification.
        this->verifying = false;
        return;
    }
    if (this->verifying)
    {
        this->continue_verification();
    }
}

void engine_switch::log_outdated_reads(char const* found_at)
{
    if (std::exchange(this->outdated_reads_logged, true))
    {
        return;
    }
    auto const& state = *this->verification;
    auto const oldest = weights::oldest_read(state);
    this->context->counters.count(
        "foxtailvale_staged_reads_outdated_total", {});
    kernel::log_event(
        kernel::event_id::staged_reads_outdated,
        {{"version", this->staged_version},
         {"ip", this->context->settings.ip},
         {"found_at", found_at},
         {"read_age_ms",
          oldest ? (base::boot_now() - *oldest).count() : milliseconds::rep{}},
         {"uninterrupted", state.uninterrupted}});
}

void engine_switch::order()
{
    auto& state = *this->context;
    auto const version = this->staged_version;
    if (!state.engine || state.engine->engine_start_ms != this->engine_start_ms)
    {
        return;
    }
    this->ordering = true;
    this->order_written = false;
    state.switching = true;
    this->on_order();
    this->plan_at_order = this->plan;
    this->ordered_at = clock::now();
    auto sent = this->order_fields();
    sent["orders"] = state.engine->orders;
    auto const oldest = weights::oldest_read(*this->verification);
    sent["read_age_ms"] = (base::boot_now() - oldest.value()).count();
    if (this->plan_at_order)
    {
        add_steps(
            sent, *this->plan_at_order,
            {state.versions[version].complete_at, this->staged_complete_at,
             this->verify_began},
            this->ordered_at);
    }
    kernel::log_event(kernel::event_id::engine_order_sent, std::move(sent));
    this->send_order();
}

void engine_switch::send_order()
{
    auto& state = *this->context;
    auto const self = this->shared_from_this();
    fetch(
        state.loop, state.pool, state.settings.engine_address,
        [self, verification = this->verification,
         bytes = net::serialize(platform::start_request(
             state.model, this->staged_version, state.engine->orders,
             platform::running_requests::finish))]()
            -> std::optional<std::string>
        {
            if (self->verification != verification)
            {
                return std::nullopt;
            }
            if (!weights::may_order(*verification, base::boot_now()))
            {
                self->log_outdated_reads("write");
                return std::nullopt;
            }
            self->order_written = true;
            self->order_unanswered = true;
            return bytes;
        },
        weights::order_timeout,
        [self](std::optional<fetched> response)
        {
            self->on_order_answered(response);
        });
}

void engine_switch::on_order_answered(std::optional<fetched> const& response)
{
    this->ordering = false;
    auto fields = this->order_fields();
    fields["status"] = response ? response->status : 0;
    fields["written"] = this->order_written;
    if (!this->order_written)
    {
        this->context->switching = false;
        kernel::log_event(
            kernel::event_id::engine_order_failed, std::move(fields));
        return;
    }
    this->discard_verification();
    this->next_order_at = clock::now() + order_retry_delay;
    this->order_unanswered = !response;
    auto const answer = response ? platform::read_order_answer(response->status)
                                 : platform::order_answer::conflict;
    auto const accepted = answer == platform::order_answer::begun ||
                          answer == platform::order_answer::in_effect;
    if (!accepted)
    {
        fields["answer"] = response ? response->body : "";
    }
    kernel::log_event(
        accepted ? kernel::event_id::engine_order_accepted
                 : kernel::event_id::engine_order_failed,
        std::move(fields));
}

void engine_switch::log_plan_change(std::uint64_t version)
{
    auto const& state = *this->context;
    auto const now = clock::now();
    auto const found = state.versions.find(version);
    auto const known = found != state.versions.end() && found->second.manifest;
    this->plan = plan_of(
        switch_ask_of(state, now), version,
        known ? std::optional(
                    found->second.transfer.digests.size() -
                    found->second.transfer.held)
              : std::nullopt);
    if (!this->plan || !should_log_plan(this->last_logged, *this->plan, now))
    {
        return;
    }
    this->last_logged = {this->plan, now};
    auto fields = fields_of(*this->plan);
    add_times(fields, *this->plan, now);
    fields["ip"] = state.settings.ip;
    kernel::log_event(kernel::event_id::switch_planned, std::move(fields));
}

nlohmann::json engine_switch::order_fields() const
{
    auto const now = clock::now();
    nlohmann::json fields{
        {"version", this->staged_version},
        {"from_version",
         this->plan_at_order ? this->plan_at_order->serving : 0},
        {"ip", this->context->settings.ip},
        {"since_order_ms",
         std::chrono::duration_cast<milliseconds>(now - this->ordered_at)
             .count()}};
    if (this->plan_at_order)
    {
        fields["first_newer"] = this->plan_at_order->first;
        add_times(fields, *this->plan_at_order, now);
    }
    return fields;
}

void engine_switch::record_activation()
{
    auto& state = *this->context;
    auto fields = this->order_fields();
    fields["version"] = serving_version(state);
    kernel::log_event(kernel::event_id::weights_activated, std::move(fields));
    auto const now = clock::now();
    state.counters.observe(
        "foxtailvale_switch_ms",
        std::chrono::duration_cast<milliseconds>(now - this->ordered_at));
    if (this->plan_at_order)
    {
        auto const left = this->plan_at_order->announced_at +
                          this->plan_at_order->bound - now;
        state.counters.gauge(
            "foxtailvale_version_switch_left_ms",
            {{"model", state.model},
             {"version", std::to_string(this->plan_at_order->serving)}},
            static_cast<double>(
                std::chrono::duration_cast<milliseconds>(left).count()));
    }
}

void engine_switch::settle_order()
{
    auto& state = *this->context;
    if (!state.switching || this->ordering || !state.engine)
    {
        return;
    }
    // The engine's report tells what became of an order even when its answer
    // was lost: the engine is busy with it, has carried it out, or did neither.
    if (serving_version(state) >= this->staged_version)
    {
        state.switching = false;
        this->record_activation();
        return;
    }
    if (!state.engine->busy && clock::now() >= this->next_order_at)
    {
        state.switching = false;
    }
}

} // namespace foxtailvale::gateway
