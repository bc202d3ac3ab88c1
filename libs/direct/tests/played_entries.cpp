#include "played_entries.hpp"

#include "played_callers.hpp"

#include <direct/attempt_limit.hpp>
#include <direct/placement.hpp>
#include <direct/retry.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Values of the entry process.
constexpr milliseconds connect_limit{400};
constexpr std::uint32_t most_attempts = 2;
constexpr retry_bound retry_limit{0.2, std::chrono::seconds(10), 104};

entry_count known_entries(simulation const& state)
{
    return {
        .max_seen = state.entries.size(), .known_since = base::time_point()};
}

// Spends a retry that arrives at once.
bool send_retry(simulation const& state, simulated_entry& entry)
{
    auto const granted = spend_retry(
        entry.retries, retry_limit, known_entries(state),
        earlier_attempts::settled, state.now);
    if (granted)
    {
        note_retry_arrived(entry.retries, *granted, state.now);
    }
    return granted.has_value();
}

placement_query placement(
    simulation const& state,
    simulated_entry const& entry,
    caller_request const& call)
{
    constexpr double cold_per_second = 36;
    constexpr double cold_tolerance = 5;
    placement_query query;
    query.service = service_name;
    query.model = model_name;
    query.own_domain = entry.domain;
    query.tried = call.tried;
    query.cold = {cold_per_second, cold_tolerance};
    query.entries =
        state.scenario.counted_entries.value_or(state.entries.size());
    if (call.is_resent)
    {
        query.depth = depth_for_expired_goal(state.costs.slots);
    }
    query.all_entries = &state.entry_names;
    query.own_entry = entry.name;
    query.version = call.answer_begun ? call.version : 0;
    query.expected = expected_time(
        state.costs, static_cast<std::uint64_t>(call.prompt),
        static_cast<std::uint64_t>(call.hint));
    return query;
}

queue_position position_of(caller_request const& call)
{
    return {call.is_resent, call.wait_until, call.number};
}

void leave_queue(simulation& state, caller_request& call)
{
    if (std::exchange(call.in_queue, false))
    {
        state.entries[call.entry].queue.erase(position_of(call));
    }
}

void wait_for_room(simulation& state, caller_request& call)
{
    call.in_queue = true;
    state.entries[call.entry].queue[position_of(call)] = call.number;
}

// The request's bytes arrive at the engine.
void reach_engine(
    simulation& state, std::size_t engine, simulated_request const& request)
{
    state.sent.at(request.number).arrived = state.now;
    arrive(state.engines[engine], request);
}

// Remaining time that the engine is sent; it counts from the arrival of the
// request's bytes.
base::duration time_left(caller_request const& call, base::time_point written)
{
    return call.sent_deadline - written;
}

void write_request(
    simulation& state,
    std::uint64_t number,
    std::uint64_t attempt,
    choice const& chosen)
{
    auto const found = state.callers.find(number);
    if (found == state.callers.end() || found->second.attempt != attempt)
    {
        return;
    }
    auto& call = found->second;
    auto const left = time_left(call, state.now);
    if (left <= base::duration::zero())
    {
        end_attempt(state, call, request_outcome::cancelled);
        after_failure(state, call, base::ran_state::no);
        return;
    }
    call.written = true;
    auto const engine = *call.engine;
    simulated_request request;
    request.number = attempt;
    request.version = chosen.version;
    request.to_read = call.prompt;
    request.to_write = call.answer;
    deliver(
        state, engine,
        [&state, engine, request, left]
        {
            auto read = request;
            read.deadline = state.now + left;
            reach_engine(state, engine, read);
        });
}

void send(
    simulation& state,
    simulated_entry& entry,
    caller_request& call,
    choice const& chosen)
{
    leave_queue(state, call);
    auto const& endpoint = *chosen.chosen;
    auto const number =
        static_cast<std::size_t>(std::stoul(endpoint.listed.id.substr(1)));
    ++call.sends;
    call.attempt = ++state.attempts;
    call.sent.push_back(call.attempt);
    call.tried.insert(endpoint.listed.id);
    call.version = chosen.version;
    call.engine = number;
    call.written = false;
    call.decided = state.now;
    call.sent_deadline = endpoint_deadline(chosen, call.deadline);
    call.last_byte = state.now;
    call.events = 0;
    state.sent[call.attempt] = {
        call.number,
        call.entry,
        number,
        work_at(
            endpoint,
            state.scenario.counted_entries.value_or(state.entries.size()),
            state.now),
        endpoint.report ? to_milliseconds(state.now - endpoint.reported)
                        : milliseconds(-1),
        state.now,
        {}};
    note_request_begun(entry.table, endpoint.listed.id, state.now);
    auto const late =
        state.scenario.one_late_write_in > 0 &&
        base::random_below(state.random, state.scenario.one_late_write_in) == 0;
    constexpr int usual_write = 2;
    auto const wait =
        late ? random_time(
                   state.random, 0, static_cast<int>(connect_limit.count()))
             : random_time(state.random, 0, usual_write);
    schedule(
        state, wait,
        [&state, chosen, caller = call.number, attempt = call.attempt]
        {
            write_request(state, caller, attempt, chosen);
        });
}

// Tries to place the request. Returns false if it has to wait.
bool place(simulation& state, caller_request& call)
{
    auto& entry = state.entries[call.entry];
    auto const chosen = choose(
        entry.table, placement(state, entry, call), state.now, entry.random);
    if (chosen.chosen != nullptr)
    {
        send(state, entry, call, chosen);
        return true;
    }
    if (chosen.why != no_endpoint_reason::none_listed)
    {
        return false;
    }
    leave_queue(state, call);
    fail(state, call);
    return true;
}

