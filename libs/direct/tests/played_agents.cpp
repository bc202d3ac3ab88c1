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

// As the agent does it.
constexpr std::uint64_t remote_interval = 4;
constexpr milliseconds order_limit{1000};
constexpr milliseconds order_pause{300};
constexpr milliseconds switch_notice{2500};
constexpr std::size_t chunk_count = 64;

std::size_t
missing_chunks(world const& state, std::size_t number, std::uint64_t version)
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
whole_at(world const& state, std::size_t number, std::uint64_t version)
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

weights::switch_context switch_ask_of(world const& state, std::size_t number)
{
    auto const& own = state.agents[number];
    weights::switch_context ask;
    ask.serving = own.seen.weights.version;
    ask.targets = own.targets;
    ask.bound = version_bound;
    ask.arrival = own.arrival;
    ask.whole = [&state, number](std::uint64_t version)
    {
        return whole_at(state, number, version);
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

std::uint64_t next_version(world const& state, std::size_t number)
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
expected_switch(world const& state, std::size_t number)
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

void tell(world& state, std::size_t number, bool at_once)
{
    constexpr int longest_way = 4;
    auto& own = state.agents[number];
    auto report = own.seen;
    report.switching = own.switching || own.busy;
    report.switches_at = expected_switch(state, number);
    if (report.switches_at)
    {
        report.switches_at = std::max(*report.switches_at, state.now);
    }
    auto const late = is_hit(state.course.late_reports, number, state.now);
    own.link_clear = std::max(
        own.link_clear,
        state.now + (late ? state.course.report_delay : milliseconds(0)));
    auto const on_link = rounded(own.link_clear - state.now);
    auto const to_all = at_once || own.rounds++ % remote_interval == 0;
    for (auto& entry : state.entries)
    {
        if (!to_all && entry.domain != domain_of(number))
        {
            continue;
        }
        later(
            state, on_link + random_time(state.random, 1, longest_way),
            [&state, &entry, number, report]
            {
                note_report(
                    entry.book, ip_of_engine(number), report, state.now);
                serve_waiting(state, entry);
            });
    }
}

void look_at_engine(world& state, std::size_t number)
{
    auto& own = state.agents[number];
    auto const& engine = state.engines[number];
    own.seen.running = static_cast<std::uint32_t>(engine.running.size());
    own.seen.waiting = static_cast<std::uint32_t>(engine.line.size());
    own.seen.pace = engine.slowness;
    own.seen.weights = {model_name, engine.version, true};
    own.busy = engine.ordered.has_value();
}

void order(world& state, std::size_t number)
{
    if (is_hit(state.course.agent_pauses, number, state.now))
    {
        later(
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
    tell(state, number, true);
    auto const lost = is_hit(state.course.orders_lost, number, state.now);
    if (!lost)
    {
        reach(
            state, number,
            [&state, number, version = own.staged]
            {
                accept_order(state.engines[number], version);
            });
    }
    later(
        state, lost ? order_limit : 2 * wire_time,
        [&state, number]
        {
            state.agents[number].ordering = false;
            state.agents[number].order_again = state.now + order_pause;
        });
}

void settle(world const& state, played_agent& own)
{
    if (!own.switching || own.ordering)
    {
        return;
    }
    auto const done = own.seen.weights.version >= own.staged;
    if (done || (!own.busy && state.now >= own.order_again))
    {
        own.switching = false;
    }
}

void drive(world& state, std::size_t number)
{
    // Looking at all staged chunks once more.
    constexpr int least_look = 40;
    constexpr int most_look = 200;
    auto& own = state.agents[number];
    settle(state, own);
    auto const target = next_version(state, number);
    if (own.switching || own.busy || own.verifying || own.ordering ||
        own.seen.weights.version >= target || state.now < own.order_again ||
        missing_chunks(state, number, target) > 0 ||
        state.now <
            weights::planned_switch_time(switch_ask_of(state, number), target))
    {
        return;
    }
    own.verifying = true;
    own.staged = target;
    later(
        state, random_time(state.random, least_look, most_look),
        [&state, number]
        {
            order(state, number);
        });
}

void note_whole(world& state, played_agent& own)
{
    for (auto const& [version, time] : own.chunks)
    {
        auto const named = std::ranges::find(
            own.targets, version, &weights::announced_target::version);
        if (state.now >= start + time.to)
        {
            own.arrival = rounded(start + time.to - named->named);
        }
    }
}

void handle_notice(world& state, std::size_t number, named_version const& told)
{
    constexpr int least_arrival = 2900;
    constexpr int most_arrival = 4000;
    auto& own = state.agents[number];
    auto const known =
        !own.targets.empty() && own.targets.back().version >= told.version;
    if (known || is_hit(state.course.agent_pauses, number, state.now))
    {
        return;
    }
    own.targets.push_back({told.version, told.learned});
    auto arrival = random_time(state.random, least_arrival, most_arrival);
    if (state.course.late_chunks.contains(number))
    {
        arrival += state.course.chunk_delay;
    }
    own.chunks[told.version] = {
        rounded(state.now - start), rounded(told.learned + arrival - start)};
}

} // namespace

void poll(world& state, std::size_t number)
{
    later(
        state, report_interval,
        [&state, number]
        {
            poll(state, number);
        });
    if (is_hit(state.course.agent_pauses, number, state.now))
    {
        return;
    }
    look_at_engine(state, number);
    // The engine's answer takes a moment; what it says is as old.
    constexpr int longest_answer = 6;
    later(
        state, random_time(state.random, 1, longest_answer),
        [&state, number]
        {
            tell(state, number, false);
            note_whole(state, state.agents[number]);
            drive(state, number);
        });
}

void subscribe(world& state, played_entry& entry)
{
    later(
        state, subscription_interval,
        [&state, &entry]
        {
            subscribe(state, entry);
        });
    auto const known = entry.book.versions[model_name];
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        for (auto const& named : known)
        {
            later(
                state, wire_time,
                [&state, number, named]
                {
                    handle_notice(state, number, named);
                });
        }
    }
}

} // namespace foxtailvale::direct
