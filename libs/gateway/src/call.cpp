#include "call.hpp"

#include <base/digest.hpp>
#include <direct/attempt_limit.hpp>
#include <kernel/events.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;
using routing::repetition;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Taken off the time that a withdrawn key may be used: a watch may hear nothing
// for a second while the platform drops its history.
constexpr milliseconds stale_margin{1100};

// Callers that name no time and routes without one.
constexpr milliseconds longest_time{60000};

std::string owner_name(routing::permission const& allowed)
{
    return allowed.owner != nullptr ? allowed.owner->name : "";
}

} // namespace

call::call(
    std::shared_ptr<entry_context> shared,
    std::shared_ptr<net::server_session> caller,
    net::request received)
    : context(std::move(shared)), session(std::move(caller)),
      request(std::move(received)),
      said(platform::read_caller_request(this->request)),
      configuration(this->context->configuration),
      looked_at(this->configuration), timer(this->context->loop),
      arrived(clock::now() - this->session->time_since_last_byte())
{
}

void call::start()
{
    this->session->on_client_disconnected(
        [self = this->shared_from_this()]
        {
            self->on_caller_gone();
        });
    if (!this->admit())
    {
        return;
    }
    auto& window = this->context->repeats[this->service_name];
    direct::note_request(window, this->arrived);
    // What cannot be on time any more does not go before what can.
    auto const stands_back = this->returned && this->has_line();
    if (!stands_back && this->place(true))
    {
        return;
    }
    this->wait();
}

bool call::has_line() const
{
    auto const found = this->context->waiting.find(this->service_name);
    return found != this->context->waiting.end() && !found->second.empty();
}

bool call::has_returned(milliseconds goal) const
{
    auto const refused = request::refused_at(
        this->context->refusals, this->print, this->arrived);
    return refused && this->arrived - *refused > goal;
}

bool call::is_still_allowed()
{
    auto const newest = this->context->configuration;
    if (newest == this->looked_at)
    {
        return true;
    }
    // The view's age counts for a key at the request's arrival only.
    auto const permitted = routing::permit(
        newest.get(), {this->said.host, this->request.target, this->said.key},
        {});
    if (permitted.has_error() ||
        owner_name(permitted.value()) != owner_name(this->allowed))
    {
        return false;
    }
    this->allowed.regions = permitted.value().regions;
    this->looked_at = newest;
    return true;
}

bool call::admit()
{
    this->print = base::stable_hash(
        this->request.target + '\n' + this->said.key + '\n' +
        this->request.body);
    auto const age = this->context->confirmed
                         ? base::boot_now() - *this->context->confirmed
                         : milliseconds::max();
    if (this->context->confirmed)
    {
        this->context->counters.observe("foxtailvale_view_age_ms", age);
    }
    routing::view_limits limits;
    auto const bound = this->context->settings.promised.key_revocation;
    limits.for_keys = bound - stale_margin;
    limits.for_denials = limits.for_keys;
    auto const permitted = routing::permit(
        this->configuration.get(),
        {this->said.host, this->request.target, this->said.key, age}, limits);
    if (permitted.has_error())
    {
        this->refuse(permitted.error().kind, "admission");
        return false;
    }
    this->allowed = permitted.value();
    auto const& chosen = *this->allowed.chosen;
    this->service_name = routing::choose_service(chosen, this->said.attempt);
    auto const found = this->configuration->services.find(this->service_name);
    if (found == this->configuration->services.end())
    {
        this->refuse(error_kind::no_endpoint, "service is not configured");
        return false;
    }
    this->service = &found->second;
    if (request::is_suspect(this->context->suspects, this->print))
    {
        this->refuse(error_kind::suspect_request, "crashed endpoints");
        return false;
    }
    this->last_event = this->said.last_event;
    auto time = this->said.patience.value_or(longest_time);
    if (chosen.timeout.count() > 0)
    {
        time = std::min(time, chosen.timeout);
    }
    this->deadline = this->arrived + time;
    if (clock::now() >= this->deadline)
    {
        this->refuse(error_kind::deadline_unreachable, "lay unread");
        return false;
    }
    auto const goal = chosen.goal.count() > 0 ? chosen.goal : time;
    this->returned = this->has_returned(goal);
    auto const& first_answer = this->context->first_answer[this->service_name];
    this->wait_until = this->arrived + direct::max_wait(goal, first_answer);
    this->wait_until = std::min(this->wait_until, this->deadline);
    return true;
}

