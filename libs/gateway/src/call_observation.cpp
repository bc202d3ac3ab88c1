#include "call.hpp"

#include <kernel/events.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

milliseconds in_ms(base::duration value)
{
    return std::chrono::duration_cast<milliseconds>(value);
}

// Updates the metric with the smallest margin seen before a version must no
// longer be used.
void note_start_margin(
    entry_context& context,
    std::string const& model,
    std::uint64_t version,
    milliseconds left)
{
    auto const added =
        context.least_start_margins.try_emplace({model, version}, left);
    auto& least = added.first->second;
    if (!added.second && left >= least)
    {
        return;
    }
    least = left;
    context.counters.gauge(
        "foxtailvale_version_begin_left_ms",
        {{"model", model}, {"version", std::to_string(version)}},
        static_cast<double>(left.count()));
}

constexpr std::size_t max_logged_id = 64;

// Identifiers come from outside and may be of any length.
std::string logged_id(std::string const& id)
{
    return id.substr(0, max_logged_id);
}

char const* name_of(not_run_ground ground)
{
    switch (ground)
    {
    case not_run_ground::declined:
        return "declined";
    case not_run_ground::not_written:
        return "not_written";
    case not_run_ground::withheld:
        break;
    }
    return "withheld";
}

std::int64_t written_ago(endpoint_attempt const& attempt)
{
    return attempt.dispatched
               ? in_ms(clock::now() - *attempt.dispatched).count()
               : -1;
}

} // namespace

void call::note_not_run(
    endpoint_attempt const& ended,
    net::exchange_result const& result,
    not_run_ground ground) const
{
    auto const& answer = ended.parsed;
    this->context->counters.count(
        "foxtailvale_attempts_not_run_total",
        {{"ground", name_of(ground)},
         {"connection", result.reused ? "reused" : "new"}});
    kernel::log_event(
        kernel::event_id::attempt_not_run,
        {{"request", this->parsed.attempt},
         {"endpoint", ended.endpoint},
         {"address", ended.address},
         {"sends", this->sends},
         {"ground", name_of(ground)},
         {"status", answer.status},
         {"answer_to", logged_id(answer.attempt)},
         {"sealed", answer.sealed},
         {"not_run_field", answer.has_not_run_field},
         {"written_ago_ms", written_ago(ended)},
         {"reused", result.reused}});
}

void call::log_sent_again(bool is_reused) const
{
    kernel::log_event(
        kernel::event_id::request_sent_again,
        {{"request", this->parsed.attempt},
         {"endpoint", this->current->endpoint},
         {"address", this->current->address},
         {"sends", this->sends},
         {"runs", this->runs},
         {"reused", is_reused}});
}

void call::note_skipped(
    endpoint_attempt const& asked, platform::endpoint_head const& answer) const
{
    this->context->counters.count("foxtailvale_foreign_answers_total", {});
    kernel::log_event(
        kernel::event_id::answer_skipped,
        {{"request", this->parsed.attempt},
         {"endpoint", asked.endpoint},
         {"status", answer.status},
         {"answer_to", logged_id(answer.attempt)},
         {"sealed", answer.sealed},
         {"not_run_field", answer.has_not_run_field},
         {"written_ago_ms", written_ago(asked)}});
}

void call::note_placed(direct::choice const& chosen)
{
    this->observation.emplace();
    this->observation->expected = chosen.expected;
    this->observation->sent = this->current->begun;
    if (!chosen.expected.ends)
    {
        return;
    }
    auto const& expected = chosen.expected;
    auto const until = [this](base::time_point then)
    {
        return in_ms(then - this->observation->sent).count();
    };
    kernel::log_event(
        kernel::event_id::request_placed,
        {{"request", this->parsed.attempt},
         {"endpoint", this->current->endpoint},
         {"address", this->current->address},
         {"version", chosen.version},
         {"sends", this->sends},
         {"slots", expected.slots},
         {"work", expected.work},
         {"line", expected.line},
         {"report_age_ms",
          expected.report_age.value_or(milliseconds(-1)).count()},
         {"expected_ms", until(expected.begins)},
         {"ends_in_ms", until(*expected.ends)}});
}

void call::note_prompt_sent(base::time_point now)
{
    if (!this->service->engine)
    {
        return;
    }
    auto const usual =
        static_cast<std::uint64_t>(this->service->engine->usual_prompt);
    auto const stated = this->parsed.prompt_tokens;
    direct::note_prompt_sent(
        this->context->book, this->current->endpoint,
        stated > 0 ? stated : usual, now);
}

void call::note_first_event()
{
    auto& seen = *this->observation;
    if (seen.begun || this->version == 0)
    {
        return;
    }
    auto const now = clock::now();
    seen.begun = now;
    this->context->counters.observe(
        "foxtailvale_begun_late_ms",
        std::max(milliseconds(0), in_ms(now - seen.expected.begins)));
    auto const& book = this->context->book;
    if (auto const ends =
            direct::version_retires_at(book, this->parsed.model, this->version))
    {
        seen.before_end = *ends - now;
    }
    if (auto const succeeded =
            direct::superseded_at(book, this->parsed.model, this->version))
    {
        auto const bound = this->context->settings.promised.version;
        note_start_margin(
            *this->context, this->parsed.model, this->version,
            in_ms(*succeeded + bound - now));
    }
}

void call::add_endpoint_state(nlohmann::json& fields) const
{
    auto const& known = this->context->book.endpoints;
    auto const found = known.find(this->last_endpoint);
    if (!this->observation || found == known.end())
    {
        return;
    }
    auto const now = clock::now();
    auto const& state = found->second;
    auto const never = base::time_point();
    fields["sent_ago_ms"] = in_ms(now - this->observation->sent).count();
    fields["silent_ms"] =
        state.last_sent == never ? -1 : in_ms(now - state.last_sent).count();
    fields["report_age_ms"] =
        state.report ? in_ms(now - state.reported).count() : -1;
    fields["event_ago_ms"] =
        this->last_forwarded ? in_ms(now - *this->last_forwarded).count() : -1;
    if (state.report)
    {
        fields["running"] = state.report->running;
        fields["waiting"] = state.report->waiting;
        fields["pace"] = state.report->pace;
        fields["unreachable"] = state.report->unreachable;
    }
}

void call::log_pause(milliseconds pause) const
{
    nlohmann::json fields{
        {"request", this->parsed.attempt},
        {"endpoint", this->last_endpoint},
        {"version", this->version},
        {"pause_ms", pause.count()},
        {"events", this->current->events_sent}};
    this->add_endpoint_state(fields);
    kernel::log_event(kernel::event_id::stream_continued, std::move(fields));
}

void call::add_first_event(nlohmann::json& fields) const
{
    if (!this->observation || !this->observation->expected.ends)
    {
        return;
    }
    auto const& seen = *this->observation;
    fields["begun_ms"] =
        seen.begun ? in_ms(*seen.begun - seen.sent).count() : -1;
    fields["expected_ms"] = in_ms(seen.expected.begins - seen.sent).count();
    if (seen.before_end)
    {
        fields["before_end_ms"] = in_ms(*seen.before_end).count();
    }
}

} // namespace foxtailvale::gateway
