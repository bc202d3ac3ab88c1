#include "engine_world.hpp"

#include "played_agents.hpp"
#include "played_answers.hpp"
#include "played_callers.hpp"
#include "played_entries.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds step{1};

// As the entry does it.
constexpr milliseconds version_margin{400};
constexpr milliseconds tick{20};

void plan_news(world& state, std::size_t number)
{
    constexpr int least = 2;
    constexpr int most = 120;
    if (state.course.entry_without_news == number)
    {
        return;
    }
    auto& entry = state.entries[number];
    for (std::size_t index = 0; index < state.course.named.size(); ++index)
    {
        auto const learned = start + state.course.named[index] +
                             random_time(state.random, least, most);
        state.events.emplace(
            learned,
            [&entry, index, learned]
            {
                announce_version(
                    entry.book, model_name,
                    {index + 2, learned,
                     learned + version_bound - version_margin});
            });
    }
}

routing::engine_costs costs_of(fleet_course const& course)
{
    routing::engine_costs costs;
    costs.slots = course.slots;
    costs.step = std::chrono::duration<double, std::milli>(6.73);
    costs.step_per_request = std::chrono::duration<double, std::milli>(0.0219);
    costs.steps_per_pass = 6;
    costs.read_per_second = 30600;
    costs.usual_prompt = 925;
    costs.usual_answer = 120;
    return costs;
}

void add_entries(world& state)
{
    for (std::size_t number = 0; number < state.course.entries; ++number)
    {
        played_entry made;
        made.name = "10.0.1." + std::to_string(number + 1);
        made.domain = domain_of(number);
        made.random.value = base::next_random(state.random);
        state.entry_names.insert(made.name);
        state.entries.push_back(std::move(made));
    }
    for (auto& entry : state.entries)
    {
        for (auto const& other : state.entries)
        {
            entry.book.domain_entries[other.domain].insert(other.name);
        }
    }
}

void add_engines(world& state)
{
    for (std::size_t number = 0; number < state.course.engines; ++number)
    {
        played_engine made;
        made.costs = state.costs;
        state.engines.push_back(std::move(made));
        state.agents.emplace_back().seen.weights = {model_name, 1, true};
        for (auto& entry : state.entries)
        {
            endpoint_record record;
            record.id = id_of_engine(number);
            record.service = service_name;
            record.address = ip_of_engine(number) + ":8000";
            record.failure_domain = domain_of(number);
            record.slots = state.costs.slots;
            record.weights = {model_name, 1, true};
            put(entry.book, std::move(record));
        }
    }
}

void plan_rounds(world& state)
{
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        later(
            state,
            random_time(
                state.random, 0, static_cast<int>(report_interval.count())),
            [&state, number]
            {
                poll(state, number);
            });
    }
    for (std::size_t number = 0; number < state.entries.size(); ++number)
    {
        auto& entry = state.entries[number];
        later(
            state,
            random_time(
                state.random, 0,
                static_cast<int>(subscription_interval.count())),
            [&state, &entry]
            {
                subscribe(state, entry);
            });
        plan_news(state, number);
    }
    plan_callers(state, start);
}

void run_step(world& state)
{
    for (std::size_t number = 0; number < state.engines.size(); ++number)
    {
        go_on(state, number);
    }
    while (!state.events.empty() && state.events.begin()->first <= state.now)
    {
        auto const event = state.events.extract(state.events.begin());
        event.mapped()();
    }
    for (std::size_t number = 0; number < state.engines.size(); ++number)
    {
        work_engine(state, number);
    }
    watch_times(state);
    if (rounded(state.now - start) % tick == milliseconds(0))
    {
        for (auto& entry : state.entries)
        {
            serve_waiting(state, entry);
        }
    }
}

} // namespace

bool fleet_outcome::operator==(fleet_outcome const& other) const
{
    return to_text(*this) == to_text(other);
}

fleet_outcome run_fleet(fleet_course const& course)
{
    world state{course, costs_of(course), {course.seed}};
    add_entries(state);
    add_engines(state);
    plan_rounds(state);
    for (; state.now < start + course.length || !state.callers.empty();
         state.now += step)
    {
        run_step(state);
    }
    state.outcome.on_newest = static_cast<std::size_t>(std::ranges::count(
        state.engines, course.named.size() + 1, &played_engine::version));
    return state.outcome;
}

std::string to_text(fleet_outcome const& outcome)
{
    std::ostringstream text;
    text << "asked " << outcome.asked << ", answered " << outcome.answered
         << ", in time " << outcome.in_time << ", cut " << outcome.cut
         << ", refused " << outcome.refused << ", left " << outcome.left
         << ", ran on " << outcome.ran_on << " of " << outcome.at_work_when_left
         << ", begun on older " << outcome.begun_on_older << ", least left "
         << outcome.least_left.count() << " ms, longest with a slot "
         << outcome.longest_with_slot.count() << " ms, late "
         << outcome.late.size();
    for (auto const& late : outcome.late)
    {
        text << "\n  version " << late.version << " at engine " << late.engine
             << " from entry " << late.entry << ": decided "
             << late.decided.count() << ", arrived " << late.arrived.count()
             << ", begun " << late.begun.count() << " ms after the end; work "
             << late.work << ", report " << late.report_age.count()
             << " ms old";
    }
    return text.str();
}

} // namespace foxtailvale::direct
