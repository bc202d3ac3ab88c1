#include "played_agents.hpp"

#include "played_entries.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Values of the agent process.
constexpr std::uint64_t remote_interval = 4;
constexpr milliseconds order_limit{1000};
constexpr milliseconds order_pause{300};
constexpr milliseconds switch_notice{2500};
constexpr std::size_t chunk_count = 64;

std::size_t missing_chunks(
    simulation const& state, std::size_t number, std::uint64_t version)
{
    auto const& chunks = state.agents[number].chunks;
    auto const found = chunks.find(version);
    if (found == chunks.end())
    {
        return chunk_count;
    }
    auto const& [from, to] = found->second;
    auto const left = start + to - state.now;
    auto const share = static_cast<double>(left.count()) /
                       static_cast<double>(base::duration(to - from).count());
    return static_cast<std::size_t>(
        std::ceil(std::clamp(share, 0.0, 1.0) * chunk_count));
}

std::optional<base::time_point>
complete_at(simulation const& state, std::size_t number, std::uint64_t version)
{
    auto const& own = state.agents[number];
    auto const found = own.chunks.find(version);
    if (found == own.chunks.end())
    {
        return std::nullopt;
    }
    auto const missing = missing_chunks(state, number, version);
    if (missing == 0)
    {
        return start + found->second.to;
    }
    auto at = state.now + weights::chunk_interval * static_cast<int>(missing);
    auto const named = std::ranges::find(
        own.targets, version, &weights::announced_target::version);
    if (own.arrival)
    {
        at = std::max(at, named->named + *own.arrival);
    }
    return at;
}

weights::switch_context
switch_ask_of(simulation const& state, std::size_t number)
{
    auto const& own = state.agents[number];
    weights::switch_context ask;
    ask.serving = own.last_state.weights.version;
    ask.targets = own.targets;
    ask.bound = version_bound;
    ask.arrival = own.arrival;
    ask.whole = [&state, number](std::uint64_t version)
    {
        return complete_at(state, number, version);
    };
    ask.agents = 0;
    for (std::size_t other = 0; other < state.agents.size(); ++other)
    {
        auto const near = domain_of(other) == domain_of(number);
        ask.agents += near ? 1 : 0;
        ask.rank += near && other < number ? 1 : 0;
    }
    return ask;
}

std::uint64_t next_version(simulation const& state, std::size_t number)
{
    auto const ask = switch_ask_of(state, number);
    return weights::choose_fallback_target(
        ask, weights::choose_target(ask),
        [&](std::uint64_t version)
        {
            return missing_chunks(state, number, version);
        },
        state.now);
}

std::optional<base::time_point>
expected_switch(simulation const& state, std::size_t number)
{
    auto const ask = switch_ask_of(state, number);
    auto const target = next_version(state, number);
    if (ask.serving >= target || !state.agents[number].chunks.contains(target))
    {
        return std::nullopt;
    }
    auto const at = weights::planned_switch_time(ask, target);
    return at - state.now <= switch_notice ? std::optional(at) : std::nullopt;
}

void send_report(simulation& state, std::size_t number, bool at_once)
{
    constexpr int max_delay = 4;
    auto& own = state.agents[number];
    auto report = own.last_state;
    report.switching = own.switching || own.busy;
    report.switches_at = expected_switch(state, number);
    if (report.switches_at)
    {
        report.switches_at = std::max(*report.switches_at, state.now);
    }
    auto const late =
        is_affected(state.scenario.late_reports, number, state.now);
    own.link_free_at = std::max(
        own.link_free_at,
        state.now + (late ? state.scenario.report_delay : milliseconds(0)));
    auto const on_link = to_milliseconds(own.link_free_at - state.now);
    auto const to_all = at_once || own.rounds++ % remote_interval == 0;
    for (auto& entry : state.entries)
    {
        if (!to_all && entry.domain != domain_of(number))
        {
            continue;
        }
        schedule(
            state, on_link + random_time(state.random, 1, max_delay),
            [&state, &entry, number, report]
            {
                note_report(
                    entry.table, ip_of_engine(number), report, state.now);
                serve_waiting(state, entry);
            });
    }
}

