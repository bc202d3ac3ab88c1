#include "call.hpp"

#include <base/digest.hpp>
#include <gateway/crash_records.hpp>
#include <kernel/events.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Subtracted from the time for which a withdrawn key may be used: a watch may
// receive nothing for a second while the platform discards its history.
constexpr milliseconds staleness_margin{1100};

// For requests whose caller and route set no time limit.
constexpr milliseconds default_timeout{60000};

constexpr char const* suspect_reason = "request crashed endpoints";

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
      parsed(platform::read_caller_request(this->request)),
      configuration(this->context->configuration),
      checked_configuration(this->configuration), timer(this->context->loop),
      arrived(clock::now() - this->session->time_since_last_byte())
{
}

call::~call()
{
    this->context->open_calls.erase(this);
}

void call::start()
{
    this->context->open_calls.insert(this);
    this->session->name_request(this->parsed.attempt);
    this->session->on_client_disconnected(
        [self = this->shared_from_this()]
        {
            self->on_caller_gone();
        });
    if (!this->admit())
    {
        return;
    }
    direct::note_request(
        budget_of(*this->context, this->service_name), this->arrived,
        clock::now());
    this->context->counters.count(
        "foxtailvale_retry_budget_requests_total",
        {{"service", this->service_name}});
    if (this->ranked && !this->admit_ranked())
    {
        return;
    }
    // A request that can no longer meet its goal does not overtake queued ones
    // that can.
    auto const yields_to_queue =
        this->ranked ? this->yields_to_ranked()
                     : this->yields_to_new_requests() && this->has_queue();
    if (!yields_to_queue && this->place(true))
    {
        return;
    }
    this->wait();
}

bool call::has_queue() const
{
    auto const found = this->context->waiting.find(this->service_name);
    return found != this->context->waiting.end() && !found->second.empty();
}

bool call::has_goal_expired(milliseconds goal) const
{
    auto const refused = request::refused_at(
        this->context->refusals, this->prints.whole, this->arrived);
    return refused && this->arrived - *refused > goal;
}

bool call::is_suspect() const
{
    return request::is_suspect(this->context->suspects, this->prints) &&
           (!this->is_probe || this->sends > 0);
}

void call::probe_if_due()
{
    auto& suspects = this->context->suspects;
    if (!request::is_suspect(suspects, this->prints) ||
        !request::may_probe(
            suspects, this->prints, this->context->settings.ip,
            this->context->entry_addresses, this->arrived))
    {
        return;
    }
    request::note_probe(suspects, this->prints, this->arrived);
    this->is_probe = true;
    kernel::log_event(
        kernel::event_id::suspect_probed,
        {{"request", this->parsed.attempt},
         {"parts", part_names(this->prints.parts)}});
}

bool call::is_still_allowed()
{
    auto const newest = this->context->configuration;
    if (newest == this->checked_configuration)
    {
        return true;
    }
    // The age of the view matters for a key only when the request arrives.
    auto const permitted = routing::permit(
        newest.get(),
        {this->parsed.host, this->request.target, this->parsed.key}, {});
    if (permitted.has_error() ||
        owner_name(permitted.value()) != owner_name(this->allowed))
    {
        return false;
    }
    auto const& route = *permitted.value().chosen;
    this->allowed.regions = permitted.value().regions;
    this->repeats = direct::stricter(this->repeats, route.repeats);
    this->most_attempts = std::min(this->most_attempts, route.most_attempts);
    this->checked_configuration = newest;
    return true;
}

void call::fail_as_forbidden()
{
    // Not refused as forbidden: the request was allowed when the caller sent
    // it.
    this->fail(
        this->ran_so_far == ran_state::no
            ? error_kind::stale_configuration
            : direct::final_error(this->ran_so_far, false),
        "request is no longer allowed");
}

bool call::admit()
{
    this->prints.whole = base::stable_hash(
        this->request.target + '\n' + this->parsed.key + '\n' +
        this->request.body);
    this->prints.parts = this->parsed.prompt_parts;
    auto const age = this->context->confirmed
                         ? base::boot_now() - *this->context->confirmed
                         : milliseconds::max();
    if (this->context->confirmed)
    {
        this->context->counters.observe("foxtailvale_view_age_ms", age);
    }
    routing::view_limits limits;
    auto const bound = this->context->settings.promised.key_revocation;
    limits.max_age_for_keys = bound - staleness_margin;
    limits.max_age_for_denials = limits.max_age_for_keys;
    auto const permitted = routing::permit(
        this->configuration.get(),
        {this->parsed.host, this->request.target, this->parsed.key, age},
        limits);
    if (permitted.has_error())
    {
        this->refuse(permitted.error().kind, "admission");
        return false;
    }
    if (this->parsed.attempt.empty())
    {
        // Endpoints refuse it, and no answer could be told to be its own.
        this->refuse(error_kind::malformed_request, "request has no id");
        return false;
    }
    this->allowed = permitted.value();
    auto const& chosen = *this->allowed.chosen;
    this->repeats = chosen.repeats;
    this->most_attempts = chosen.most_attempts;
    this->service_name = routing::choose_service(chosen, this->parsed.attempt);
    auto const found = this->configuration->services.find(this->service_name);
    if (found == this->configuration->services.end())
    {
        this->refuse(error_kind::no_endpoint, "service is not configured");
        return false;
    }
    this->service = &found->second;
    this->last_event = this->parsed.last_event;
    auto time = this->parsed.patience.value_or(default_timeout);
    if (chosen.timeout.count() > 0)
    {
        time = std::min(time, chosen.timeout);
    }
    this->deadline = this->arrived + time;
    if (clock::now() >= this->deadline)
    {
        this->refuse(
            error_kind::deadline_unreachable,
            "deadline passed before the request was read");
        return false;
    }
    if (this->is_too_late())
    {
        this->fail_for_stop();
        return false;
    }
    this->probe_if_due();
    if (this->is_suspect())
    {
        this->refuse(error_kind::suspect_request, suspect_reason);
        return false;
    }
    auto goal = chosen.goal.count() > 0 ? chosen.goal : time;
    this->goal_expired = this->has_goal_expired(goal);
    this->begin_ranked();
    if (this->ranked)
    {
        goal = std::min(
            goal, routing::shortest_goal(
                      *this->configuration, this->service_name,
                      this->allowed.priority)
                      .value_or(goal));
    }
    auto const& time_to_first_event =
        this->context->time_to_first_event[this->service_name];
    this->wait_until =
        this->arrived + direct::max_wait(goal, time_to_first_event);
    this->wait_until = std::min(this->wait_until, this->deadline);
    this->claim_return();
    return true;
}

