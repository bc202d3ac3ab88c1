#include "call.hpp"

#include <utility>

namespace foxtailvale::gateway
{

namespace
{

using base::error_kind;
using base::ran_state;

constexpr char const* reason = "endpoint is silent";

} // namespace

bool call::resume_elsewhere(base::time_point now)
{
    if (this->silent || !this->is_still_allowed() ||
        !direct::is_resume_due(this->progress(), now) ||
        this->sends >= direct::max_sends || this->is_suspect())
    {
        return false;
    }
    auto const chosen = direct::choose(
        this->context->book, this->placement(), now, this->context->random);
    if (chosen.chosen == nullptr || !this->spend_retry())
    {
        return false;
    }
    this->silent = silent_attempt{std::move(*this->current), this->observation};
    this->current.reset();
    this->context->counters.count_retry(error_kind::endpoint_lost);
    this->log(
        kernel::event_id::request_retried, error_kind::endpoint_lost, reason);
    this->send(chosen);
    return true;
}

void call::after_silence(ran_state ran)
{
    if (this->answer_begun && ran != ran_state::no && !this->silent)
    {
        // No other endpoint has room, and the caller is about to disconnect.
        ++this->runs;
        this->ran_so_far = ran;
        this->fail(error_kind::endpoint_lost, reason);
        return;
    }
    this->after_failure(ran, reason);
}

bool call::is_silent(std::uint64_t number) const
{
    return !this->done && this->silent &&
           this->silent->attempt.number == number;
}

void call::return_to_silent()
{
    auto kept = std::move(*this->silent);
    this->silent.reset();
    if (this->current)
    {
        if (this->current->dispatched)
        {
            ++this->runs;
            this->ran_so_far = ran_state::unknown;
        }
        this->end_attempt(direct::request_outcome::cancelled);
    }
    this->current = std::move(kept.attempt);
    this->observation = kept.observation;
    this->last_endpoint = this->current->endpoint;
    this->set_timer();
}

void call::end_silent(direct::request_outcome how)
{
    if (!this->silent)
    {
        return;
    }
    auto const ended = std::move(this->silent->attempt);
    this->silent.reset();
    ++this->runs;
    this->ran_so_far = ran_state::yes;
    this->release(ended, how);
}

bool call::ends_silent(std::uint64_t number, net::exchange_result const& result)
{
    if (!this->is_silent(number))
    {
        return false;
    }
    auto const is_whole = result.end == net::exchange_end::whole &&
                          !is_broken_off(this->silent->attempt);
    if (is_whole)
    {
        this->return_to_silent();
        return false;
    }
    this->note_lost_answer(this->silent->attempt);
    this->end_silent(direct::request_outcome::faulty);
    return true;
}

} // namespace foxtailvale::gateway
