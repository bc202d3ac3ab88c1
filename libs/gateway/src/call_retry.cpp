#include "call.hpp"

#include <kernel/events.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

direct::retry_bound retry_bound_of(entry_context const& context)
{
    auto const& bounds = context.settings.promised;
    return {bounds.retry_ratio, bounds.retry_window, bounds.retry_slack};
}

} // namespace

void call::after_failure(ran_state ran, char const* reason)
{
    if (ran != ran_state::no)
    {
        ++this->runs;
        this->ran_so_far = ran;
    }
    if (this->silent)
    {
        this->return_to_silent();
        return;
    }
    auto const time_is_up = this->time_left() <= milliseconds(0);
    if (!time_is_up && !this->is_still_allowed())
    {
        this->fail_as_forbidden();
        return;
    }
    direct::retry_query const ask{
        .repeats = this->repeats,
        .ran = ran,
        .runs = this->runs,
        .most_attempts = this->most_attempts,
        .sends = this->sends,
        .answer_begun = this->answer_begun};
    if (time_is_up || this->is_suspect() || !direct::is_retry_allowed(ask))
    {
        this->fail(direct::final_error(this->ran_so_far, time_is_up), reason);
        return;
    }
    if (this->is_too_late())
    {
        this->fail_for_stop();
        return;
    }
    if (!this->spend_retry())
    {
        this->fail(
            this->ran_so_far == ran_state::no ? error_kind::retry_budget_spent
                                              : error_kind::endpoint_lost,
            "retry budget is spent");
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

bool call::spend_retry()
{
    if (this->held_retry)
    {
        return true;
    }
    auto const bound = retry_bound_of(*this->context);
    auto& own = budget_of(*this->context, this->service_name);
    auto const& entries = this->context->entries;
    auto const now = clock::now();
    this->budget = direct::state_of(own, bound, entries, now);
    auto const earlier = direct::state_at(this->held_until, now);
    auto const spent = direct::spend_retry(own, bound, entries, earlier, now);
    this->note_budget(spent.has_value());
    if (spent)
    {
        this->held_retry = granted_retry{now, *spent, *this->budget};
    }
    return spent.has_value();
}

void call::note_retry_arrived(endpoint_attempt& running_attempt)
{
    if (auto const settled = std::exchange(running_attempt.retry, std::nullopt))
    {
        // An earlier attempt may arrive after this one and is then the one
        // beyond the first.
        direct::note_retry_arrived(
            budget_of(*this->context, this->service_name), settled->source,
            std::max(clock::now(), this->unseen_until));
        this->note_settled(*settled, &running_attempt, "arrived");
    }
}

bool call::is_held(endpoint_attempt const& ended) const
{
    if (ended.is_over)
    {
        return false;
    }
    auto const& known = this->context->book.endpoints;
    auto const found = known.find(ended.endpoint);
    // A program that stands still may read what its machine has acknowledged
    // once it goes on.
    return !ended.connection->is_all_acknowledged() || found == known.end() ||
           direct::is_unreachable(found->second, clock::now());
}

void call::end_retry(endpoint_attempt const& ended)
{
    auto const is_unseen = ended.dispatched && !ended.facts.head_seen;
    if (is_unseen)
    {
        auto const now = clock::now();
        ++this->unseen_sends;
        this->unseen_until = std::max(
            this->unseen_until,
            now + (ended.is_over ? direct::max_flight : direct::max_hold));
        if (this->is_held(ended))
        {
            ++this->held_sends;
            this->held_until = this->unseen_until;
        }
    }
    if (!ended.retry)
    {
        return;
    }
    auto& own = budget_of(*this->context, this->service_name);
    if (ended.dispatched)
    {
        direct::note_retry_arrived(
            own, ended.retry->source,
            std::max(clock::now(), this->unseen_until));
        this->note_settled(*ended.retry, &ended, "unseen");
        return;
    }
    direct::return_retry(
        own, retry_bound_of(*this->context), ended.retry->source);
    this->note_settled(*ended.retry, &ended, "not_sent");
}

void call::return_unused_retry()
{
    if (auto const unused = std::exchange(this->held_retry, std::nullopt))
    {
        direct::return_retry(
            budget_of(*this->context, this->service_name),
            retry_bound_of(*this->context), unused->source);
        this->note_settled(*unused, nullptr, "not_sent");
    }
}

void call::note_settled(
    granted_retry const& settled,
    endpoint_attempt const* used,
    char const* outcome) const
{
    auto const since = [](base::time_point from, base::time_point until)
    {
        return std::chrono::duration_cast<milliseconds>(until - from).count();
    };
    auto const now = clock::now();
    auto const was_sent = used != nullptr && used->dispatched;
    auto const sent = was_sent ? *used->dispatched : now;
    this->context->counters.count(
        "foxtailvale_retries_settled_total",
        {{"service", this->service_name}, {"outcome", outcome}});
    kernel::log_event(
        kernel::event_id::retry_settled,
        {{"request", this->parsed.attempt},
         {"service", this->service_name},
         {"endpoint", used != nullptr ? used->endpoint : ""},
         {"outcome", outcome},
         {"waited_ms", since(settled.granted, sent)},
         {"sent_ago_ms", was_sent ? since(sent, now) : -1},
         {"unseen_sends", this->unseen_sends},
         {"held_sends", this->held_sends},
         {"paid_by", direct::name_of(settled.source)},
         {"sends", this->sends},
         {"retries_spent", settled.budget.spent},
         {"retries_allowed", std::floor(settled.budget.allowed)},
         {"retries_for_requests", settled.budget.requests},
         {"retries_for_steady_requests", settled.budget.steady},
         {"retries_shared_by", settled.budget.entries}});
}

void call::note_budget(bool spent) const
{
    auto& counters = this->context->counters;
    std::map<std::string, std::string> const labels{
        {"service", this->service_name}};
    counters.gauge(
        "foxtailvale_retry_budget_spent", labels,
        static_cast<double>(this->budget->spent + (spent ? 1 : 0)));
    counters.gauge(
        "foxtailvale_retry_budget_allowed", labels, this->budget->allowed);
    counters.gauge(
        "foxtailvale_retry_budget_entries", labels,
        static_cast<double>(this->budget->entries));
    counters.count(
        spent ? "foxtailvale_retries_granted_total"
              : "foxtailvale_retries_denied_total",
        labels);
}

void call::add_budget(nlohmann::json& fields) const
{
    if (!this->budget)
    {
        return;
    }
    fields["retries_spent"] = this->budget->spent;
    fields["retries_allowed"] = std::floor(this->budget->allowed);
    fields["retries_for_requests"] = this->budget->requests;
    fields["retries_for_steady_requests"] = this->budget->steady;
    fields["retries_shared_by"] = this->budget->entries;
    fields["running_ms"] = this->budget->running.count();
}

} // namespace foxtailvale::gateway