void read_engine_state(simulation& state, std::size_t number)
{
    auto& own = state.agents[number];
    auto const& engine = state.engines[number];
    own.last_state.running = static_cast<std::uint32_t>(engine.running.size());
    own.last_state.waiting = static_cast<std::uint32_t>(engine.queue.size());
    own.last_state.pace = engine.slowdown;
    own.last_state.weights = {model_name, engine.version, true};
    own.busy = engine.ordered.has_value();
}

void order(simulation& state, std::size_t number)
{
    if (is_affected(state.scenario.agent_pauses, number, state.now))
    {
        schedule(
            state, report_interval,
            [&state, number]
            {
                order(state, number);
            });
        return;
    }
    auto& own = state.agents[number];
    own.verifying = false;
    own.ordering = true;
    own.switching = true;
    send_report(state, number, true);
    auto const lost =
        is_affected(state.scenario.orders_lost, number, state.now);
    if (!lost)
    {
        deliver(
            state, number,
            [&state, number, version = own.staged]
            {
                accept_order(state.engines[number], version);
            });
    }
    schedule(
        state, lost ? order_limit : 2 * wire_time,
        [&state, number]
        {
            state.agents[number].ordering = false;
            state.agents[number].next_order = state.now + order_pause;
        });
}

void update_switching(simulation const& state, simulated_agent& own)
{
    if (!own.switching || own.ordering)
    {
        return;
    }
    auto const done = own.last_state.weights.version >= own.staged;
    if (done || (!own.busy && state.now >= own.next_order))
    {
        own.switching = false;
    }
}

void advance_switch(simulation& state, std::size_t number)
{
    // Verification of all staged chunks.
    constexpr int min_verify_time = 40;
    constexpr int max_verify_time = 200;
    auto& own = state.agents[number];
    update_switching(state, own);
    auto const target = next_version(state, number);
    if (own.switching || own.busy || own.verifying || own.ordering ||
        own.last_state.weights.version >= target ||
        state.now < own.next_order ||
        missing_chunks(state, number, target) > 0 ||
        state.now <
            weights::planned_switch_time(switch_ask_of(state, number), target))
    {
        return;
    }
    own.verifying = true;
    own.staged = target;
    schedule(
        state, random_time(state.random, min_verify_time, max_verify_time),
        [&state, number]
        {
            order(state, number);
        });
}

void note_complete(simulation& state, simulated_agent& own)
{
    for (auto const& [version, time] : own.chunks)
    {
        auto const named = std::ranges::find(
            own.targets, version, &weights::announced_target::version);
        if (state.now >= start + time.to)
        {
            own.arrival = to_milliseconds(start + time.to - named->named);
        }
    }
}

void handle_notice(
    simulation& state, std::size_t number, announced_version const& announced)
{
    constexpr int min_arrival = 2900;
    constexpr int max_arrival = 4000;
    auto& own = state.agents[number];
    auto const known =
        !own.targets.empty() && own.targets.back().version >= announced.version;
    if (known || is_affected(state.scenario.agent_pauses, number, state.now))
    {
        return;
    }
    own.targets.push_back({announced.version, announced.learned});
    auto arrival = random_time(state.random, min_arrival, max_arrival);
    if (state.scenario.late_chunks.contains(number))
    {
        arrival += state.scenario.chunk_delay;
    }
    own.chunks[announced.version] = {
        to_milliseconds(state.now - start),
        to_milliseconds(announced.learned + arrival - start)};
}

} // namespace

void poll(simulation& state, std::size_t number)
{
    schedule(
        state, report_interval,
        [&state, number]
        {
            poll(state, number);
        });
    if (is_affected(state.scenario.agent_pauses, number, state.now))
    {
        return;
    }
    read_engine_state(state, number);
    // The engine's answer takes a moment, and its content is as old.
    constexpr int max_answer_time = 6;
    schedule(
        state, random_time(state.random, 1, max_answer_time),
        [&state, number]
        {
            send_report(state, number, false);
            note_complete(state, state.agents[number]);
            advance_switch(state, number);
        });
}

void subscribe(simulation& state, simulated_entry& entry)
{
    schedule(
        state, subscription_interval,
        [&state, &entry]
        {
            subscribe(state, entry);
        });
    auto const known = entry.table.versions[model_name];
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        for (auto const& announced : known)
        {
            schedule(
                state, wire_time,
                [&state, number, announced]
                {
                    handle_notice(state, number, announced);
                });
        }
    }
}

} // namespace foxtailvale::direct
