#include "answer_memory.hpp"
#include "answer_status.hpp"
#include "call.hpp"
#include "endpoint_notes.hpp"
#include "reach.hpp"

#include <direct/endpoint_rest.hpp>
#include <gateway/crash_records.hpp>
#include <gateway/rate_limits.hpp>
#include <kernel/events.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;
using routing::retry_safety;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Maximum idle time of a reused connection for requests that must not run
// twice: a connection reset that crosses such a request cannot be told from a
// lost answer.
constexpr milliseconds max_idle_non_idempotent{400};
constexpr milliseconds max_idle_repeatable{60000};

// From the first byte of a stream's event to its last one. An event is a packet
// or two, and callers leave after two seconds without one.
constexpr milliseconds max_event_time{1000};

constexpr char const* not_from_endpoint = "answer is not from the endpoint";

// Pauses of a stream from this length on are logged.
constexpr milliseconds long_pause{700};

} // namespace

bool is_broken_off(endpoint_attempt const& ended)
{
    return ended.is_stream &&
           (!ended.events.incomplete.empty() ||
            (!ended.head.delimited && ended.events_seen == 0));
}

void call::send(direct::choice const& chosen)
{
    this->note_ranked_start();
    this->leave_queue();
    auto const& target = chosen.chosen->listed;
    auto const now = clock::now();
    auto const is_non_idempotent =
        this->repeats == retry_safety::non_idempotent;
    // A refusal that comes twice bears the identifier of the next attempt, too,
    // and could be taken for its answer on the same connection.
    auto connection =
        this->sends > 0
            ? this->context->pool.open(target.address)
            : this->context->pool.take(
                  target.address, is_non_idempotent ? max_idle_non_idempotent
                                                    : max_idle_repeatable);
    if (!connection)
    {
        this->tried.insert(target.id);
        this->after_failure(ran_state::no, "endpoint address cannot be parsed");
        return;
    }
    auto const is_reused = connection->is_open();
    connection->limit_body(net::client_connection::no_body_limit);
    ++this->sends;
    if (this->sends == 1)
    {
        this->first_sent = now;
        this->context->counters.observe(
            "foxtailvale_wait_for_room_ms",
            std::chrono::duration_cast<milliseconds>(now - this->arrived));
    }
    this->tried.insert(target.id);
    this->version = chosen.version;
    this->current.emplace();
    this->current->number = ++this->attempts;
    this->current->retry = std::exchange(this->held_retry, std::nullopt);
    this->current->endpoint = target.id;
    this->last_endpoint = target.id;
    this->current->address = target.address;
    this->current->connection = connection;
    this->current->begun = now;
    this->current->decided = base::boot_now();
    this->current->last_byte = now;
    this->current->endpoint_deadline =
        direct::endpoint_deadline(chosen, this->deadline);
    if (chosen.chosen->limit.per_second)
    {
        this->context->counters.count(
            "foxtailvale_rate_limited_sends_total", {});
    }
    direct::note_request_begun(this->context->book, target.id, now);
    this->note_prompt_sent(now);
    this->note_placed(chosen);
    if (this->sends > 1)
    {
        this->log_sent_again(is_reused);
    }
    auto const number = this->current->number;
    auto const self = this->shared_from_this();
    connection->start(
        [self, number]
        {
            return self->dispatch(number);
        },
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

std::optional<net::outgoing_request> call::dispatch(std::uint64_t number)
{
    if (!this->is_current(number))
    {
        return std::nullopt;
    }
    auto const left = std::chrono::duration_cast<milliseconds>(
        this->current->endpoint_deadline - clock::now());
    if (left <= milliseconds(0) ||
        base::boot_now() >= this->current->decided + connect_limit)
    {
        return std::nullopt;
    }
    if (direct::rests_until(this->context->book, this->current->endpoint) >
        clock::now())
    {
        // It asked for rest while the connection was being opened.
        return std::nullopt;
    }
    this->current->dispatched = clock::now();
    platform::dispatch added;
    added.instance = this->current->endpoint;
    added.workspace =
        this->allowed.owner != nullptr ? this->allowed.owner->name : "";
    added.time_left = left;
    added.version = this->version;
    added.priority = this->allowed.priority;
    added.last_event = this->last_event;
    return platform::write_dispatch(this->request, added);
}

direct::answer_owner call::owner_of(platform::endpoint_head const& answer) const
{
    if (answer.attempt.empty() && !answer.names_several)
    {
        return direct::answer_owner::unnamed;
    }
    return answer.attempt == this->parsed.attempt && !answer.names_several
               ? direct::answer_owner::this_request
               : direct::answer_owner::other_request;
}

bool call::is_current(std::uint64_t number) const
{
    return !this->done && this->current && this->current->number == number;
}

net::head_verdict
call::on_head(std::uint64_t number, net::response_head const& head)
{
    auto const read = platform::read_endpoint_head(head);
    if (this->is_silent(number))
    {
        note_answer_head(*this->context, this->silent->attempt.endpoint, read);
    }
    if (!this->is_current(number))
    {
        return net::head_verdict::skip;
    }
    auto& running_attempt = *this->current;
    note_answer_head(*this->context, running_attempt.endpoint, read);
    auto const owner = this->owner_of(read);
    auto const use = direct::use_of(
        owner, running_attempt.connection->is_reused(),
        head.keep_alive && head.delimited);
    if (use == direct::head_use::skip)
    {
        this->note_skipped(running_attempt, read);
        return net::head_verdict::skip;
    }
    this->note_retry_arrived(running_attempt);
    running_attempt.last_byte = clock::now();
    direct::note_heard(
        this->context->book, running_attempt.endpoint,
        running_attempt.last_byte);
    note_answered_limit(
        *this->context, running_attempt.endpoint, read, running_attempt.begun);
    running_attempt.head = head;
    running_attempt.parsed = read;
    running_attempt.facts.head_seen = true;
    running_attempt.facts.status = read.status;
    running_attempt.facts.identified =
        owner == direct::answer_owner::this_request;
    running_attempt.facts.says_not_run = read.says_not_run;
    running_attempt.facts.sealed = read.sealed;
    auto const is_genuine = read.sealed && running_attempt.facts.identified;
    running_attempt.is_stream =
        this->allowed.chosen->streams && is_genuine && is_success(read.status);
    if (is_success(read.status) && !is_genuine)
    {
        // Whatever follows, and for how long, is not the endpoint's answer.
        this->give_up_answer(ran_state::unknown, not_from_endpoint);
    }
    return net::head_verdict::take;
}

void call::on_data(std::uint64_t number, std::string_view data)
{
    if (this->is_silent(number))
    {
        this->return_to_silent();
    }
    if (!this->is_current(number))
    {
        return;
    }
    auto& running_attempt = *this->current;
    running_attempt.last_byte = clock::now();
    direct::note_heard(
        this->context->book, running_attempt.endpoint,
        running_attempt.last_byte);
    if (running_attempt.is_stream)
    {
        this->on_events(data);
        return;
    }
    running_attempt.body.append(data);
    if (!this->count_held_bytes())
    {
        this->give_up_answer(ran_state::yes, "answer is too large");
    }
}

bool call::count_held_bytes()
{
    auto& running_attempt = *this->current;
    auto const held = running_attempt.body.capacity() +
                      running_attempt.events.incomplete.capacity();
    auto& all = this->context->held_answer_bytes;
    all += held;
    all -= std::exchange(running_attempt.held_bytes, held);
    auto const max_all = max_all_answers(this->context->settings.memory_bytes);
    return !is_too_large(held, all, max_all) &&
           !is_too_long(running_attempt.events);
}

void call::give_up_answer(ran_state ran, char const* reason)
{
    this->end_attempt(direct::request_outcome::faulty);
    this->after_failure(ran, reason);
}

void call::on_events(std::string_view data)
{
    std::string passed;
    auto const now = clock::now();
    auto const is_new = this->current->events.incomplete.empty();
    auto const events = split(this->current->events, data);
    if (is_new || !events.empty())
    {
        this->current->event_began = now;
    }
    auto const is_slow = !this->current->events.incomplete.empty() &&
                         now - this->current->event_began > max_event_time;
    if (!this->count_held_bytes() || is_slow)
    {
        this->give_up_answer(ran_state::yes, "stream event is too long");
        return;
    }
    for (auto const& event : events)
    {
        ++this->current->events_seen;
        this->note_first_event();
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
                this->give_up_answer(
                    ran_state::yes, "stream events are missing");
                return;
            }
            this->last_event = event.id;
        }
        this->note_event();
        passed.append(event.bytes);
    }
    if (passed.empty())
    {
        return;
    }
    this->end_silent(direct::request_outcome::faulty);
    this->begin_answer();
    this->session->send(passed);
    this->pause_for_slow_caller();
}