attempt_progress progress(simulation const& state, caller_request const& call)
{
    auto const& table = state.entries[call.entry].table;
    auto const& known = table.endpoints.at(id_of_engine(*call.engine));
    auto const is_resumed_without_event = call.answer_begun && call.events == 0;
    return {
        .repeats = routing::retry_safety::resumable,
        .streams = true,
        .goal = caller_goal,
        .gap_goal = caller_gap_goal,
        .runs = call.runs,
        .most_attempts = most_attempts,
        .events = call.events,
        .answer_begun = call.answer_begun,
        .begun = call.decided,
        .last_byte = call.last_byte,
        .caller_heard = call.last_heard,
        .lost = is_lost_for(known, call.answer_begun, state.now) ||
                is_resumed_without_event};
}

// Returns when the entry abandons the current attempt.
std::optional<base::time_point>
current_deadline(simulation const& state, caller_request const& call)
{
    return call.written ? attempt_deadline(progress(state, call))
                        : call.decided + connect_limit;
}

// Sends a stream that has fallen silent to another engine. The simulated entry
// does not keep the first attempt.
bool resume_elsewhere(simulation& state, caller_request& call)
{
    if (!is_resume_due(progress(state, call), state.now))
    {
        return false;
    }
    auto& entry = state.entries[call.entry];
    auto const chosen = choose(
        entry.table, placement(state, entry, call), state.now, entry.random);
    if (chosen.chosen == nullptr || !send_retry(state, entry))
    {
        return false;
    }
    end_attempt(state, call, request_outcome::faulty);
    ++call.runs;
    call.ran = base::ran_state::yes;
    send(state, entry, call, chosen);
    return true;
}

void check_timeout(simulation& state, caller_request& call)
{
    if (state.scenario.callers_leave &&
        state.now >= call.last_heard + caller_patience)
    {
        leave_queue(state, call);
        leave(state, call);
        return;
    }
    if (call.in_queue && state.now >= call.wait_until)
    {
        leave_queue(state, call);
        fail(state, call);
        return;
    }
    if (!call.engine)
    {
        return;
    }
    auto const ran =
        call.written ? base::ran_state::unknown : base::ran_state::no;
    if (state.now >= call.deadline)
    {
        auto const stalled = state.now - call.last_byte > stall_time;
        end_attempt(
            state, call,
            stalled ? request_outcome::faulty : request_outcome::cancelled);
        after_failure(state, call, ran);
        return;
    }
    if (resume_elsewhere(state, call))
    {
        return;
    }
    auto const limit = current_deadline(state, call);
    if (limit && state.now >= *limit)
    {
        end_attempt(
            state, call,
            call.written ? request_outcome::faulty
                         : request_outcome::not_connected);
        if (call.answer_begun && call.written)
        {
            fail(state, call);
            return;
        }
        after_failure(state, call, ran);
        return;
    }
    auto const begins_by = must_begin_by(
        state.entries[call.entry].table, model_name, call.version,
        call.sent_deadline);
    if (call.events == 0 && begins_by && state.now >= *begins_by)
    {
        end_attempt(state, call, request_outcome::cancelled);
        after_failure(state, call, ran);
    }
}

} // namespace

void end_attempt(
    simulation& state, caller_request& call, request_outcome outcome)
{
    auto& entry = state.entries[call.entry];
    auto const engine = *std::exchange(call.engine, std::nullopt);
    note_request_ended(entry.table, id_of_engine(engine), outcome, state.now);
    auto const attempt = std::exchange(call.attempt, 0);
    auto const closes = outcome == request_outcome::faulty ||
                        outcome == request_outcome::cancelled;
    if (closes && !state.scenario.ignores_close)
    {
        deliver(
            state, engine,
            [&state, engine, attempt]
            {
                cancel(state.engines[engine], attempt);
            });
    }
    serve_waiting(state, entry);
}

void after_failure(simulation& state, caller_request& call, base::ran_state ran)
{
    constexpr milliseconds more_wait{100};
    if (ran != base::ran_state::no)
    {
        ++call.runs;
        call.ran = ran;
    }
    retry_query const query{
        .repeats = routing::retry_safety::resumable,
        .ran = ran,
        .runs = call.runs,
        .most_attempts = most_attempts,
        .sends = call.sends,
        .answer_begun = call.answer_begun};
    auto& entry = state.entries[call.entry];
    if (call.deadline <= state.now || !is_retry_allowed(query) ||
        !send_retry(state, entry))
    {
        fail(state, call);
        return;
    }
    call.wait_until = std::min(
        call.deadline, std::max(call.wait_until, state.now + more_wait));
    if (!place(state, call))
    {
        wait_for_room(state, call);
    }
}

void admit(simulation& state, std::uint64_t number)
{
    auto& call = state.callers.at(number);
    auto& entry = state.entries[call.entry];
    call.arrived = state.now;
    call.wait_until = std::min(
        state.now + max_wait(caller_goal, entry.first_answer), call.deadline);
    note_request(entry.retries, state.now, state.now);
    auto const yields = call.is_resent && !entry.queue.empty();
    if (yields || !place(state, call))
    {
        wait_for_room(state, call);
    }
}

void serve_waiting(simulation& state, simulated_entry& entry)
{
    auto next = queue_position{};
    while (true)
    {
        auto const found = entry.queue.upper_bound(next);
        if (found == entry.queue.end())
        {
            return;
        }
        next = found->first;
        if (!place(state, state.callers.at(found->second)))
        {
            return;
        }
    }
}

void check_timeouts(simulation& state)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, call] : state.callers)
    {
        if (call.in_queue || call.engine)
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        auto const found = state.callers.find(number);
        if (found != state.callers.end())
        {
            check_timeout(state, found->second);
        }
    }
}

} // namespace foxtailvale::direct
