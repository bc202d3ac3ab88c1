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

// As the entry does it.
constexpr milliseconds connect_limit{400};
constexpr std::uint32_t most_attempts = 2;

placement_query placement(
    world const& state, played_entry const& entry, caller_request const& asked)
{
    constexpr double cold_per_second = 36;
    constexpr double cold_tolerance = 5;
    placement_query ask;
    ask.service = service_name;
    ask.model = model_name;
    ask.own_domain = entry.domain;
    ask.tried = asked.tried;
    ask.cold = {cold_per_second, cold_tolerance};
    ask.entries = state.course.counted_entries.value_or(state.entries.size());
    if (asked.returned)
    {
        ask.depth = depth_for_expired_goal(state.costs.slots);
    }
    ask.all_entries = &state.entry_names;
    ask.own_entry = entry.name;
    ask.version = asked.answer_begun ? asked.version : 0;
    ask.expected = expected_time(
        state.costs, static_cast<std::uint64_t>(asked.prompt),
        static_cast<std::uint64_t>(asked.hint));
    return ask;
}

line_place place_in_line(caller_request const& asked)
{
    return {asked.returned, asked.wait_until, asked.number};
}

void leave_line(world& state, caller_request& asked)
{
    if (std::exchange(asked.in_line, false))
    {
        state.entries[asked.entry].line.erase(place_in_line(asked));
    }
}

void wait_for_room(world& state, caller_request& asked)
{
    asked.in_line = true;
    state.entries[asked.entry].line[place_in_line(asked)] = asked.number;
}

// The request's bytes reach the engine.
void reach_engine(
    world& state, std::size_t engine, played_request const& request)
{
    state.sent.at(request.number).arrived = state.now;
    arrive(state.engines[engine], request);
}

// What the engine is told that it has left, counted from the arrival of the
// request's bytes.
base::duration
time_handed_on(caller_request const& asked, base::time_point written)
{
    return asked.handed - written;
}

void write_request(
    world& state,
    std::uint64_t number,
    std::uint64_t attempt,
    choice const& chosen)
{
    auto const found = state.callers.find(number);
    if (found == state.callers.end() || found->second.attempt != attempt)
    {
        return;
    }
    auto& asked = found->second;
    auto const left = time_handed_on(asked, state.now);
    if (left <= base::duration::zero())
    {
        end_attempt(state, asked, request_outcome::cancelled);
        after_failure(state, asked, base::ran_state::no);
        return;
    }
    asked.written = true;
    auto const engine = *asked.engine;
    played_request request;
    request.number = attempt;
    request.version = chosen.version;
    request.to_read = asked.prompt;
    request.to_write = asked.answer;
    reach(
        state, engine,
        [&state, engine, request, left]
        {
            auto read = request;
            read.deadline = state.now + left;
            reach_engine(state, engine, read);
        });
}

void send(
    world& state,
    played_entry& entry,
    caller_request& asked,
    choice const& chosen)
{
    leave_line(state, asked);
    auto const& endpoint = *chosen.chosen;
    auto const number =
        static_cast<std::size_t>(std::stoul(endpoint.listed.id.substr(1)));
    ++asked.sends;
    asked.attempt = ++state.attempts;
    asked.sent.push_back(asked.attempt);
    asked.tried.insert(endpoint.listed.id);
    asked.version = chosen.version;
    asked.engine = number;
    asked.written = false;
    asked.decided = state.now;
    asked.handed = endpoint_deadline(chosen, asked.deadline);
    asked.last_byte = state.now;
    asked.events = 0;
    state.sent[asked.attempt] = {
        asked.number,
        asked.entry,
        number,
        work_at(
            endpoint,
            state.course.counted_entries.value_or(state.entries.size()),
            state.now),
        endpoint.report ? rounded(state.now - endpoint.reported)
                        : milliseconds(-1),
        state.now,
        {}};
    note_request_begun(entry.book, endpoint.listed.id, state.now);
    auto const late =
        state.course.one_late_write_in > 0 &&
        base::random_below(state.random, state.course.one_late_write_in) == 0;
    constexpr int usual_write = 2;
    auto const wait =
        late ? random_time(
                   state.random, 0, static_cast<int>(connect_limit.count()))
             : random_time(state.random, 0, usual_write);
    later(
        state, wait,
        [&state, chosen, caller = asked.number, attempt = asked.attempt]
        {
            write_request(state, caller, attempt, chosen);
        });
}

// Tries to place the request; false when it is to wait.
bool place(world& state, caller_request& asked)
{
    auto& entry = state.entries[asked.entry];
    auto const chosen = choose(
        entry.book, placement(state, entry, asked), state.now, entry.random);
    if (chosen.chosen != nullptr)
    {
        send(state, entry, asked, chosen);
        return true;
    }
    if (chosen.why != no_endpoint_reason::none_listed)
    {
        return false;
    }
    leave_line(state, asked);
    fail(state, asked);
    return true;
}