void call::pause_for_slow_caller()
{
    // Failure: callers that read nothing fill the entry's memory with their
    // answers, and the process is killed with the answers of all others.
    constexpr std::size_t max_unsent_bytes = 32UL * 1024;
    if (this->session->unsent_bytes() <= max_unsent_bytes)
    {
        return;
    }
    this->current->waits_for_caller = true;
    this->current->connection->pause_reading();
    std::weak_ptr<call> const weak = this->shared_from_this();
    this->session->on_written(
        [weak, number = this->current->number]
        {
            auto const held = weak.lock();
            if (held && held->is_current(number))
            {
                held->current->waits_for_caller = false;
                held->current->last_byte = clock::now();
                held->current->event_began = held->current->last_byte;
                held->last_forwarded = held->current->last_byte;
                held->current->connection->resume_reading();
            }
        });
}

void call::note_event()
{
    auto& running_attempt = *this->current;
    auto const now = clock::now();
    if (running_attempt.events_sent > 0)
    {
        auto const gap = std::chrono::duration_cast<milliseconds>(
            now - running_attempt.last_event);
        this->context->counters.observe("foxtailvale_event_gap_ms", gap);
        if (gap >= long_pause)
        {
            this->log_pause(gap);
        }
    }
    running_attempt.last_event = now;
    this->last_forwarded = now;
    ++running_attempt.events_sent;
}

