#include "call.hpp"

#include <direct/attempt_limit.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using base::ran_state;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// At any time the endpoint may be lost or its version retired, which moves the
// limits of an attempt forward, or another endpoint may have room.
constexpr milliseconds recheck_interval{150};

} // namespace

milliseconds call::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(
        this->deadline - clock::now());
}

void call::set_timer()
{
    auto next = this->deadline;
    if (this->is_queued)
    {
        next = std::min(next, this->wait_until);
        if (this->room_at && *this->room_at > clock::now())
        {
            next = std::min(next, *this->room_at);
        }
    }
    if (this->current)
    {
        next = std::min(next, this->next_check());
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

base::time_point call::next_check() const
{
    auto next = clock::now() + recheck_interval;
    if (auto const limit = this->attempt_limit())
    {
        next = std::min(next, *limit);
    }
    if (auto const limit = this->start_limit())
    {
        next = std::min(next, *limit);
    }
    return next;
}

void call::on_timer()
{
    auto const now = clock::now();
    if (this->is_queued && now >= this->wait_until)
    {
        this->end_wait();
        return;
    }
    if (this->is_queued)
    {
        // An endpoint's rest, or the time between two requests to it, is over.
        serve_waiting(*this->context, this->service_name);
        if (this->is_queued)
        {
            this->set_timer();
        }
        return;
    }
    if (!this->current)
    {
        this->set_timer();
        return;
    }
    if (this->current->waits_for_caller)
    {
        // The caller is slow, not the endpoint.
        this->current->last_byte = now;
        direct::note_heard(this->context->book, this->current->endpoint, now);
    }
    if (now >= this->deadline)
    {
        this->end_at_deadline(now);
        return;
    }
    if (this->resume_elsewhere(now))
    {
        return;
    }
    if (!this->end_at_limit(now))
    {
        this->set_timer();
    }
}

void call::end_at_deadline(base::time_point now)
{
    auto const ran =
        this->current->dispatched ? ran_state::unknown : ran_state::no;
    // An endpoint that sent nothing for the stall time before the deadline
    // counts as faulty; one that was still sending does not.
    auto const is_stalled = now - this->current->last_byte > direct::stall_time;
    this->end_silent(direct::request_outcome::faulty);
    this->end_attempt(
        is_stalled ? direct::request_outcome::faulty
                   : direct::request_outcome::cancelled);
    this->after_failure(ran, "time is up");
}

bool call::end_at_limit(base::time_point now)
{
    auto const connected = this->current->dispatched.has_value();
    auto const ran = connected ? ran_state::unknown : ran_state::no;
    auto const limit = this->attempt_limit();
    if (limit && now >= *limit)
    {
        this->end_attempt(
            connected ? direct::request_outcome::faulty
                      : direct::request_outcome::not_connected);
        this->after_silence(ran);
        return true;
    }
    auto const start_by = this->start_limit();
    if (start_by && now >= *start_by)
    {
        this->end_attempt(direct::request_outcome::cancelled);
        this->after_failure(
            ran, "version was retired before the request started");
        return true;
    }
    return false;
}

direct::attempt_progress call::progress() const
{
    auto const& running_attempt = *this->current;
    auto const& chosen = *this->allowed.chosen;
    auto const now = clock::now();
    // A caller that has not read what it was sent waits for nothing.
    auto const caller_heard =
        running_attempt.waits_for_caller
            ? now
            : this->last_forwarded.value_or(this->arrived);
    direct::attempt_progress state{
        .repeats = this->repeats,
        .streams = chosen.streams,
        .goal = chosen.goal,
        .gap_goal = chosen.gap_goal,
        .runs = this->runs,
        // A retry would not end before the process does.
        .most_attempts =
            this->is_too_late() ? this->runs + 1 : this->most_attempts,
        .events = running_attempt.events_sent,
        .answer_begun = this->answer_begun,
        .begun = running_attempt.begun,
        .last_byte = running_attempt.last_byte,
        .caller_heard = caller_heard};
    auto const& known = this->context->book.endpoints;
    auto const found = known.find(running_attempt.endpoint);
    // While a silent attempt is kept, the other endpoint has sent nothing
    // either.
    state.lost = this->silent || found == known.end() ||
                 direct::is_lost_for(found->second, this->answer_begun, now);
    return state;
}

std::optional<base::time_point> call::attempt_limit() const
{
    return this->current->connection->is_open()
               ? direct::attempt_deadline(this->progress())
               : this->current->begun + connect_limit;
}

std::optional<base::time_point> call::start_limit() const
{
    if (!this->service->engine || this->current->facts.head_seen)
    {
        return std::nullopt;
    }
    return direct::must_begin_by(
        this->context->book, this->parsed.model, this->version,
        this->current->endpoint_deadline);
}

} // namespace foxtailvale::gateway
