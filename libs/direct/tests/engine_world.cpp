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

// Values of the entry process.
constexpr milliseconds version_margin{400};
constexpr milliseconds tick{20};

void schedule_announcements(simulation& state, std::size_t number)
{
    constexpr int least = 2;
    constexpr int most = 120;
    if (state.scenario.uninformed_entry == number)
    {
        return;
    }
    auto& entry = state.entries[number];
    for (std::size_t index = 0; index < state.scenario.announced_at.size();
         ++index)
    {
        auto const learned = start + state.scenario.announced_at[index] +
                             random_time(state.random, least, most);
        state.events.emplace(
            learned,
            [&entry, index, learned]
            {
                announce_version(
                    entry.table, model_name,
                    {index + 2, learned,
                     learned + version_bound - version_margin});
            });
    }
}

routing::engine_costs costs_of(fleet_scenario const& scenario)
{
    routing::engine_costs costs;
    costs.slots = scenario.slots;
    costs.step = std::chrono::duration<double, std::milli>(6.73);
    costs.step_per_request = std::chrono::duration<double, std::milli>(0.0219);
    costs.steps_per_pass = 6;
    costs.read_per_second = 30600;
    costs.usual_prompt = 925;
    costs.usual_answer = 120;
    return costs;
}

void add_entries(simulation& state)
{
    for (std::size_t number = 0; number < state.scenario.entries; ++number)
    {
        simulated_entry made;
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
            entry.table.domain_entries[other.domain].insert(other.name);
        }
    }
}

void add_engines(simulation& state)
{
    for (std::size_t number = 0; number < state.scenario.engines; ++number)
    {
        simulated_engine made;
        made.costs = state.costs;
        state.engines.push_back(std::move(made));
        state.agents.emplace_back().last_state.weights = {model_name, 1, true};
        for (auto& entry : state.entries)
        {
            endpoint_record record;
            record.id = id_of_engine(number);
            record.service = service_name;
            record.address = ip_of_engine(number) + ":8000";
            record.failure_domain = domain_of(number);
            record.slots = state.costs.slots;
            record.weights = {model_name, 1, true};
            put(entry.table, std::move(record));
        }
    }
}

void schedule_periodic_tasks(simulation& state)
{
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        schedule(
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
        schedule(
            state,
            random_time(
                state.random, 0,
                static_cast<int>(subscription_interval.count())),
            [&state, &entry]
            {
                subscribe(state, entry);
            });
        schedule_announcements(state, number);
    }
    schedule_callers(state, start);
}

void run_step(simulation& state)
{
    for (std::size_t number = 0; number < state.engines.size(); ++number)
    {
        resume(state, number);
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
    check_timeouts(state);
    if (to_milliseconds(state.now - start) % tick == milliseconds(0))
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

fleet_outcome run_fleet(fleet_scenario const& scenario)
{
    simulation state{scenario, costs_of(scenario), {scenario.seed}};
    add_entries(state);
    add_engines(state);
    schedule_periodic_tasks(state);
    for (; state.now < start + scenario.length || !state.callers.empty();
         state.now += step)
    {
        run_step(state);
    }
    state.outcome.on_newest = static_cast<std::size_t>(std::ranges::count(
        state.engines, scenario.announced_at.size() + 1,
        &simulated_engine::version));
    return state.outcome;
}

std::string to_text(fleet_outcome const& outcome)
{
    std::ostringstream text;
    text << "requests " << outcome.requests << ", answered " << outcome.answered
         << ", within goal " << outcome.in_time << ", interrupted "
         << outcome.interrupted << ", broken off " << outcome.broken_off
         << ", refused " << outcome.refused << ", callers left " << outcome.left
         << ", still at work " << outcome.still_at_work << " of "
         << outcome.at_work_when_left << ", started on older "
         << outcome.begun_on_older << ", least time left "
         << outcome.min_time_left.count()
         << " ms, longest wait with a free slot "
         << outcome.max_wait_with_slot.count() << " ms, late starts "
         << outcome.late.size();
    for (auto const& late : outcome.late)
    {
        text << "\n  version " << late.version << " at engine " << late.engine
             << " from entry " << late.entry << ": decided "
             << late.decided.count() << ", arrived " << late.arrived.count()
             << ", started " << late.begun.count()
             << " ms after retirement; work " << late.work << ", report "
             << late.report_age.count() << " ms old";
    }
    return text.str();
}

} // namespace foxtailvale::direct
