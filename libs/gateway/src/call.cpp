#include "call.hpp"

#include "reach.hpp"

#include <base/digest.hpp>
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

// A connection on one machine or across a region opens within milliseconds;
// a lost opening packet is sent again after a second.
constexpr milliseconds connect_limit{400};

// Time to the first byte after which a silent endpoint is given up, for
// requests that may run twice: one that sends to nobody is gone, one that sends
// to others has the request in its queue. Failure: under full load requests
// were given up while they waited, and each repeat took the place of another.
constexpr int first_byte_goals = 2;
constexpr milliseconds least_first_byte{600};
constexpr milliseconds longest_first_byte{1600};

// Silence in the middle of a stream after which it goes on elsewhere: callers
// count a pause over the route's gap goal as late, and endpoints that are
// merely busy pause for less than this.
constexpr int gap_goals = 3;
constexpr milliseconds least_gap{700};

// Idle time of a connection for requests that may not run twice: a reset that
// crosses one of them cannot be told from a lost answer.
constexpr milliseconds fresh_connection{400};
constexpr milliseconds any_connection{60000};

constexpr std::size_t most_body_bytes = 16UL * 1024 * 1024;

// Statuses that promise "not run"; an endpoint that says one of them without
// saying so in its own way has made no such promise.
bool is_promise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

call::call(
    std::shared_ptr<entry_context> shared,
    std::shared_ptr<net::server_session> caller,
    net::request received)
    : context(std::move(shared)), session(std::move(caller)),
      request(std::move(received)),
      said(platform::read_caller_request(this->request)),
      configuration(this->context->configuration), timer(this->context->loop),
      arrived(clock::now())
{
}

