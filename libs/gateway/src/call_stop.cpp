#include "call.hpp"

#include <kernel/events.hpp>

// Requests while the process is told to stop.
namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr char const* ends_too_soon = "the process ends before the answer";
constexpr char const* process_ends = "the process ends";

std::int64_t ms_between(base::time_point from, base::time_point until)
{
    return std::chrono::duration_cast<milliseconds>(until - from).count();
}

} // namespace

call_state call::state() const
{
    if (this->answer_begun)
    {
        return call_state::answering;
    }
    auto const is_sent = this->current && this->current->dispatched;
    return is_sent || this->silent ? call_state::sent : call_state::waiting;
}

bool call::is_too_late() const
{
    if (!this->context->stop)
    {
        return false;
    }
    auto const& stop = *this->context->stop;
    if (this->answer_begun)
    {
        // It is continued as long as the process runs.
        return clock::now() >= stop.ends;
    }
    direct::stop_query asked{clock::now(), this->deadline, std::nullopt};
    auto const& measured = this->context->longest_answers;
    auto const found = measured.find(this->allowed.chosen->name);
    if (found != measured.end())
    {
        asked.longest_answer = scheduling::longest(found->second, asked.now);
    }
    return !direct::ends_in_time(stop, asked);
}

void call::note_answer_time() const
{
    auto const now = clock::now();
    scheduling::note(
        this->context->longest_answers[this->allowed.chosen->name],
        std::chrono::ceil<milliseconds>(now - this->arrived), now);
}

void call::fail_for_stop()
{
    this->fail(
        this->ran_so_far == ran_state::no ? error_kind::entry_stopping
                                          : error_kind::endpoint_lost,
        ends_too_soon);
}

void call::refuse_if_too_late()
{
    if (this->is_queued && this->is_too_late())
    {
        this->fail_for_stop();
    }
}

void call::end_by_stop()
{
    if (this->done)
    {
        return;
    }
    this->end_silent(direct::request_outcome::cancelled);
    if (this->current)
    {
        if (this->current->dispatched)
        {
            ++this->runs;
            this->ran_so_far = ran_state::unknown;
        }
        this->end_attempt(direct::request_outcome::cancelled);
    }
    if (this->answer_begun)
    {
        this->cut_answer(error_kind::entry_stopping, process_ends);
        return;
    }
    this->refuse(
        this->ran_so_far == ran_state::no ? error_kind::entry_stopping
                                          : error_kind::outcome_unknown,
        process_ends);
}

void call::note_stop(nlohmann::json& fields, char const* outcome) const
{
    if (!this->context->stop)
    {
        return;
    }
    auto const& stop = *this->context->stop;
    auto const now = clock::now();
    // Below zero: before the process was told to stop.
    fields["arrived_in_stop_ms"] = ms_between(stop.began, this->arrived);
    fields["stop_left_ms"] = ms_between(now, stop.ends);
    if (this->deadline != base::time_point())
    {
        fields["deadline_left_ms"] = ms_between(now, this->deadline);
    }
    if (outcome == nullptr)
    {
        return;
    }
    this->context->counters.count(
        "foxtailvale_stop_requests_total",
        {{"outcome", outcome},
         {"arrived", this->arrived < stop.began ? "before" : "during"}});
}

} // namespace foxtailvale::gateway
