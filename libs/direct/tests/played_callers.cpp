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

// Whether the engine has read the attempt, has not ended it and would work on
// it for long enough to be checked.
bool is_at_work(simulation const& state, std::uint64_t attempt)
{
    auto const& engine = state.engines[state.sent.at(attempt).engine];
    auto const is_it = [attempt](simulated_request const& request)
    {
        return request.number == attempt;
    };
    if (std::ranges::any_of(engine.queue, is_it))
    {
        return true;
    }
    auto const found = std::ranges::find_if(engine.running, is_it);
    return found != engine.running.end() &&
           found->to_write * state.costs.step > max_work_after_leaving;
}

// A refused caller sends its request once more if there is time.
void refuse(simulation& state, caller_request& call)
{
    constexpr int least = 400;
    constexpr int most = 1400;
    auto const after = random_time(state.random, least, most);
    if (call.sent_again || state.now + 3 * after > call.deadline)
    {
        end_request(state, call.number, final_outcome::refused);
        return;
    }
    auto const number = call.number;
    schedule(
        state, after,
        [&state, number]
        {
            auto& back = state.callers.at(number);
            auto const same = caller_request{
                .number = back.number,
                .entry = back.entry,
                .requested_at = back.requested_at,
                .deadline = back.deadline,
                .prompt = back.prompt,
                .answer = back.answer,
                .hint = back.hint,
                .sent_again = true,
                .last_heard = state.now};
            back = same;
            back.is_resent = true;
            admit(state, number);
        });
}

void start_call(simulation& state)
{
    constexpr double hint_spread = 0.5;
    constexpr double prompt_spread = 1;
    constexpr double answer_spread = 0.85;
    constexpr double most = 3;
    caller_request call;
    call.number = ++state.numbers;
    call.entry = base::random_below(state.random, state.entries.size());
    call.requested_at = state.now;
    call.deadline = state.now + caller_time;
    call.last_heard = state.now;
    call.prompt = 1 + state.costs.usual_prompt *
                          lognormal(state.random, prompt_spread, most);
    call.answer = 1 + state.costs.usual_answer *
                          lognormal(state.random, answer_spread, most);
    call.hint = call.answer * lognormal(state.random, hint_spread, 2 * most);
    ++state.outcome.requests;
    state.callers[call.number] = call;
    admit(state, call.number);
}

} // namespace

void end_request(simulation& state, std::uint64_t number, final_outcome result)
{
    auto const node = state.callers.extract(number);
    auto const& call = node.mapped();
    auto& outcome = state.outcome;
    if (result == final_outcome::answered)
    {
        ++outcome.answered;
        outcome.in_time +=
            call.first_event &&
                    *call.first_event - call.requested_at <= caller_goal
                ? 1
                : 0;
        return;
    }
    if (result == final_outcome::left)
    {
        ++outcome.left;
        return;
    }
    ++(result == final_outcome::interrupted ? outcome.interrupted
                                            : outcome.refused);
}

void leave(simulation& state, caller_request& call)
{
    if (call.engine)
    {
        end_attempt(state, call, request_outcome::cancelled);
    }
    for (auto const attempt : call.sent)
    {
        if (is_at_work(state, attempt))
        {
            state.left[attempt] = state.now;
            ++state.outcome.at_work_when_left;
        }
    }
    end_request(state, call.number, final_outcome::left);
}

void check_work_after_leaving(simulation& state, engine_event const& event)
{
    auto const found = state.left.find(event.number);
    auto const is_work = event.kind == engine_event_kind::began ||
                         event.kind == engine_event_kind::wrote ||
                         event.kind == engine_event_kind::answered;
    if (found == state.left.end() || !is_work ||
        state.now < found->second + max_work_after_leaving)
    {
        return;
    }
    state.left.erase(found);
    ++state.outcome.still_at_work;
}

void fail(simulation& state, caller_request& call)
{
    if (call.answer_begun)
    {
        state.outcome.broken_off += state.now < call.deadline ? 1 : 0;
        end_request(state, call.number, final_outcome::interrupted);
        return;
    }
    // Only a request that has not run may be refused.
    if (call.ran == base::ran_state::no)
    {
        refuse(state, call);
        return;
    }
    end_request(state, call.number, final_outcome::interrupted);
}

void schedule_callers(simulation& state, base::time_point from)
{
    if (from >= start + state.scenario.length)
    {
        return;
    }
    auto const burst = state.scenario.burst;
    auto const rate = state.scenario.load * full_rate(state.costs) *
                      static_cast<double>(state.scenario.engines) /
                      static_cast<double>(burst);
    auto const wait =
        std::chrono::duration<double>(-std::log(uniform(state.random)) / rate);
    auto const at = from + std::chrono::duration_cast<base::duration>(wait);
    state.events.emplace(
        at,
        [&state, burst, at]
        {
            auto const count =
                1 + base::random_below(state.random, 2 * burst - 1);
            for (std::uint64_t number = 0; number < count; ++number)
            {
                start_call(state);
            }
            schedule_callers(state, at);
        });
}

} // namespace foxtailvale::direct
