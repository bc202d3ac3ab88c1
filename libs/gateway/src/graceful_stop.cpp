#include "graceful_stop.hpp"

#include "call.hpp"

#include <kernel/events.hpp>

#include <utility>
#include <vector>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// The load balancer checks readiness once a second and removes an entry after
// two failed checks; until then it still opens new connections.
constexpr milliseconds balancer_drain_time{2600};

// Reserved at the end of the time that the platform grants for shutdown. That
// time began with the signal, which is handled later where the loop is late.
constexpr milliseconds flush_time{550};

// The part of it in which the last answers are written.
constexpr milliseconds write_time{150};

// A connection that callers use is closed with an answer, which says so: a
// close may cross a request.
constexpr milliseconds quiet_time{1000};

constexpr milliseconds poll_interval{50};
constexpr milliseconds write_poll_interval{10};
constexpr milliseconds report_interval{1000};

struct open_requests
{
    // No endpoint has the request.
    std::size_t waiting = 0;
    // An endpoint has it and its answer has not begun.
    std::size_t sent = 0;
    // The caller has a part of the answer.
    std::size_t answering = 0;
};

// Requests end others, so that the set changes while it is walked.
std::vector<std::shared_ptr<call>> open_calls(entry_context const& context)
{
    std::vector<std::shared_ptr<call>> found;
    for (auto* open : context.open_calls)
    {
        found.push_back(open->shared_from_this());
    }
    return found;
}

open_requests count_open(entry_context const& context)
{
    open_requests counted;
    for (auto const* open : context.open_calls)
    {
        switch (open->state())
        {
        case call_state::waiting:
            ++counted.waiting;
            break;
        case call_state::sent:
            ++counted.sent;
            break;
        case call_state::answering:
            ++counted.answering;
            break;
        }
    }
    return counted;
}

nlohmann::json
open_fields(entry_context const& context, net::http_server const& callers)
{
    auto const requests = count_open(context);
    auto const sessions = callers.count_sessions();
    auto const since = clock::now() - context.stop->began;
    return {
        {"stop_ms", std::chrono::duration_cast<milliseconds>(since).count()},
        {"waiting", requests.waiting},
        {"sent", requests.sent},
        {"answering", requests.answering},
        {"reading", sessions.reading},
        {"writing", sessions.writing},
        {"idle", sessions.idle},
        {"closing", sessions.lingering}};
}

void export_open(entry_context& context, nlohmann::json const& fields)
{
    for (auto const* state :
         {"waiting", "sent", "answering", "reading", "writing", "idle"})
    {
        context.counters.gauge(
            "foxtailvale_stop_open", {{"state", state}},
            fields.at(state).get<double>());
    }
}

} // namespace

graceful_stop::graceful_stop(
    std::shared_ptr<entry_context> shared,
    std::shared_ptr<net::http_server> callers)
    : context(std::move(shared)), caller_server(std::move(callers)),
      timer(this->context->loop)
{
}

void graceful_stop::begin()
{
    if (this->context->stop)
    {
        return;
    }
    auto const now = clock::now();
    auto const granted = this->context->settings.promised.stop;
    this->context->stop = {
        now, now + balancer_drain_time, now + granted - flush_time};
    this->next_report = now + report_interval;
    auto fields = open_fields(*this->context, *this->caller_server);
    fields["granted_ms"] = granted.count();
    export_open(*this->context, fields);
    kernel::log_event(kernel::event_id::process_stopping, std::move(fields));
    this->caller_server->announce_close();
    this->await_drain();
}

void graceful_stop::await_drain()
{
    auto const now = clock::now();
    auto const& stop = *this->context->stop;
    this->refuse_late();
    if (now >= stop.rerouted)
    {
        this->caller_server->stop_accepting();
        this->caller_server->close_idle(quiet_time);
        if (this->caller_server->open_sessions() == 0)
        {
            this->end();
            return;
        }
    }
    if (now >= stop.ends)
    {
        this->end_requests();
        return;
    }
    this->report_progress();
    this->after(poll_interval, &graceful_stop::await_drain);
}

void graceful_stop::refuse_late()
{
    for (auto const& open : open_calls(*this->context))
    {
        open->refuse_if_too_late();
    }
}

void graceful_stop::report_progress()
{
    auto const now = clock::now();
    if (now < this->next_report)
    {
        return;
    }
    this->next_report = now + report_interval;
    auto fields = open_fields(*this->context, *this->caller_server);
    export_open(*this->context, fields);
    kernel::log_event(kernel::event_id::process_draining, std::move(fields));
}

void graceful_stop::report_unsent()
{
    for (auto const& answer : this->caller_server->unsent_answers())
    {
        this->context->counters.count("foxtailvale_answers_unsent_total", {});
        kernel::log_event(
            kernel::event_id::answer_unsent,
            {{"request", answer.request}, {"bytes", answer.bytes}});
    }
}

void graceful_stop::end_requests()
{
    auto const open = open_calls(*this->context);
    this->ended_requests = open.size();
    for (auto const& left : open)
    {
        left->end_by_stop();
    }
    this->caller_server->refuse_unfinished();
    this->caller_server->close_idle(milliseconds(0));
    this->await_written();
}

void graceful_stop::await_written()
{
    auto const written_by = this->context->stop->ends + write_time;
    if (this->caller_server->open_sessions() == 0 || clock::now() >= written_by)
    {
        this->end();
        return;
    }
    this->after(write_poll_interval, &graceful_stop::await_written);
}

void graceful_stop::end()
{
    this->caller_server->stop_accepting();
    auto fields = open_fields(*this->context, *this->caller_server);
    fields["cut"] = this->ended_requests;
    this->report_unsent();
    kernel::log_event(kernel::event_id::process_stopped, std::move(fields));
    this->context->loop.stop();
}

void graceful_stop::after(milliseconds time, void (graceful_stop::*next)())
{
    this->timer.expires_after(time);
    this->timer.async_wait(
        [self = this->shared_from_this(), next](boost::system::error_code error)
        {
            if (!error)
            {
                (self.get()->*next)();
            }
        });
}

} // namespace foxtailvale::gateway