void call::start()
{
    this->session->on_gone(
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

bool call::has_returned(milliseconds goal)
{
    if (!this->said.patience)
    {
        return false;
    }
    auto& longest = this->context->patience[this->allowed.chosen->name];
    longest = std::max(longest, *this->said.patience);
    return longest - *this->said.patience > goal / 2;
}

bool call::admit()
{
    auto const age = this->context->confirmed
                         ? base::boot_now() - *this->context->confirmed
                         : milliseconds::max();
    routing::view_limits limits;
    auto const bound = this->context->settings.promised.key_withdrawal;
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
    this->print = base::stable_hash(
        this->request.target + '\n' + this->said.key + '\n' +
        this->request.body);
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
    auto const goal = chosen.goal.count() > 0 ? chosen.goal : time;
    this->returned = this->has_returned(goal);
    auto const& first_answer = this->context->first_answer[this->service_name];
    this->wait_until = this->arrived + direct::longest_wait(goal, first_answer);
    this->wait_until = std::min(this->wait_until, this->deadline);
    return true;
}

direct::placement_ask call::placement() const
{
    auto const& bounds = this->context->settings.promised;
    direct::placement_ask ask;
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
        ask.depth = direct::depth_for_returned(this->service->engine->slots);
    }
    ask.all_entries = &this->context->entry_addresses;
    ask.own_entry = this->context->settings.ip;
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
    auto const ask = this->placement();
    auto const now = clock::now();
    auto const chosen =
        direct::choose(this->context->book, ask, now, this->context->random);
    if (chosen.chosen != nullptr)
    {
        this->send(chosen);
        return true;
    }
    if (may_wait && chosen.why != direct::no_choice::none_listed)
    {
        return false;
    }
    this->fail(
        direct::final_error(this->ran_so_far, false),
        chosen.why == direct::no_choice::none_listed ? "no endpoint is listed"
        : chosen.why == direct::no_choice::no_weights
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
    if (!this->place(true))
    {
        return false;
    }
    return true;
}

void call::send(direct::choice const& chosen)
{
    this->leave_line();
    auto const& target = chosen.chosen->listed;
    auto const now = clock::now();
    auto const strict =
        this->allowed.chosen->repeats == repetition::non_idempotent;
    auto connection = this->context->pool.take(
        target.address, strict ? fresh_connection : any_connection);
    if (!connection)
    {
        this->tried.insert(target.id);
        this->after_failure(ran_state::no, "address cannot be read");
        return;
    }
    ++this->sends;
    ++this->attempt_number;
    if (this->sends == 1)
    {
        this->context->counters.observe(
            "foxtailvale_wait_for_room_ms",
            std::chrono::duration_cast<milliseconds>(now - this->arrived));
    }
    this->tried.insert(target.id);
    this->version = chosen.version;
    this->current.emplace();
    this->current->endpoint = target.id;
    this->last_endpoint = target.id;
    this->current->address = target.address;
    this->current->connection = connection;
    this->current->begun = now;
    this->current->last_byte = now;
    direct::begin_use(this->context->book, target.id, now);
    platform::dispatch added;
    added.instance = target.id;
    added.workspace =
        this->allowed.owner != nullptr ? this->allowed.owner->name : "";
    added.time_left = this->time_left();
    added.version = chosen.version;
    added.priority = this->allowed.priority;
    added.last_event = this->last_event;
    auto const number = this->attempt_number;
    auto const self = this->shared_from_this();
    connection->start(
        platform::write_dispatch(this->request, added),
        {[self, number](net::response_head const& head)
         {
             return self->on_head(number, head);
         },
         [self, number](std::string_view data)
         {
             self->on_data(number, data);
         },
         [self, number](net::exchange_result const& result)
         {
             self->on_end(number, result);
         }});
    this->set_timer();
}

bool call::is_current(std::uint64_t number) const
{
    return !this->done && this->current && this->attempt_number == number;
}

net::head_verdict
call::on_head(std::uint64_t number, net::response_head const& head)
{
    if (!this->is_current(number))
    {
        return net::head_verdict::skip;
    }
    auto& now_running = *this->current;
    auto const read = platform::read_endpoint_head(head);
    if (!read.attempt.empty() && read.attempt != this->said.attempt)
    {
        // The late answer of an earlier request on this connection.
        this->context->counters.count("foxtailvale_foreign_answers_total", {});
        return net::head_verdict::skip;
    }
    now_running.last_byte = clock::now();
    direct::note_heard(
        this->context->book, now_running.endpoint, now_running.last_byte);
    now_running.head = head;
    now_running.said = read;
    now_running.facts.head_seen = true;
    now_running.facts.status = read.status;
    now_running.facts.says_not_run = read.says_not_run;
    now_running.facts.sealed = read.sealed && !read.attempt.empty();
    now_running.is_stream = this->allowed.chosen->streams &&
                            now_running.facts.sealed && is_success(read.status);
    return net::head_verdict::take;
}

void call::on_data(std::uint64_t number, std::string_view data)
{
    if (!this->is_current(number))
    {
        return;
    }
    auto& now_running = *this->current;
    now_running.last_byte = clock::now();
    direct::note_heard(
        this->context->book, now_running.endpoint, now_running.last_byte);
    if (now_running.is_stream)
    {
        this->on_events(data);
        return;
    }
    now_running.body.append(data);
    if (now_running.body.size() > most_body_bytes)
    {
        this->end_attempt(direct::use_end::faulty);
        this->after_failure(ran_state::yes, "answer is too large");
    }
}

void call::on_events(std::string_view data)
{
    std::string passed;
    for (auto const& event : split(this->current->events, data))
    {
        if (event.id)
        {
            if (this->last_event && *event.id <= *this->last_event)
            {
                continue;
            }
            auto const expected =
                this->last_event ? *this->last_event + 1 : *event.id;
            if (*event.id != expected)
            {
                this->end_attempt(direct::use_end::faulty);
                this->after_failure(ran_state::yes, "events are missing");
                return;
            }
            this->last_event = event.id;
        }
        ++this->current->events_sent;
        passed.append(event.bytes);
    }
    if (passed.empty())
    {
        return;
    }
    this->begin_answer();
    this->session->send(passed);
}

void call::note_first_answer()
{
    auto const now = clock::now();
    this->context->counters.observe(
        "foxtailvale_first_event_ms",
        std::chrono::duration_cast<milliseconds>(now - this->arrived));
    if (this->sends == 1)
    {
        request::note(
            this->context->first_answer[this->service_name],
            std::chrono::duration_cast<std::chrono::microseconds>(
                now - this->current->begun));
    }
}

void call::begin_answer()
{
    if (this->answer_begun)
    {
        return;
    }
    this->answer_begun = true;
    this->note_first_answer();
    this->session->begin_stream(
        this->current->said.status,
        platform::caller_fields(this->current->head));
}

void call::on_end(std::uint64_t number, net::exchange_result const& result)
{
    if (!this->is_current(number))
    {
        return;
    }
    auto const keep = this->shared_from_this();
    auto& now_running = *this->current;
    now_running.facts.written = result.written;
    now_running.facts.whole =
        result.end == net::exchange_end::whole &&
        (!now_running.is_stream || now_running.events.rest.empty());
    auto const facts = now_running.facts;
    auto const ran = direct::judge_run(facts);
    if (direct::is_answer(facts) && !is_promise(facts.status))
    {
        this->answer();
        return;
    }
    if (result.end == net::exchange_end::whole)
    {
        auto const misdirected = now_running.said.misdirected;
        this->end_attempt(
            ran != ran_state::no ? direct::use_end::faulty
            : misdirected        ? direct::use_end::misdirected
                                 : direct::use_end::declined);
        this->after_failure(
            ran, ran == ran_state::no ? "endpoint declined"
                                      : "answer is not the endpoint's");
        return;
    }
    if (!result.written)
    {
        note_gone(*this->context, now_running.endpoint);
        this->end_attempt(direct::use_end::not_connected);
        this->after_failure(ran_state::no, "no connection");
        return;
    }
    this->note_cut();
    this->end_attempt(direct::use_end::faulty);
    this->after_failure(ran, "answer was cut");
}

void call::note_cut()
{
    if (this->current->events_sent > 0 || this->current->facts.head_seen)
    {
        // What crashes an endpoint does so as it begins to run.
        return;
    }
    direct::note_cut(
        this->context->book, this->current->endpoint, this->print,
        clock::now());
    try_reach(
        this->context->loop, this->current->address,
        [shared = this->context,
         endpoint = this->current->endpoint](bool reached)
        {
            if (!reached)
            {
                note_gone(*shared, endpoint);
            }
        });
}

void call::end_attempt(direct::use_end how)
{
    auto const ended = std::move(*this->current);
    this->current.reset();
    direct::end_use(this->context->book, ended.endpoint, how, clock::now());
    if (ended.connection->is_idle())
    {
        this->context->pool.give(ended.address, ended.connection);
    }
    else
    {
        ended.connection->close();
    }
    serve_waiting(*this->context, this->service_name);
}

void call::answer()
{
    auto const& now_running = *this->current;
    auto const status = now_running.said.status;
    // An endpoint's own failure may be tried elsewhere where that is allowed.
    if (!is_success(status) && status >= 500 && !this->answer_begun &&
        this->allowed.chosen->repeats != repetition::non_idempotent &&
        this->runs + 1 < this->allowed.chosen->most_attempts)
    {
        auto const failed = now_running;
        this->end_attempt(direct::use_end::faulty);
        ++this->runs;
        this->ran_so_far = ran_state::yes;
        auto const spent =
            this->time_left() > milliseconds(0) &&
            direct::spend_repeat(
                this->context->repeats[this->service_name],
                {this->context->settings.promised.retry_ratio,
                 this->context->settings.promised.retry_window,
                 this->context->settings.promised.retry_slack},
                direct::sharers(this->context->entries), clock::now());
        auto const chosen = spent ? direct::choose(
                                        this->context->book, this->placement(),
                                        clock::now(), this->context->random)
                                  : direct::choice{};
        if (chosen.chosen != nullptr)
        {
            this->context->counters.count_retry(error_kind::endpoint_failed);
            this->send(chosen);
            return;
        }
        this->log_answer(failed.said.status);
        this->session->respond(
            failed.said.status, platform::caller_fields(failed.head),
            failed.body);
        this->finish();
        return;
    }
    if (now_running.is_stream)
    {
        this->begin_answer();
        this->session->end_stream();
    }
    else if (this->answer_begun)
    {
        // A stream that began elsewhere cannot go on with another answer.
        this->end_attempt(direct::use_end::answered);
        this->cut("endpoint would not resume");
        return;
    }
    else
    {
        this->session->respond(
            status, platform::caller_fields(now_running.head),
            now_running.body);
    }
    this->log_answer(status);
    if (request::has_crashed(this->context->suspects, this->print))
    {
        request::note_answered(this->context->suspects, this->print);
        this->context->tell_crash(this->print, now_running.endpoint, true);
    }
    this->end_attempt(
        status >= 500 ? direct::use_end::faulty : direct::use_end::answered);
    this->finish();
}

void call::after_failure(ran_state ran, char const* reason)
{
    if (ran != ran_state::no)
    {
        ++this->runs;
        this->ran_so_far = ran;
    }
    auto const time_is_up = this->time_left() <= milliseconds(0);
    direct::repeat_ask const ask{
        .repeats = this->allowed.chosen->repeats,
        .ran = ran,
        .runs = this->runs,
        .most_attempts = this->allowed.chosen->most_attempts,
        .sends = this->sends,
        .answer_begun = this->answer_begun};
    auto const suspect =
        request::is_suspect(this->context->suspects, this->print);
    if (time_is_up || suspect || !direct::may_repeat(ask))
    {
        this->fail(direct::final_error(this->ran_so_far, time_is_up), reason);
        return;
    }
    auto const& bounds = this->context->settings.promised;
    if (!direct::spend_repeat(
            this->context->repeats[this->service_name],
            {bounds.retry_ratio, bounds.retry_window, bounds.retry_slack},
            direct::sharers(this->context->entries), clock::now()))
    {
        this->fail(
            this->ran_so_far == ran_state::no ? error_kind::retry_budget_spent
                                              : error_kind::endpoint_lost,
            "no repeat left");
        return;
    }
    this->context->counters.count_retry(
        direct::final_error(this->ran_so_far, false));
    this->log(
        kernel::event_id::request_retried,
        direct::final_error(this->ran_so_far, false), reason);
    auto const now = clock::now();
    this->wait_until = std::min(
        this->deadline, std::max(this->wait_until, now + milliseconds(100)));
    if (!this->place(true))
    {
        this->wait();
    }
}

void call::fail(error_kind kind, char const* reason)
{
    if (this->answer_begun)
    {
        this->cut(reason);
        return;
    }
    this->refuse(kind, reason);
}

void call::refuse(error_kind kind, char const* reason)
{
    this->leave_line();
    auto const& row = base::row_of(kind);
    this->context->counters.count_error(kind);
    this->log(
        row.ran == ran_state::no ? kernel::event_id::request_refused
                                 : kernel::event_id::request_failed,
        kind, reason);
    // A request that crashed endpoints was not run this time; the platform's
    // callers know no other word for that.
    auto const status = kind == error_kind::suspect_request
                            ? 503U
                            : static_cast<unsigned>(row.status);
    auto const after = is_promise(status) && row.ran == ran_state::no
                           ? this->retry_after()
                           : milliseconds(0);
    this->session->respond(
        status, platform::refusal_fields(this->said.attempt, after),
        std::string(row.name) + "\n");
    this->finish();
}

void call::cut(char const* reason)
{
    this->context->counters.count_error(error_kind::endpoint_lost);
    this->log(kernel::event_id::request_cut, error_kind::endpoint_lost, reason);
    this->session->abort();
    this->finish();
}

milliseconds call::retry_after() const
{
    // Spread, so that those refused together do not come back together.
    constexpr std::uint64_t least = 400;
    constexpr std::uint64_t spread = 1000;
    return milliseconds(
        least + base::random_below(this->context->random, spread));
}

void call::finish()
{
    this->done = true;
    this->timer.cancel();
    this->session->on_gone({});
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
        this->end_attempt(direct::use_end::cancelled);
    }
    this->context->counters.count_error(error_kind::caller_gone);
    this->log(
        kernel::event_id::request_left, error_kind::caller_gone, "caller left");
    this->done = true;
    this->timer.cancel();
}

milliseconds call::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->deadline - clock::now());
}

