#include "flows.hpp"

// Requests that wait for an endpoint with room. They arise when demand exceeds
// the endpoints, in bursts, and in the seconds during which a version or a
// failure domain changes.
namespace foxtailvale::entry_core
{

namespace
{

// How long requests wait when no endpoint serves them: the time until a
// restarted agent, or an engine that changes its version, is heard again.
// Requests for a model that no endpoint has served are refused at once.
constexpr std::chrono::milliseconds unservable_timeout{3000};

std::string pool_name(caller_request const& request)
{
    return request.model.empty() ? "service/" + request.service
                                 : "model/" + request.model;
}

scheduling::waiting_request
to_waiting_request(state const& state, open_request const& open)
{
    scheduling::waiting_request waiting;
    waiting.id = open.request.caller;
    waiting.priority = open.request.priority;
    waiting.deadline = open.deadline;
    auto const& declared = state.control.configuration.workspaces;
    auto const workspace = declared.find(open.request.workspace);
    // Callers can invent workspace names. All undeclared ones share one queue;
    // otherwise a caller could get a new share with each request.
    if (workspace != declared.end())
    {
        waiting.workspace = open.request.workspace;
        waiting.weight = workspace->second.weight;
    }
    return waiting;
}

bool may_wait(request_pool const& pool, base::time_point now)
{
    return pool.last_servable && now - *pool.last_servable < unservable_timeout;
}

void note_servable(
    state const& state,
    request_pool& pool,
    open_request const& open,
    base::time_point now)
{
    if (is_servable(state, open))
    {
        pool.last_servable = now;
    }
}

void refuse_waiting(
    state& state,
    caller_handle caller,
    base::error error,
    base::time_point now,
    actions& out)
{
    auto const open = state.requests.open.find(caller);
    if (open != state.requests.open.end())
    {
        end_with_error(state, open->second, std::move(error), now, out);
    }
}

void resume_streams(
    state& state, request_pool& pool, base::time_point now, actions& out)
{
    auto const waiting = pool.resuming_streams;
    for (auto const caller : waiting)
    {
        auto& open = state.requests.open.at(caller);
        if (place(state, open, now, out))
        {
            pool.resuming_streams.erase(caller);
        }
        else if (!is_servable(state, open))
        {
            end_with_error(
                state, open,
                {base::error_kind::endpoint_lost, "no endpoint of its version"},
                now, out);
        }
    }
}

void serve_pool(
    state& state, request_pool& pool, base::time_point now, actions& out)
{
    resume_streams(state, pool, now, out);
    while (auto const waiting = scheduling::next(pool.queue))
    {
        auto& open = state.requests.open.at(waiting->id);
        note_servable(state, pool, open, now);
        if (!place(state, open, now, out))
        {
            return;
        }
        scheduling::start(pool.queue, *waiting, now);
    }
}

// Refuses all queued requests of a pool that no endpoint has served for too
// long.
void refuse_unservable(
    state& state, request_pool& pool, base::time_point now, actions& out)
{
    while (auto const waiting = scheduling::next(pool.queue))
    {
        auto const& open = state.requests.open.at(waiting->id);
        note_servable(state, pool, open, now);
        if (may_wait(pool, now))
        {
            return;
        }
        refuse_waiting(
            state, waiting->id, {base::error_kind::no_endpoint, {}}, now, out);
    }
}

} // namespace

request_pool& pool_of(state& state, open_request const& open)
{
    return state.requests.pools[pool_name(open.request)];
}

void leave_queue(state& state, open_request const& open)
{
    if (open.stage == request_stage::waiting)
    {
        pool_of(state, open).resuming_streams.erase(open.request.caller);
        scheduling::withdraw(
            pool_of(state, open).queue, to_waiting_request(state, open));
    }
}

void admit(state& state, open_request& open, base::time_point now, actions& out)
{
    auto& pool = pool_of(state, open);
    open.stage = request_stage::waiting;
    note_servable(state, pool, open, now);
    // Queued requests are not overtaken.
    if (pool.queue.size == 0 && place(state, open, now, out))
    {
        scheduling::start(pool.queue, to_waiting_request(state, open), now);
        return;
    }
    if (!may_wait(pool, now))
    {
        end_with_error(
            state, open, {base::error_kind::no_endpoint, {}}, now, out);
        return;
    }
    auto const admission =
        scheduling::arrive(pool.queue, to_waiting_request(state, open), now);
    if (admission.evicted)
    {
        refuse_waiting(
            state, *admission.evicted, {base::error_kind::queue_full, {}}, now,
            out);
    }
    if (admission.refused)
    {
        end_with_error(state, open, {*admission.refused, {}}, now, out);
    }
}

void requeue(
    state& state, open_request& open, base::time_point now, actions& out)
{
    auto& pool = pool_of(state, open);
    open.stage = request_stage::waiting;
    open.tried.clear();
    note_servable(state, pool, open, now);
    if (!may_wait(pool, now))
    {
        end_with_error(
            state, open, {base::error_kind::no_endpoint, {}}, now, out);
        return;
    }
    scheduling::requeue(pool.queue, to_waiting_request(state, open));
    serve_pool(state, pool, now, out);
}

bool wait_to_resume(state& state, open_request& open)
{
    open.stage = request_stage::waiting;
    open.tried.clear();
    if (!is_servable(state, open))
    {
        return false;
    }
    pool_of(state, open).resuming_streams.insert(open.request.caller);
    return true;
}

void serve_waiting(state& state, base::time_point now, actions& out)
{
    for (auto& [name, pool] : state.requests.pools)
    {
        serve_pool(state, pool, now, out);
    }
}

void refuse_unreachable_deadlines(
    state& state, base::time_point now, actions& out)
{
    for (auto& [name, pool] : state.requests.pools)
    {
        for (auto const caller : scheduling::withdraw_late(pool.queue, now))
        {
            refuse_waiting(
                state, caller, {base::error_kind::deadline_unreachable, {}},
                now, out);
        }
        refuse_unservable(state, pool, now, out);
    }
}

} // namespace foxtailvale::entry_core
