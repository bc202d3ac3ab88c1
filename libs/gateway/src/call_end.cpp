#include "answer_status.hpp"
#include "call.hpp"
#include "reach.hpp"

#include <gateway/crash_records.hpp>
#include <kernel/events.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;
using routing::retry_safety;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// How a request ended with this event; null for an event that does not end it.
char const* outcome_of(kernel::event_id event)
{
    switch (event)
    {
    case kernel::event_id::request_refused:
        return "refused";
    case kernel::event_id::request_failed:
        return "failed";
    case kernel::event_id::request_cut:
        return "cut";
    case kernel::event_id::request_left:
        return "left";
    default:
        return nullptr;
    }
}

} // namespace

void call::note_first_answer()
{
    auto const now = clock::now();
    this->first_answered = now;
    this->context->counters.observe(
        "foxtailvale_first_event_ms",
        std::chrono::duration_cast<milliseconds>(now - this->arrived));
    if (this->sends == 1)
    {
        scheduling::note(
            this->context->time_to_first_event[this->service_name],
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
        this->current->parsed.status,
        platform::caller_fields(this->current->head));
}

void call::answer()
{
    auto const& running_attempt = *this->current;
    auto const status = running_attempt.parsed.status;
    // A failure reported by the endpoint may be retried elsewhere if the route
    // allows it.
    if (!is_success(status) && status >= 500 && !this->answer_begun &&
        this->is_still_allowed() &&
        this->repeats != retry_safety::non_idempotent &&
        this->runs + 1 < this->most_attempts && !this->is_too_late())
    {
        auto const failed = running_attempt;
        this->end_attempt(direct::request_outcome::faulty);
        ++this->runs;
        this->ran_so_far = ran_state::yes;
        auto const spent = this->time_left() > milliseconds(0) &&
                           !this->is_suspect() && this->spend_retry();
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
        this->log_answer(failed.parsed.status);
        this->session->respond(
            failed.parsed.status, platform::caller_fields(failed.head),
            failed.body);
        this->finish();
        return;
    }
    if (running_attempt.is_stream)
    {
        this->begin_answer();
        this->session->end_stream();
    }
    else if (this->answer_begun)
    {
        // A stream that began at another endpoint cannot continue with a
        // complete answer.
        this->end_attempt(direct::request_outcome::answered);
        if (this->silent)
        {
            ++this->runs;
            this->return_to_silent();
            return;
        }
        this->cut_answer(
            error_kind::endpoint_lost, "endpoint did not resume the stream");
        return;
    }
    else
    {
        this->session->respond(
            status, platform::caller_fields(running_attempt.head),
            running_attempt.body);
    }
    this->log_answer(status);
    this->note_answer(status);
    this->note_answer_size();
    this->end_attempt(
        status >= 500 ? direct::request_outcome::faulty
                      : direct::request_outcome::answered);
    this->finish();
}

void call::note_answer(unsigned status)
{
    // An endpoint that fails may not have run the request to its end.
    if (status >= 500)
    {
        return;
    }
    auto answered = this->prints;
    if (!is_success(status))
    {
        // It was not written on the prompt.
        answered.parts.clear();
    }
    auto const now = clock::now();
    if (this->current->head.delimited)
    {
        note_crash_answered(*this->context, answered, now);
        return;
    }
    this->note_uncertain_answer(answered, now);
}

void call::note_uncertain_answer(
    request::request_prints const& answered, base::time_point now)
{
    auto const& ended = *this->current;
    request::note_lost_answer(
        this->context->lost_answers, ended.endpoint,
        {answered, ended.begun, now, true});
    if (!request::has_crash_record(this->context->suspects, answered))
    {
        request::note_uncertain_answer(this->context->suspects, answered, now);
        return;
    }
    probe_connection(
        this->context->loop, ended.address,
        [shared = this->context, endpoint = ended.endpoint, answered,
         now](bool reached)
        {
            if (!reached)
            {
                note_gone(*shared, endpoint);
                return;
            }
            request::forget_lost_answer(
                shared->lost_answers, endpoint, answered.whole, now);
            note_crash_answered(*shared, answered, now);
        });
}

void call::fail(error_kind kind, char const* reason)
{
    if (this->answer_begun)
    {
        this->cut_answer(error_kind::endpoint_lost, reason);
        return;
    }
    this->refuse(kind, reason);
}

void call::refuse(error_kind kind, char const* reason)
{
    this->leave_queue();
    if (this->ran_so_far != ran_state::no)
    {
        this->note_answer_time();
    }
    auto const& row = base::row_of(kind);
    this->context->counters.count_error(kind);
    // A suspect request was not run this time; 503 is the only status for that
    // which the platform's callers know.
    auto const status = kind == error_kind::suspect_request
                            ? 503U
                            : static_cast<unsigned>(row.status);
    auto const is_retryable =
        promises_not_run(status) && row.ran == ran_state::no;
    auto const after =
        !is_retryable                         ? milliseconds(0)
        : kind == error_kind::suspect_request ? this->quarantine_left()
        : kind == error_kind::entry_stopping  ? this->retry_elsewhere_after()
                                              : this->promised_retry_after();
    this->told_return = after;
    this->note_ranked_refusal(kind);
    this->log(
        row.ran == ran_state::no ? kernel::event_id::request_refused
                                 : kernel::event_id::request_failed,
        kind, reason);
    if (is_retryable || status >= 500)
    {
        request::note_refusal(
            this->context->refusals, this->prints.whole, clock::now());
        this->context->unsent_refusals.push_back(this->prints.whole);
    }
    this->session->respond(
        status, platform::refusal_fields(this->parsed.attempt, after),
        std::string(row.name) + "\n");
    this->finish();
}

void call::cut_answer(error_kind kind, char const* reason)
{
    this->leave_queue();
    this->note_answer_time();
    this->context->counters.count_error(kind);
    this->log(kernel::event_id::request_cut, kind, reason);
    this->session->abort();
    this->finish();
}

milliseconds call::retry_after() const
{
    // Random, so that requests refused together do not come back together.
    constexpr std::uint64_t least = 400;
    constexpr std::uint64_t spread = 1000;
    auto const room = this->room_at.value_or(base::time_point()) - clock::now();
    return std::max(
               milliseconds(least), std::chrono::ceil<milliseconds>(room)) +
           milliseconds(base::random_below(this->context->random, spread));
}

milliseconds call::retry_elsewhere_after() const
{
    // Other entries are not short of capacity. Random, so that callers who were
    // refused together do not come back together.
    constexpr std::uint64_t least = 50;
    constexpr std::uint64_t spread = 200;
    return milliseconds(
        least + base::random_below(this->context->random, spread));
}

milliseconds call::quarantine_left() const
{
    // Sooner, the request would be refused again.
    return std::max(
        std::chrono::ceil<milliseconds>(request::quarantine_left(
            this->context->suspects, this->prints, clock::now())),
        this->retry_after());
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
    nlohmann::json fields{
        {"request", this->parsed.attempt},
        {"fingerprint", this->prints.whole},
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
        {"after_ms", since(this->arrived)}};
    if (this->room_at)
    {
        fields["room_in_ms"] = -since(*this->room_at);
    }
    if (this->silent)
    {
        fields["kept"] = true;
    }
    if (!this->parsed.prompt_parts.empty())
    {
        fields["parts"] = part_names(this->parsed.prompt_parts);
    }
    if (this->answer_ended_with_connection)
    {
        fields["ended_with_connection"] = true;
    }
    if (event == kernel::event_id::request_refused)
    {
        this->add_admission(fields);
    }
    this->add_budget(fields);
    this->add_endpoint_state(fields);
    this->add_first_event(fields);
    this->note_stop(fields, outcome_of(event));
    kernel::log_event(event, std::move(fields));
}

void call::log_answer(unsigned status) const
{
    auto const now = clock::now();
    auto const since_arrival = [this](base::time_point then)
    {
        return std::chrono::duration_cast<milliseconds>(then - this->arrived);
    };
    auto const total = since_arrival(now);
    this->context->counters.observe("foxtailvale_answer_ms", total);
    this->note_answer_time();
    nlohmann::json fields{
        {"request", this->parsed.attempt},
        {"status", status},
        {"service", this->service_name},
        {"endpoint", this->last_endpoint},
        {"version", this->version},
        {"sends", this->sends},
        {"returned", this->goal_expired},
        {"sent_ms", since_arrival(this->first_sent.value_or(now)).count()},
        {"first_ms", since_arrival(this->first_answered.value_or(now)).count()},
        {"after_ms", total.count()}};
    if (this->ranked)
    {
        fields["rank"] = this->allowed.priority;
        fields["workspace"] =
            this->allowed.owner != nullptr ? this->allowed.owner->name : "";
        fields["goal_ms"] = this->allowed.chosen->goal.count();
    }
    this->add_first_event(fields);
    this->note_stop(fields, "answered");
    kernel::log_event(kernel::event_id::request_answered, std::move(fields));
}

} // namespace foxtailvale::gateway