bool call::endpoint_is_lost() const
{
    auto const& known = this->context->book.endpoints;
    auto const found = known.find(this->current->endpoint);
    if (found == known.end())
    {
        return true;
    }
    auto const now = clock::now();
    auto const& state = found->second;
    auto const agent_silent = state.report && !direct::is_fresh(state, now);
    auto const agent_says =
        direct::is_fresh(state, now) && state.report->unreachable;
    return direct::is_stalled(state, now) || agent_silent || agent_says;
}

std::optional<base::time_point> call::attempt_limit() const
{
    auto const& now_running = *this->current;
    auto const& chosen = *this->allowed.chosen;
    if (!now_running.connection->is_open())
    {
        return now_running.begun + connect_limit;
    }
    if (chosen.repeats == repetition::non_idempotent ||
        this->runs + 1 >= std::max<std::uint32_t>(chosen.most_attempts, 1))
    {
        return std::nullopt;
    }
    auto const lost = this->endpoint_is_lost();
    if (now_running.events_sent > 0)
    {
        auto const gap = std::max(least_gap, chosen.gap_goal * gap_goals);
        return now_running.last_byte + (lost ? gap : 2 * gap);
    }
    auto const soon =
        std::max(least_first_byte, chosen.goal * first_byte_goals);
    return now_running.begun +
           (lost ? soon : std::max(soon, longest_first_byte));
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
        this->leave_line();
        this->fail(
            direct::final_error(this->ran_so_far, now >= this->deadline),
            "waited for room");
        return;
    }
    if (!this->current)
    {
        this->set_timer();
        return;
    }
    auto const connected = this->current->connection->is_open();
    if (now >= this->deadline)
    {
        auto const ran = connected ? ran_state::unknown : ran_state::no;
        // Silence up to the deadline tells against the endpoint; events that
        // still came do not.
        auto const silent = now - this->current->last_byte > direct::stall_time;
        this->end_attempt(
            silent ? direct::use_end::faulty : direct::use_end::cancelled);
        this->after_failure(ran, "time is up");
        return;
    }
    auto const limit = this->attempt_limit();
    if (limit && now >= *limit)
    {
        auto const ran = connected ? ran_state::unknown : ran_state::no;
        this->end_attempt(
            connected ? direct::use_end::faulty
                      : direct::use_end::not_connected);
        this->after_failure(ran, "endpoint is silent");
        return;
    }
    this->set_timer();
}

