#include "retry_world.hpp"

#include "retry_world_plan.hpp"
#include "retry_world_processes.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

constexpr retry_bound bound{0.2, std::chrono::seconds(10), 100};
constexpr std::uint32_t tries = 4;
// After this time without a sign of the endpoint an attempt is given up.
constexpr milliseconds attempt_limit{700};
// Callers leave an entry that stops or stands still after this time.
constexpr milliseconds leaving_time{1000};
// A caller waits for the beginning of its answer for this long.
constexpr milliseconds patience{9000};

void note_arrivals(played_process& process, base::time_point now)
{
    std::erase_if(
        process.on_the_way,
        [&](retry_on_the_way const& one)
        {
            if (one.arrives > now)
            {
                return false;
            }
            note_retry_arrived(process.budget, one.source, one.by);
            return true;
        });
}

// Returns when an attempt that is decided on now arrives.
base::time_point
arrival_of(world const& state, retry_course const& course, base::time_point now)
{
    for (auto const begun : state.stalls)
    {
        if (begun <= now && now < begun + course.stall)
        {
            return begun + course.stall;
        }
    }
    return now;
}

// Returns until when the link that an attempt takes stands still.
std::optional<base::time_point> held_until(world& state, base::time_point now)
{
    auto const found = std::ranges::find_if(
        state.holds,
        [now](held_links const& one)
        {
            return one.from <= now && now < one.until;
        });
    return found != state.holds.end() && one_in(state.random, 3)
               ? std::optional(found->until)
               : std::nullopt;
}

// Sends a request until an attempt succeeds, waits to be given up, or may not
// be repeated.
void send_until_done(
    world& state,
    std::size_t number,
    std::size_t request,
    retry_course const& course,
    base::time_point now)
{
    auto& process = *state.entries[number].process;
    auto& sent = state.played[request];
    while (sent.sends < tries)
    {
        std::optional<retry_source> source;
        if (sent.sends > 0)
        {
            source = spend_retry(
                process.budget, bound, process.count,
                state_at(sent.held_until, now), now);
            if (!source)
            {
                return;
            }
        }
        ++sent.sends;
        if (auto const held = held_until(state, now))
        {
            sent.arrivals.push_back(*held);
            state.unseen.push_back(
                {number, process.started, now + attempt_limit, request,
                 source});
            return;
        }
        auto const arrives = arrival_of(state, course, now);
        sent.arrivals.push_back(arrives);
        if (course.hangs && now >= state.fails_from)
        {
            state.unseen.push_back(
                {number, process.started, now + attempt_limit, request, source,
                 true});
            return;
        }
        if (source)
        {
            process.on_the_way.push_back(
                {*source, arrives, std::max(arrives, sent.unseen_until)});
        }
        if (now < state.fails_from)
        {
            return;
        }
    }
}

void handle_request(
    world& state,
    std::size_t number,
    retry_course const& course,
    base::time_point sent,
    base::time_point now)
{
    note_request(state.entries[number].process->budget, sent, now);
    state.played.emplace_back();
    send_until_done(state, number, state.played.size() - 1, course, now);
}

// Gives up attempts without a sign of the endpoint, and repeats them.
void give_up_attempts(
    world& state, retry_course const& course, base::time_point now)
{
    std::vector<unseen_attempt> due;
    std::erase_if(
        state.unseen,
        [&](unseen_attempt const& one)
        {
            if (one.given_up > now || state.entries[one.entry].paused)
            {
                return false;
            }
            due.push_back(one);
            return true;
        });
    for (auto const& one : due)
    {
        auto& process = state.entries[one.entry].process;
        if (!process || process->started != one.process_started)
        {
            continue;
        }
        auto& sent = state.played[one.request];
        sent.unseen_until = now + max_hold;
        if (!one.has_arrived)
        {
            sent.held_until = sent.unseen_until;
        }
        if (one.source)
        {
            note_retry_arrived(process->budget, *one.source, sent.unseen_until);
        }
        send_until_done(state, one.entry, one.request, course, now);
    }
}

// Whether callers have noticed that they must use other entries.
bool is_avoided(world const& state, std::size_t number, base::time_point now)
{
    auto const& entry = state.entries[number];
    auto const is_stopping = entry.process && entry.process->stopping &&
                             now >= *entry.process->stopping + leaving_time;
    auto const is_paused = entry.paused && now >= *entry.paused + leaving_time;
    return entry.is_stopped || is_stopping || is_paused;
}

// Returns the entry that a caller chooses, were all of them in use.
std::size_t choose_any_entry(world& state, base::time_point now)
{
    constexpr std::uint64_t hundred = 100;
    caller_move const* last = nullptr;
    for (auto const& move : state.moves)
    {
        last = move.from <= now ? &move : last;
    }
    if (last == nullptr || last->entries.empty() ||
        base::random_below(state.random, hundred) >= last->percent)
    {
        return base::random_below(state.random, state.entries.size());
    }
    return last
        ->entries[base::random_below(state.random, last->entries.size())];
}

// Returns the entry to which a caller sends a request now.
std::size_t choose_entry(world& state, base::time_point now)
{
    auto chosen = choose_any_entry(state, now);
    for (std::uint32_t tried = 0;
         tried < tries && is_avoided(state, chosen, now); ++tried)
    {
        chosen = base::random_below(state.random, state.entries.size());
    }
    return chosen;
}