direct::placement_query call::placement() const
{
    auto const& bounds = this->context->settings.promised;
    direct::placement_query ask;
    ask.service = this->service_name;
    ask.model = this->service->engine ? this->said.model : std::string();
    ask.own_domain = this->context->settings.failure_domain;
    ask.regions = this->allowed.regions;
    ask.tried = this->tried;
    ask.cold.per_second = this->service->cold_per_second * bounds.cold_factor;
    ask.cold.tolerance = bounds.cold_tolerance;
    ask.entries = direct::sharers(this->context->entries);
    if (this->returned && this->service->engine)
    {
        ask.depth = direct::depth_for_expired_goal(this->service->engine->slots);
    }
    ask.all_entries = &this->context->entry_addresses;
    ask.own_entry = this->context->settings.ip;
    ask.parts = &this->context->parts;
    ask.newcomer = direct::is_newcomer(this->context->entries, clock::now());
    if (ask.newcomer)
    {
        ask.assumed_entries = direct::assumed_entries(
            this->context->entries,
            direct::count_of(this->context->book, this->service_name));
    }
    // One answer comes from one version's weights.
    ask.version = this->answer_begun ? this->version : 0;
    if (this->service->engine)
    {
        ask.expected = direct::expected_time(
            *this->service->engine, this->said.prompt_tokens,
            this->said.expected_tokens);
    }
    return ask;
}

bool call::place(bool may_wait)
{
    if (!this->is_still_allowed())
    {
        // Not denied for good: it was allowed when the caller sent it.
        this->fail(
            this->ran_so_far == ran_state::no
                ? error_kind::stale_configuration
                : direct::final_error(this->ran_so_far, false),
            "no longer allowed");
        return true;
    }
    auto const ask = this->placement();
    auto const now = clock::now();
    auto const chosen =
        direct::choose(this->context->book, ask, now, this->context->random);
    if (chosen.chosen != nullptr)
    {
        this->send(chosen);
        return true;
    }
    if (may_wait && chosen.why != direct::no_endpoint_reason::none_listed)
    {
        return false;
    }
    this->fail(
        direct::final_error(this->ran_so_far, false),
        chosen.why == direct::no_endpoint_reason::none_listed ? "no endpoint is listed"
        : chosen.why == direct::no_endpoint_reason::no_weights
            ? "no endpoint has the weights"
            : "all endpoints are busy");
    return true;
}

void call::wait()
{
    this->place_in_line = {
        this->allowed.priority, this->returned, this->wait_until,
        ++this->context->arrivals};
    this->context->waiting[this->service_name][this->place_in_line] =
        this->shared_from_this();
    this->in_line = true;
    this->set_timer();
}

void call::leave_line()
{
    if (!this->in_line)
    {
        return;
    }
    this->in_line = false;
    this->context->waiting[this->service_name].erase(this->place_in_line);
}

bool call::try_waiting()
{
    auto const keep = this->shared_from_this();
    // After a pause of the process the room that others left is seen before
    // this request's timer.
    if (clock::now() >= this->wait_until)
    {
        this->end_waiting();
        return true;
    }
    return this->place(true);
}

void call::end_waiting()
{
    this->leave_line();
    this->fail(
        direct::final_error(this->ran_so_far, clock::now() >= this->deadline),
        "waited for room");
}

milliseconds call::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->deadline - clock::now());
}

