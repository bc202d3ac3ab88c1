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

// The check: a version's time ends 8 s after the next one was named.
void check_beginning(
    world& state,
    std::size_t engine,
    std::uint64_t attempt,
    std::uint64_t version)
{
    auto const& sent = state.sent.at(attempt);
    if (sent.report_age >= milliseconds(0) && sent.work < state.costs.slots)
    {
        auto const waited = rounded(state.now - sent.arrived);
        state.outcome.longest_with_slot =
            std::max(state.outcome.longest_with_slot, waited);
    }
    auto const& named = state.course.named;
    auto const next = version - 1;
    if (next >= named.size() || state.now < start + named[next])
    {
        return;
    }
    auto const end = start + named[next] + version_bound;
    auto& outcome = state.outcome;
    ++outcome.begun_on_older;
    outcome.least_left = std::min(outcome.least_left, rounded(end - state.now));
    if (state.now <= end)
    {
        return;
    }
    outcome.late.push_back(
        {sent.entry, engine, version, sent.work, sent.report_age,
         rounded(sent.decided - end), rounded(sent.arrived - end),
         rounded(state.now - end)});
}

void take_first_event(world& state, caller_request& asked)
{
    if (std::exchange(asked.answer_begun, true))
    {
        return;
    }
    asked.first_event = state.now;
    if (asked.sends == 1)
    {
        request::note(
            state.entries[asked.entry].first_answer,
            std::chrono::duration_cast<std::chrono::microseconds>(
                state.now - asked.decided));
    }
}

void hear(world& state, engine_event const& event)
{
    auto const& sent = state.sent.at(event.number);
    auto const found = state.callers.find(sent.caller);
    if (found == state.callers.end() || found->second.attempt != event.number)
    {
        return;
    }
    auto& asked = found->second;
    asked.last_byte = state.now;
    note_heard(
        state.entries[asked.entry].book, id_of_engine(sent.engine), state.now);
    switch (event.word)
    {
    case engine_word::began:
        ++asked.events;
        asked.last_heard = state.now;
        take_first_event(state, asked);
        return;
    case engine_word::wrote:
        ++asked.events;
        asked.last_heard = state.now;
        return;
    case engine_word::answered:
        end_attempt(state, asked, request_outcome::answered);
        end_request(state, sent.caller, final_word::answered);
        return;
    case engine_word::declined:
        end_attempt(state, asked, request_outcome::declined);
        after_failure(state, asked, base::ran_state::no);
        return;
    case engine_word::misdirected:
        end_attempt(state, asked, request_outcome::misdirected);
        after_failure(state, asked, base::ran_state::no);
        return;
    case engine_word::stopped:
        end_attempt(state, asked, request_outcome::faulty);
        after_failure(state, asked, base::ran_state::yes);
        return;
    }
}

void list_version(world& state, std::size_t number)
{
    constexpr int least = 400;
    constexpr int most = 1300;
    auto const version = state.engines[number].version;
    for (auto& entry : state.entries)
    {
        later(
            state, random_time(state.random, least, most),
            [&state, &entry, number, version]
            {
                auto record =
                    entry.book.endpoints.at(id_of_engine(number)).listed;
                record.weights.version =
                    std::max(record.weights.version, version);
                put(entry.book, std::move(record));
                serve_waiting(state, entry);
            });
    }
}

} // namespace

void go_on(world& state, std::size_t number)
{
    if (!state.paused.contains(number) ||
        is_hit(state.course.engine_pauses, number, state.now))
    {
        return;
    }
    auto const paused = state.paused.extract(number).mapped();
    if (!state.course.works_unheard)
    {
        return;
    }
    for (auto at = paused; at < state.now; at += wire_time)
    {
        work(state.engines[number], at);
    }
}

void work_engine(world& state, std::size_t number)
{
    auto& engine = state.engines[number];
    if (is_hit(state.course.engine_pauses, number, state.now))
    {
        state.paused.try_emplace(number, state.now);
        return;
    }
    auto const before = engine.version;
    engine.slowness = is_hit(state.course.slow, number, state.now)
                          ? state.course.slowness
                          : 1;
    work(engine, state.now);
    auto const said = std::exchange(engine.said, {});
    for (auto const& event : said)
    {
        note_word(state, event);
        if (event.word == engine_word::began)
        {
            check_beginning(state, number, event.number, event.version);
        }
        later(
            state, wire_time,
            [&state, event]
            {
                hear(state, event);
            });
    }
    if (engine.version != before)
    {
        list_version(state, number);
    }
}

} // namespace foxtailvale::direct
