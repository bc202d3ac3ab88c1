#include "played_answers.hpp"

#include "played_callers.hpp"
#include "played_entries.hpp"

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Checks that a version retires 8 s after the next one was announced.
void check_start(
    simulation& state,
    std::size_t engine,
    std::uint64_t attempt,
    std::uint64_t version)
{
    auto const& sent = state.sent.at(attempt);
    if (sent.report_age >= milliseconds(0) && sent.work < state.costs.slots)
    {
        auto const waited = to_milliseconds(state.now - sent.arrived);
        state.outcome.max_wait_with_slot =
            std::max(state.outcome.max_wait_with_slot, waited);
    }
    auto const& announced_at = state.scenario.announced_at;
    auto const next = version - 1;
    if (next >= announced_at.size() || state.now < start + announced_at[next])
    {
        return;
    }
    auto const end = start + announced_at[next] + version_bound;
    auto& outcome = state.outcome;
    ++outcome.begun_on_older;
    outcome.min_time_left =
        std::min(outcome.min_time_left, to_milliseconds(end - state.now));
    if (state.now <= end)
    {
        return;
    }
    outcome.late.push_back(
        {sent.entry, engine, version, sent.work, sent.report_age,
         to_milliseconds(sent.decided - end),
         to_milliseconds(sent.arrived - end),
         to_milliseconds(state.now - end)});
}

void take_first_event(simulation& state, caller_request& call)
{
    if (std::exchange(call.answer_begun, true))
    {
        return;
    }
    call.first_event = state.now;
    if (call.sends == 1)
    {
        scheduling::note(
            state.entries[call.entry].first_answer,
            std::chrono::duration_cast<std::chrono::microseconds>(
                state.now - call.decided));
    }
}

void handle_event(simulation& state, engine_event const& event)
{
    auto const& sent = state.sent.at(event.number);
    auto const found = state.callers.find(sent.caller);
    if (found == state.callers.end() || found->second.attempt != event.number)
    {
        return;
    }
    auto& call = found->second;
    call.last_byte = state.now;
    note_heard(
        state.entries[call.entry].table, id_of_engine(sent.engine), state.now);
    switch (event.kind)
    {
    case engine_event_kind::began:
        ++call.events;
        call.last_heard = state.now;
        take_first_event(state, call);
        return;
    case engine_event_kind::wrote:
        ++call.events;
        call.last_heard = state.now;
        return;
    case engine_event_kind::answered:
        end_attempt(state, call, request_outcome::answered);
        end_request(state, sent.caller, final_outcome::answered);
        return;
    case engine_event_kind::declined:
        end_attempt(state, call, request_outcome::declined);
        after_failure(state, call, base::ran_state::no);
        return;
    case engine_event_kind::misdirected:
        end_attempt(state, call, request_outcome::misdirected);
        after_failure(state, call, base::ran_state::no);
        return;
    case engine_event_kind::stopped:
        end_attempt(state, call, request_outcome::faulty);
        after_failure(state, call, base::ran_state::yes);
        return;
    }
}

void list_version(simulation& state, std::size_t number)
{
    constexpr int least = 400;
    constexpr int most = 1300;
    auto const version = state.engines[number].version;
    for (auto& entry : state.entries)
    {
        schedule(
            state, random_time(state.random, least, most),
            [&state, &entry, number, version]
            {
                auto record =
                    entry.table.endpoints.at(id_of_engine(number)).listed;
                record.weights.version =
                    std::max(record.weights.version, version);
                put(entry.table, std::move(record));
                serve_waiting(state, entry);
            });
    }
}

} // namespace

void resume(simulation& state, std::size_t number)
{
    if (!state.paused.contains(number) ||
        is_affected(state.scenario.engine_pauses, number, state.now))
    {
        return;
    }
    auto const paused = state.paused.extract(number).mapped();
    if (!state.scenario.works_while_paused)
    {
        return;
    }
    for (auto at = paused; at < state.now; at += wire_time)
    {
        work(state.engines[number], at);
    }
}

void work_engine(simulation& state, std::size_t number)
{
    auto& engine = state.engines[number];
    if (is_affected(state.scenario.engine_pauses, number, state.now))
    {
        state.paused.try_emplace(number, state.now);
        return;
    }
    auto const before = engine.version;
    engine.slowdown = is_affected(state.scenario.slow, number, state.now)
                          ? state.scenario.slowdown
                          : 1;
    work(engine, state.now);
    auto const pending = std::exchange(engine.pending, {});
    for (auto const& event : pending)
    {
        check_work_after_leaving(state, event);
        if (event.kind == engine_event_kind::began)
        {
            check_start(state, number, event.number, event.version);
        }
        schedule(
            state, wire_time,
            [&state, event]
            {
                handle_event(state, event);
            });
    }
    if (engine.version != before)
    {
        list_version(state, number);
    }
}

} // namespace foxtailvale::direct
