#include "played_callers.hpp"

#include "played_entries.hpp"

#include <cmath>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds caller_time{6000};

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
                .came_back = true};
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
    ++(word == final_word::cut ? outcome.cut : outcome.refused);
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