void call::log(
    kernel::event_id event, error_kind kind, char const* reason) const
{
    auto const since = [now = clock::now()](base::time_point then)
    {
        return std::chrono::duration_cast<milliseconds>(now - then).count();
    };
    auto const age =
        this->context->confirmed
            ? (base::boot_now() - *this->context->confirmed).count()
            : -1;
    kernel::log_event(
        event, {{"request", this->said.attempt},
                {"kind", base::row_of(kind).name},
                {"reason", reason},
                {"service", this->service_name},
                {"endpoint", this->last_endpoint},
                {"version", this->version},
                {"sends", this->sends},
                {"runs", this->runs},
                {"ran", base::to_string(this->ran_so_far)},
                {"last_event", this->last_event.value_or(0)},
                {"configuration",
                 this->configuration ? this->configuration->version : 0},
                {"view_age_ms", age},
                {"after_ms", since(this->arrived)}});
}

void call::log_answer(unsigned status) const
{
    auto const total =
        std::chrono::duration_cast<milliseconds>(clock::now() - this->arrived);
    this->context->counters.observe("foxtailvale_answer_ms", total);
    kernel::log_event(
        kernel::event_id::request_answered, {{"request", this->said.attempt},
                                             {"status", status},
                                             {"service", this->service_name},
                                             {"endpoint", this->last_endpoint},
                                             {"version", this->version},
                                             {"sends", this->sends},
                                             {"after_ms", total.count()}});
}

} // namespace foxtailvale::gateway