direct::placement_query call::placement() const
{
    auto ask = query_for(*this->context, this->service_name, *this->service);
    ask.model = this->service->engine ? this->parsed.model : std::string();
    ask.regions = this->allowed.regions;
    ask.tried = this->tried;
    if (this->yields_to_new_requests() && this->service->engine)
    {
        ask.depth =
            direct::depth_for_expired_goal(this->service->engine->slots);
    }
    ask.parts = &this->context->parts;
    ask.limit_parts = &this->context->limit_parts;
    ask.newcomer = direct::is_newcomer(this->context->entries, clock::now());
    if (ask.newcomer)
    {
        ask.assumed_entries = direct::assumed_entries(
            this->context->entries,
            direct::count_of(this->context->book, this->service_name));
    }
    // One answer comes from the weights of a single version.
    ask.version = this->answer_begun ? this->version : 0;
    if (this->service->engine)
    {
        ask.expected = direct::expected_time(
            *this->service->engine, this->parsed.prompt_tokens,
            this->parsed.expected_tokens);
    }
    return ask;
}

bool call::place(bool may_wait)
{
    if (!this->is_still_allowed())
    {
        this->fail_as_forbidden();
        return true;
    }
    if (this->is_suspect())
    {
        this->fail(
            this->ran_so_far == ran_state::no
                ? error_kind::suspect_request
                : direct::final_error(this->ran_so_far, false),
            suspect_reason);
        return true;
    }
    if (this->is_too_late())
    {
        this->fail_for_stop();
        return true;
    }
    auto const ask = this->placement();
    auto const now = clock::now();
    auto const chosen =
        direct::choose(this->context->book, ask, now, this->context->random);
    this->room_at = chosen.room_at;
    if (chosen.chosen != nullptr)
    {
        this->send(chosen);
        return true;
    }
    auto const is_limited = this->room_at && *this->room_at > this->wait_until;
    if (may_wait && !is_limited &&
        chosen.why != direct::no_endpoint_reason::none_listed)
    {
        return false;
    }
    this->fail(
        direct::final_error(this->ran_so_far, false),
        chosen.why == direct::no_endpoint_reason::none_listed
            ? "no endpoint is listed"
        : chosen.why == direct::no_endpoint_reason::no_weights
            ? "no endpoint has the weights"
        : is_limited ? chosen.is_rest ? "all endpoints ask for rest"
                                      : "all endpoints are at their rate limits"
                     : "all endpoints are busy");
    return true;
}

void call::wait()
{
    if (this->ranked)
    {
        this->wait_ranked();
        return;
    }
    this->position_in_queue = {
        this->allowed.priority, this->goal_expired, this->wait_until,
        ++this->context->arrivals};
    this->context->waiting[this->service_name][this->position_in_queue] =
        this->shared_from_this();
    this->is_queued = true;
    this->set_timer();
}

void call::leave_queue()
{
    if (!this->is_queued)
    {
        return;
    }
    this->is_queued = false;
    if (this->ranked)
    {
        this->leave_ranked();
        return;
    }
    this->context->waiting[this->service_name].erase(this->position_in_queue);
}

bool call::try_waiting()
{
    auto const keep = this->shared_from_this();
    // After a pause of the process, freed capacity may be handled before this
    // request's timer.
    if (clock::now() >= this->wait_until)
    {
        this->end_wait();
        return true;
    }
    return this->place(true);
}

void call::end_wait()
{
    this->leave_queue();
    this->fail(
        direct::final_error(this->ran_so_far, clock::now() >= this->deadline),
        "waited for room");
}

void call::on_caller_gone()
{
    auto const keep = this->shared_from_this();
    if (this->done)
    {
        return;
    }
    this->leave_queue();
    if (this->state() != call_state::waiting)
    {
        this->note_answer_time();
    }
    this->end_silent(direct::request_outcome::cancelled);
    if (this->current)
    {
        this->end_attempt(direct::request_outcome::cancelled);
    }
    this->context->counters.count_error(error_kind::caller_gone);
    this->log(
        kernel::event_id::request_left, error_kind::caller_gone, "caller left");
    this->return_unused_retry();
    this->done = true;
    this->context->open_calls.erase(this);
    this->timer.cancel();
}

void call::finish()
{
    this->done = true;
    this->context->open_calls.erase(this);
    this->return_unused_retry();
    this->end_silent(direct::request_outcome::cancelled);
    this->timer.cancel();
    this->session->on_client_disconnected({});
}

} // namespace foxtailvale::gateway