void call::set_timer()
{
    auto next = this->deadline;
    if (this->in_line)
    {
        next = std::min(next, this->wait_until);
    }
    if (this->current)
    {
        // An endpoint may be lost at any moment, which brings the limit
        // forward; it is looked at anew this often.
        constexpr milliseconds look_again{150};
        if (auto const limit = this->attempt_limit())
        {
            next = std::min(next, std::min(*limit, clock::now() + look_again));
        }
        if (this->service->engine && !this->current->facts.head_seen)
        {
            // A version may be named meanwhile, which ends the one in use.
            constexpr milliseconds look_for_versions{1000};
            next = std::min(next, clock::now() + look_for_versions);
        }
        if (auto const limit = this->beginning_limit())
        {
            next = std::min(next, *limit);
        }
    }
    this->timer.expires_at(next);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->done)
            {
                self->on_timer();
            }
        });
}

void call::on_timer()
{
    auto const now = clock::now();
    if (this->in_line && now >= this->wait_until)
    {
        this->end_waiting();
        return;
    }
    if (!this->current)
    {
        this->set_timer();
        return;
    }
    auto const connected = this->current->is_handed_on;
    if (now >= this->deadline)
    {
        auto const ran = connected ? ran_state::unknown : ran_state::no;
        // Silence up to the deadline tells against the endpoint; events that
        // still came do not.
        auto const silent = now - this->current->last_byte > direct::stall_time;
        this->end_attempt(
            silent ? direct::request_outcome::faulty : direct::request_outcome::cancelled);
        this->after_failure(ran, "time is up");
        return;
    }
    auto const limit = this->attempt_limit();
    if (limit && now >= *limit)
    {
        auto const ran = connected ? ran_state::unknown : ran_state::no;
        this->end_attempt(
            connected ? direct::request_outcome::faulty
                      : direct::request_outcome::not_connected);
        this->after_failure(ran, "endpoint is silent");
        return;
    }
    auto const begins_by = this->beginning_limit();
    if (begins_by && now >= *begins_by)
    {
        this->end_attempt(direct::request_outcome::cancelled);
        this->after_failure(
            connected ? ran_state::unknown : ran_state::no,
            "version ended before it began");
        return;
    }
    this->set_timer();
}

bool call::endpoint_is_lost() const
{
    auto const& known = this->context->book.endpoints;
    auto const found = known.find(this->current->endpoint);
    return found == known.end() || direct::is_lost(found->second, clock::now());
}

std::optional<base::time_point> call::attempt_limit() const
{
    auto const& now_running = *this->current;
    auto const& chosen = *this->allowed.chosen;
    if (!now_running.connection->is_open())
    {
        return now_running.begun + connect_limit;
    }
    return direct::attempt_deadline(
        {.repeats = chosen.repeats,
         .streams = chosen.streams,
         .goal = chosen.goal,
         .gap_goal = chosen.gap_goal,
         .runs = this->runs,
         .most_attempts = chosen.most_attempts,
         .events = now_running.events_sent,
         .begun = now_running.begun,
         .last_byte = now_running.last_byte,
         .caller_heard = this->last_passed.value_or(this->arrived),
         .lost = this->endpoint_is_lost()});
}

std::optional<base::time_point> call::beginning_limit() const
{
    if (!this->service->engine || this->current->facts.head_seen)
    {
        return std::nullopt;
    }
    return direct::must_begin_by(
        this->context->book, this->said.model, this->version,
        this->current->endpoint_deadline);
}

void call::on_caller_gone()
{
    auto const keep = this->shared_from_this();
    if (this->done)
    {
        return;
    }
    this->leave_line();
    if (this->current)
    {
        this->end_attempt(direct::request_outcome::cancelled);
    }
    this->context->counters.count_error(error_kind::caller_gone);
    this->log(
        kernel::event_id::request_left, error_kind::caller_gone, "caller left");
    this->done = true;
    this->timer.cancel();
}

void call::finish()
{
    this->done = true;
    this->timer.cancel();
    this->session->on_client_disconnected({});
}

} // namespace foxtailvale::gateway