void call::on_end(std::uint64_t number, net::exchange_result const& result)
{
    auto const keep = this->shared_from_this();
    if (this->ends_silent(number, result) || !this->is_current(number))
    {
        return;
    }
    auto& running_attempt = *this->current;
    running_attempt.is_over = true;
    running_attempt.facts.written = result.written;
    this->answer_ended_with_connection =
        result.head_seen && !running_attempt.head.delimited;
    auto const is_whole = result.end == net::exchange_end::whole;
    running_attempt.facts.whole = is_whole && !is_broken_off(running_attempt);
    auto const facts = running_attempt.facts;
    auto const ran = direct::judge_run(facts);
    if (direct::is_answer(facts) && !promises_not_run(facts.status))
    {
        this->answer();
        return;
    }
    if (result.written && ran == ran_state::no)
    {
        this->note_not_run(running_attempt, result, not_run_ground::declined);
    }
    if (is_whole && !is_broken_off(running_attempt))
    {
        auto const misdirected = running_attempt.parsed.misdirected;
        this->end_attempt(
            ran != ran_state::no ? direct::request_outcome::faulty
            : misdirected        ? direct::request_outcome::misdirected
                                 : direct::request_outcome::declined);
        this->after_failure(
            ran,
            ran == ran_state::no ? "endpoint declined" : not_from_endpoint);
        return;
    }
    if (result.end == net::exchange_end::withheld)
    {
        this->note_not_run(running_attempt, result, not_run_ground::withheld);
        this->end_attempt(direct::request_outcome::cancelled);
        this->after_failure(
            ran_state::no, "too late when the request was to be written");
        return;
    }
    if (!result.written)
    {
        this->note_not_run(
            running_attempt, result, not_run_ground::not_written);
        note_gone(*this->context, running_attempt.endpoint);
        this->end_attempt(direct::request_outcome::not_connected);
        this->after_failure(ran_state::no, "connection to the endpoint failed");
        return;
    }
    this->note_lost_answer(running_attempt);
    this->end_attempt(direct::request_outcome::faulty);
    this->after_failure(ran, "answer was cut");
}

void call::note_lost_answer(endpoint_attempt const& ended)
{
    request::note_lost_answer(
        this->context->lost_answers, ended.endpoint,
        {this->prints, ended.begun, clock::now()});
    probe_connection(
        this->context->loop, ended.address,
        [shared = this->context, endpoint = ended.endpoint](bool reached)
        {
            if (!reached)
            {
                note_gone(*shared, endpoint);
            }
        });
}

void call::end_attempt(direct::request_outcome how)
{
    auto const ended = std::move(*this->current);
    this->current.reset();
    this->release(ended, how);
}

void call::release(endpoint_attempt const& ended, direct::request_outcome how)
{
    this->end_retry(ended);
    this->context->held_answer_bytes -= ended.held_bytes;
    direct::note_request_ended(
        this->context->book, ended.endpoint, how, clock::now());
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

} // namespace foxtailvale::gateway