// Entries that run again read what came while they stood still.
void read_late_requests(
    world& state, retry_course const& course, base::time_point now)
{
    for (std::size_t number = 0; number < state.entries.size(); ++number)
    {
        auto& entry = state.entries[number];
        if (entry.unread.empty() || entry.paused)
        {
            continue;
        }
        for (auto const sent : std::exchange(entry.unread, {}))
        {
            if (entry.process && now - sent < patience)
            {
                handle_request(state, number, course, sent, now);
            }
        }
    }
}

void send_requests(
    world& state, retry_course const& course, base::time_point now)
{
    constexpr double scale = 1e6;
    auto const chance = course.requests_per_second *
                        std::chrono::duration<double>(step).count();
    auto const whole = static_cast<std::uint64_t>(chance);
    auto const rest = (chance - static_cast<double>(whole)) * scale;
    auto const one_more =
        static_cast<double>(base::random_below(
            state.random, static_cast<std::uint64_t>(scale))) < rest;
    for (std::uint64_t number = 0; number < whole + (one_more ? 1 : 0);
         ++number)
    {
        state.requests.push_back(now);
        auto const entry = choose_entry(state, now);
        if (state.entries[entry].paused)
        {
            state.entries[entry].unread.push_back(now);
        }
        else if (state.entries[entry].process)
        {
            handle_request(state, entry, course, now, now);
        }
    }
}

std::size_t count_in(
    std::vector<base::time_point> const& times,
    base::time_point from,
    base::duration length_of)
{
    auto const first = std::ranges::lower_bound(times, from);
    auto const last = std::ranges::lower_bound(times, from + length_of);
    return static_cast<std::size_t>(last - first);
}

// Requests count in the window, the one before it or the one half a window
// before it, whichever has most.
double allowed_from(world const& state, base::time_point from)
{
    auto const most = std::max(
        {count_in(state.requests, from, bound.window),
         count_in(state.requests, from - bound.window, bound.window),
         count_in(state.requests, from - bound.window / 2, bound.window)});
    return bound.ratio * static_cast<double>(most) + bound.slack;
}

// All arrivals of each request but the first.
void collect_arrivals(world& state)
{
    for (auto& request : state.played)
    {
        std::ranges::sort(request.arrivals);
        state.arrivals.insert(
            state.arrivals.end(),
            request.arrivals.begin() + (request.arrivals.empty() ? 0 : 1),
            request.arrivals.end());
    }
    std::ranges::sort(state.arrivals);
}

retry_excess worst_of(world& state)
{
    collect_arrivals(state);
    retry_excess worst;
    auto most = -bound.slack;
    for (auto const from : state.arrivals)
    {
        auto const arrivals = count_in(state.arrivals, from, bound.window);
        auto const allowed = allowed_from(state, from);
        if (static_cast<double>(arrivals) - allowed > most)
        {
            most = static_cast<double>(arrivals) - allowed;
            worst = {arrivals, allowed};
        }
    }
    return worst;
}

} // namespace

retry_excess play(retry_course const& course)
{
    auto state = make_world(course);
    for (auto now = course_start - before_traffic;
         now < course_start + course_length; now += step)
    {
        run_processes(state, now);
        auto const known = known_processes(state, now);
        for (auto& entry : state.entries)
        {
            if (entry.process && !entry.paused)
            {
                tell_of_others(state, known, entry, now);
                note_arrivals(*entry.process, now);
            }
        }
        give_up_attempts(state, course, now);
        read_late_requests(state, course, now);
        if (now >= course_start)
        {
            send_requests(state, course, now);
        }
    }
    return worst_of(state);
}

std::string to_string(retry_course const& course)
{
    auto const entries = std::accumulate(
        course.domains.begin(), course.domains.end(), std::size_t{0});
    std::string const late = course.fails_late ? ", fails late" : "";
    return std::to_string(entries) + " entries, seed " +
           std::to_string(course.seed) + ", " +
           std::to_string(course.rounds_of_restarts) + " rounds, " +
           std::to_string(course.joins) + " joins, " +
           std::to_string(course.cuts) + " cuts, " +
           std::to_string(course.stall.count()) + " ms stalls, " +
           std::to_string(course.moves) + " moves, " +
           std::to_string(course.hold.count()) + " ms holds, " +
           std::to_string(course.rolls) + " rolls, " +
           std::to_string(course.pauses) + " pauses of " +
           std::to_string(course.pause.count()) + " ms" + late +
           (course.hangs ? ", hangs" : "");
}

std::vector<std::string> courses_that_exceed(retry_course course)
{
    constexpr double requests_per_entry = 15;
    constexpr std::size_t large = 100;
    std::vector<std::string> exceeding;
    for (auto const& fleet : std::vector<std::vector<std::size_t>>{
             {3, 3, 2}, {15, 14, 11}, {50, 50, 50}})
    {
        auto const entries =
            std::accumulate(fleet.begin(), fleet.end(), std::size_t{0});
        course.domains = fleet;
        course.requests_per_second =
            requests_per_entry * static_cast<double>(entries);
        std::uint64_t const seeds = entries > large ? 4 : 24;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            course.seed = seed * 7919;
            auto const worst = play(course);
            if (static_cast<double>(worst.arrivals) > worst.allowed)
            {
                exceeding.push_back(
                    to_string(course) + ": " + std::to_string(worst.arrivals) +
                    " of " + std::to_string(worst.allowed));
            }
        }
    }
    return exceeding;
}

} // namespace foxtailvale::direct
