#include "flows.hpp"

// Requests that wait for room. The load: more demand than endpoints, bursts,
// and the seconds of a version or failure domain change.
namespace foxtailvale::entry_core
{

namespace
{

// How long requests wait for an endpoint when none serves them: as long as a
// restarted agent or an engine that changes its version takes to be heard
// again. A model that nobody serves is refused at once.
constexpr std::chrono::milliseconds unserved_patience{3000};

std::string pool_name(caller_request const& request)
{
    return request.model.empty() ? "service/" + request.service
                                 : "model/" + request.model;
}

request::waiting_request
as_waiting(state const& state, open_request const& open)
{
    request::waiting_request waiting;
    waiting.id = open.request.caller;
    waiting.priority = open.request.priority;
    waiting.deadline = open.deadline;
    auto const& declared = state.control.configuration.workspaces;
    auto const workspace = declared.find(open.request.workspace);
    // Callers can make up names; all that were never declared share one line,
    // or somebody could have a new share with each request.
    if (workspace != declared.end())
    {
        waiting.workspace = open.request.workspace;
        waiting.weight = workspace->second.weight;
    }
    return waiting;
}

bool may_wait(request_pool const& pool, base::time_point now)
{
    return pool.last_served && now - *pool.last_served < unserved_patience;
}

void note_served(
    state const& state,
    request_pool& pool,
    open_request const& open,
    base::time_point now)
{
    if (is_served(state, open))
    {
        pool.last_served = now;
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
    auto const waiting = pool.resuming;
    for (auto const caller : waiting)
    {
        auto& open = state.requests.open.at(caller);
        if (place(state, open, now, out))
        {
            pool.resuming.erase(caller);
        }
        else if (!is_served(state, open))
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
    while (auto const waiting = request::next(pool.queue))
    {
        auto& open = state.requests.open.at(waiting->id);
        note_served(state, pool, open, now);
        if (!place(state, open, now, out))
        {
            return;
        }
        request::start(pool.queue, *waiting, now);
    }
}

// Nobody has served the pool for too long: all that wait are told at once.
void refuse_unserved(
    state& state, request_pool& pool, base::time_point now, actions& out)
{
    while (auto const waiting = request::next(pool.queue))
    {
        auto const& open = state.requests.open.at(waiting->id);
        note_served(state, pool, open, now);
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
        pool_of(state, open).resuming.erase(open.request.caller);
        request::withdraw(pool_of(state, open).queue, as_waiting(state, open));
    }
}

void admit(state& state, open_request& open, base::time_point now, actions& out)
{
    auto& pool = pool_of(state, open);
    open.stage = request_stage::waiting;
    note_served(state, pool, open, now);
    // Nobody overtakes those who wait.
    if (pool.queue.size == 0 && place(state, open, now, out))
    {
        request::start(pool.queue, as_waiting(state, open), now);
        return;
    }
    if (!may_wait(pool, now))
    {
        end_with_error(
            state, open, {base::error_kind::no_endpoint, {}}, now, out);
        return;
    }
    auto const came = request::arrive(pool.queue, as_waiting(state, open), now);
    if (came.evicted)
    {
        refuse_waiting(
            state, *came.evicted, {base::error_kind::queue_full, {}}, now,
            out);
    }
    if (came.refused)
    {
        end_with_error(state, open, {*came.refused, {}}, now, out);
    }
}

void readmit(
    state& state, open_request& open, base::time_point now, actions& out)
{
    auto& pool = pool_of(state, open);
    open.stage = request_stage::waiting;
    open.tried.clear();
    note_served(state, pool, open, now);
    if (!may_wait(pool, now))
    {
        end_with_error(
            state, open, {base::error_kind::no_endpoint, {}}, now, out);
        return;
    }
    request::requeue(pool.queue, as_waiting(state, open));
    serve_pool(state, pool, now, out);
}

bool wait_to_resume(state& state, open_request& open)
{
    open.stage = request_stage::waiting;
    open.tried.clear();
    if (!is_served(state, open))
    {
        return false;
    }
    pool_of(state, open).resuming.insert(open.request.caller);
    return true;
}

void serve_waiting(state& state, base::time_point now, actions& out)
{
    for (auto& [name, pool] : state.requests.pools)
    {
        serve_pool(state, pool, now, out);
    }
}

void refuse_late(state& state, base::time_point now, actions& out)
{
    for (auto& [name, pool] : state.requests.pools)
    {
        for (auto const caller : request::withdraw_late(pool.queue, now))
        {
            refuse_waiting(
                state, caller, {base::error_kind::deadline_unreachable, {}},
                now, out);
        }
        refuse_unserved(state, pool, now, out);
    }
}

} // namespace foxtailvale::entry_core