// When the entry gives the attempt up.
std::optional<base::time_point>
attempt_limit(world const& state, caller_request const& asked)
{
    if (!asked.written)
    {
        return asked.decided + connect_limit;
    }
    auto const& book = state.entries[asked.entry].book;
    auto const& known = book.endpoints.at(id_of_engine(*asked.engine));
    return attempt_deadline(
        {.repeats = routing::retry_safety::resumable,
         .streams = true,
         .goal = caller_goal,
         .gap_goal = caller_gap_goal,
         .runs = asked.runs,
         .most_attempts = most_attempts,
         .events = asked.events,
         .begun = asked.decided,
         .last_byte = asked.last_byte,
         .caller_heard = asked.last_heard,
         .lost = is_lost(known, state.now)});
}

void watch_time(world& state, caller_request& asked)
{
    if (state.course.callers_leave &&
        state.now >= asked.last_heard + caller_patience)
    {
        leave_line(state, asked);
        leave(state, asked);
        return;
    }
    if (asked.in_line && state.now >= asked.wait_until)
    {
        leave_line(state, asked);
        fail(state, asked);
        return;
    }
    if (!asked.engine)
    {
        return;
    }
    auto const ran =
        asked.written ? base::ran_state::unknown : base::ran_state::no;
    if (state.now >= asked.deadline)
    {
        auto const silent = state.now - asked.last_byte > stall_time;
        end_attempt(
            state, asked, silent ? request_outcome::faulty : request_outcome::cancelled);
        after_failure(state, asked, ran);
        return;
    }
    auto const limit = attempt_limit(state, asked);
    if (limit && state.now >= *limit)
    {
        end_attempt(
            state, asked,
            asked.written ? request_outcome::faulty : request_outcome::not_connected);
        after_failure(state, asked, ran);
        return;
    }
    auto const begins_by = must_begin_by(
        state.entries[asked.entry].book, model_name, asked.version,
        asked.handed);
    if (asked.events == 0 && begins_by && state.now >= *begins_by)
    {
        end_attempt(state, asked, request_outcome::cancelled);
        after_failure(state, asked, ran);
    }
}

} // namespace

void end_attempt(world& state, caller_request& asked, request_outcome how)
{
    auto& entry = state.entries[asked.entry];
    auto const engine = *std::exchange(asked.engine, std::nullopt);
    note_request_ended(entry.book, id_of_engine(engine), how, state.now);
    auto const attempt = std::exchange(asked.attempt, 0);
    auto const closes = how == request_outcome::faulty || how == request_outcome::cancelled;
    if (closes && !state.course.ignores_close)
    {
        reach(
            state, engine,
            [&state, engine, attempt]
            {
                drop(state.engines[engine], attempt);
            });
    }
    serve_waiting(state, entry);
}

void after_failure(world& state, caller_request& asked, base::ran_state ran)
{
    constexpr retry_bound bound{0.2, std::chrono::seconds(10), 104};
    constexpr milliseconds more_wait{100};
    if (ran != base::ran_state::no)
    {
        ++asked.runs;
        asked.ran = ran;
    }
    retry_query const ask{
        .repeats = routing::retry_safety::resumable,
        .ran = ran,
        .runs = asked.runs,
        .most_attempts = most_attempts,
        .sends = asked.sends,
        .answer_begun = asked.answer_begun};
    auto& entry = state.entries[asked.entry];
    if (asked.deadline <= state.now || !is_retry_allowed(ask) ||
        !spend_retry(entry.repeats, bound, state.entries.size(), state.now))
    {
        fail(state, asked);
        return;
    }
    asked.wait_until = std::min(
        asked.deadline, std::max(asked.wait_until, state.now + more_wait));
    if (!place(state, asked))
    {
        wait_for_room(state, asked);
    }
}

void admit(world& state, std::uint64_t number)
{
    auto& asked = state.callers.at(number);
    auto& entry = state.entries[asked.entry];
    asked.arrived = state.now;
    asked.wait_until = std::min(
        state.now + max_wait(caller_goal, entry.first_answer),
        asked.deadline);
    note_request(entry.repeats, state.now);
    auto const stands_back = asked.returned && !entry.line.empty();
    if (stands_back || !place(state, asked))
    {
        wait_for_room(state, asked);
    }
}

void serve_waiting(world& state, played_entry& entry)
{
    auto next = line_place{};
    while (true)
    {
        auto const found = entry.line.upper_bound(next);
        if (found == entry.line.end())
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

void watch_times(world& state)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, asked] : state.callers)
    {
        if (asked.in_line || asked.engine)
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        auto const found = state.callers.find(number);
        if (found != state.callers.end())
        {
            watch_time(state, found->second);
        }
    }
}

} // namespace foxtailvale::direct
