#include "retry_world_processes.hpp"

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Agents tell a new entry of the others within this time.
constexpr milliseconds learning_time{500};
// A process that stops runs on for this long at least.
constexpr milliseconds balancer_drain_time{2600};

bool is_cut(world const& state, std::size_t domain, base::time_point now)
{
    return std::ranges::any_of(
        state.cuts,
        [&](cut const& one)
        {
            return one.domain == domain && one.from <= now && now < one.until;
        });
}

void pause_processes(world& state, base::time_point now)
{
    for (auto& entry : state.entries)
    {
        entry.paused.reset();
    }
    for (auto const& pause : state.pauses)
    {
        if (pause.from <= now && now < pause.until)
        {
            state.entries[pause.entry].paused = pause.from;
        }
    }
}

bool has_unseen_attempts(world const& state, std::size_t entry)
{
    return std::ranges::any_of(
        state.unseen,
        [&](unseen_attempt const& one)
        {
            return one.entry == entry &&
                   one.process_started == state.entries[entry].process->started;
        });
}

void stop_processes(world& state, base::time_point now)
{
    for (auto const& stop : state.stops)
    {
        auto& entry = state.entries[stop.entry];
        if (!entry.process)
        {
            continue;
        }
        if (stop.at <= now && now < stop.at + step && !entry.process->stopping)
        {
            entry.process->stopping = now;
        }
        auto const began = entry.process->stopping;
        auto const is_done = now >= stop.at + balancer_drain_time &&
                             !has_unseen_attempts(state, stop.entry);
        if (began == stop.at && (is_done || now >= stop.at + stop.drain))
        {
            entry.process.reset();
            entry.is_stopped = true;
            entry.starts = now + stop.down;
        }
    }
}

} // namespace

void run_processes(world& state, base::time_point now)
{
    pause_processes(state, now);
    stop_processes(state, now);
    for (auto const& kill : state.kills)
    {
        auto& entry = state.entries[kill.entry];
        if (kill.at <= now && now < kill.at + step && entry.process)
        {
            entry.process.reset();
            entry.starts = now + kill.down;
        }
    }
    for (auto& entry : state.entries)
    {
        if (!entry.process && now >= entry.starts)
        {
            entry.process.emplace();
            entry.is_stopped = false;
            entry.process->started = now;
            entry.process->budget.started = now;
        }
    }
}

std::vector<std::size_t>
known_processes(world const& state, base::time_point now)
{
    std::vector<std::size_t> known(state.domains);
    for (auto const& entry : state.entries)
    {
        if (entry.process && entry.process->started + learning_time <= now)
        {
            ++known[entry.domain];
        }
    }
    return known;
}

void tell_of_others(
    world const& state,
    std::vector<std::size_t> const& known,
    played_entry& told,
    base::time_point now)
{
    if (now < told.process->started + learning_time)
    {
        return;
    }
    std::size_t alive = 0;
    auto const cut_off = is_cut(state, told.domain, now);
    for (std::size_t domain = 0; domain < state.domains; ++domain)
    {
        auto const is_heard =
            domain == told.domain || (!cut_off && !is_cut(state, domain, now));
        alive += is_heard ? known[domain] : 0;
    }
    note_entries(
        told.process->count, alive, known[told.domain], state.domains, now);
}

} // namespace foxtailvale::direct
