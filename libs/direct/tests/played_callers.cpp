#include "played_callers.hpp"

#include "played_entries.hpp"

#include <algorithm>
#include <cmath>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds caller_time{6000};

// Whether the engine has read the attempt, not ended it, and would work on it
// for long enough to be asked about.
bool is_at_work(world const& state, std::uint64_t attempt)
{
    auto const& engine = state.engines[state.sent.at(attempt).engine];
    auto const is_it = [attempt](played_request const& request)
    {
        return request.number == attempt;
    };
    if (std::ranges::any_of(engine.line, is_it))
    {
        return true;
    }
    auto const found = std::ranges::find_if(engine.running, is_it);
    return found != engine.running.end() &&
           found->to_write * state.costs.step > run_on_time;
}

// A caller that is refused comes back once, if there is time.
void refuse(world& state, caller_request& asked)
{
    constexpr int least = 400;
    constexpr int most = 1400;
    auto const after = random_time(state.random, least, most);
    if (asked.came_back || state.now + 3 * after > asked.deadline)
    {
        end_request(state, asked.number, final_word::refused);
        return;
    }
    auto const number = asked.number;
    later(
        state, after,
        [&state, number]
        {
            auto& back = state.callers.at(number);
            auto const same = caller_request{
                .number = back.number,
                .entry = back.entry,
                .asked = back.asked,
                .deadline = back.deadline,
                .prompt = back.prompt,
                .answer = back.answer,
                .hint = back.hint,
                .came_back = true,
                .last_heard = state.now};
            back = same;
            back.returned = true;
            admit(state, number);
        });
}

void ask(world& state)
{
    constexpr double hint_spread = 0.5;
    constexpr double prompt_spread = 1;
    constexpr double answer_spread = 0.85;
    constexpr double most = 3;
    caller_request asked;
    asked.number = ++state.numbers;
    asked.entry = base::random_below(state.random, state.entries.size());
    asked.asked = state.now;
    asked.deadline = state.now + caller_time;
    asked.last_heard = state.now;
    asked.prompt = 1 + state.costs.usual_prompt *
                           lognormal(state.random, prompt_spread, most);
    asked.answer = 1 + state.costs.usual_answer *
                           lognormal(state.random, answer_spread, most);
    asked.hint = asked.answer * lognormal(state.random, hint_spread, 2 * most);
    ++state.outcome.asked;
    state.callers[asked.number] = asked;
    admit(state, asked.number);
}

} // namespace

void end_request(world& state, std::uint64_t number, final_word word)
{
    auto const node = state.callers.extract(number);
    auto const& asked = node.mapped();
    auto& outcome = state.outcome;
    if (word == final_word::answered)
    {
        ++outcome.answered;
        outcome.in_time +=
            asked.first_event && *asked.first_event - asked.asked <= caller_goal
                ? 1
                : 0;
        return;
    }
    if (word == final_word::left)
    {
        ++outcome.left;
        return;
    }
    ++(word == final_word::cut ? outcome.cut : outcome.refused);
}

void leave(world& state, caller_request& asked)
{
    if (asked.engine)
    {
        end_attempt(state, asked, request_outcome::cancelled);
    }
    for (auto const attempt : asked.sent)
    {
        if (is_at_work(state, attempt))
        {
            state.left[attempt] = state.now;
            ++state.outcome.at_work_when_left;
        }
    }
    end_request(state, asked.number, final_word::left);
}

void note_word(world& state, engine_event const& event)
{
    auto const found = state.left.find(event.number);
    auto const is_work = event.word == engine_word::began ||
                         event.word == engine_word::wrote ||
                         event.word == engine_word::answered;
    if (found == state.left.end() || !is_work ||
        state.now < found->second + run_on_time)
    {
        return;
    }
    state.left.erase(found);
    ++state.outcome.ran_on;
}

void fail(world& state, caller_request& asked)
{
    if (asked.answer_begun)
    {
        end_request(state, asked.number, final_word::cut);
        return;
    }
    // Only what has not run may be refused.
    if (asked.ran == base::ran_state::no)
    {
        refuse(state, asked);
        return;
    }
    end_request(state, asked.number, final_word::cut);
}

void plan_callers(world& state, base::time_point from)
{
    if (from >= start + state.course.length)
    {
        return;
    }
    auto const together = state.course.together;
    auto const rate = state.course.load * full_rate(state.costs) *
                      static_cast<double>(state.course.engines) /
                      static_cast<double>(together);
    auto const wait =
        std::chrono::duration<double>(-std::log(uniform(state.random)) / rate);
    auto const at = from + std::chrono::duration_cast<base::duration>(wait);
    state.events.emplace(
        at,
        [&state, together, at]
        {
            auto const count =
                1 + base::random_below(state.random, 2 * together - 1);
            for (std::uint64_t number = 0; number < count; ++number)
            {
                ask(state);
            }
            plan_callers(state, at);
        });
}

} // namespace foxtailvale::direct
