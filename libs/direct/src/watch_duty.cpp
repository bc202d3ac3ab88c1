#include <base/digest.hpp>
#include <direct/watch_duty.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

// The same order of entries at all of them.
std::pair<std::uint64_t, std::string> rank_of(std::string const& name)
{
    return {base::stable_hash(name), name};
}

bool is_live(live_watcher const& watcher, base::boot_time now)
{
    return now - watcher.heard <= watcher_silence;
}

struct counted_watchers
{
    std::size_t all = 0;
    std::size_t own_domain = 0;
    // Of the own failure domain and before this entry in the order.
    std::size_t before = 0;
};

counted_watchers count(watch_duty const& state, base::boot_time now)
{
    counted_watchers found;
    for (auto const& [name, watcher] : state.watchers)
    {
        if (!is_live(watcher, now))
        {
            continue;
        }
        ++found.all;
        if (watcher.failure_domain != state.own_domain)
        {
            continue;
        }
        ++found.own_domain;
        found.before += rank_of(name) < rank_of(state.own) ? 1 : 0;
    }
    return found;
}

std::size_t lookers_in_own_domain(watch_duty const& state, base::boot_time now)
{
    auto const found = std::ranges::count_if(
        state.lookers,
        [&](auto const& entry)
        {
            return is_live(entry.second, now) &&
                   entry.second.failure_domain == state.own_domain;
        });
    return static_cast<std::size_t>(found);
}

void change(watch_duty& state, bool watching, base::boot_time now)
{
    state.watching = watching;
    state.is_first = false;
    state.since = now;
    state.followed = now;
    state.too_few_since.reset();
}

bool may_stop(
    watch_duty& state,
    counted_watchers const& others,
    bool fresh,
    base::boot_time now)
{
    auto const shortest = state.is_first ? first_duty : shortest_duty;
    if (now - state.since < shortest)
    {
        return false;
    }
    if (!fresh && others.all > 0)
    {
        state.unfit_until = now + unfit_time;
        return true;
    }
    if (!fresh && state.neighbours >= most_lookers)
    {
        return now - state.since >= look_time + state.jitter;
    }
    return others.before > 0 && others.all >= fewest_watchers;
}

// How long a view may stay unconfirmed before this entry looks for itself.
std::chrono::milliseconds patience_of(watch_duty const& state)
{
    if (!state.is_first)
    {
        return follow_patience + state.jitter / 4;
    }
    return state.seed_answered ? answered_patience + state.jitter
                               : seed_patience + state.jitter / 4;
}

bool must_begin(
    watch_duty& state, counted_watchers const& others, base::boot_time now)
{
    if (now - state.followed > patience_of(state))
    {
        return lookers_in_own_domain(state, now) < most_lookers;
    }
    if (state.unfit_until && now < *state.unfit_until)
    {
        return false;
    }
    // One that has just begun is not answered yet.
    auto const begun = lookers_in_own_domain(state, now);
    if (others.all + begun >= fewest_watchers && others.own_domain + begun > 0)
    {
        state.too_few_since.reset();
        return false;
    }
    if (!state.too_few_since)
    {
        state.too_few_since = now;
    }
    return now - *state.too_few_since > few_patience + state.jitter;
}

} // namespace

void begin(watch_duty& state, base::boot_time now)
{
    state.since = now;
    state.followed = now;
    state.watching =
        state.seeds.empty() ||
        std::ranges::find(state.seeds, state.own) != state.seeds.end();
}

void note_watcher(
    watch_duty& state,
    std::string const& name,
    std::string const& failure_domain,
    watch_status word,
    base::boot_time now)
{
    if (name == state.own)
    {
        return;
    }
    state.watchers.erase(name);
    state.lookers.erase(name);
    if (word == watch_status::fresh)
    {
        state.watchers[name] = {failure_domain, now};
    }
    if (word == watch_status::looking)
    {
        state.lookers[name] = {failure_domain, now};
    }
}

void note_views_confirmed(watch_duty& state, base::boot_time now)
{
    state.followed = std::max(state.followed, now);
    if (!state.watching)
    {
        state.is_first = false;
    }
}

void follow(watch_duty& state, base::boot_time now)
{
    change(state, false, now);
}

bool decide(watch_duty& state, bool fresh, base::boot_time now)
{
    auto const others = count(state, now);
    if (state.watching && may_stop(state, others, fresh, now))
    {
        change(state, false, now);
    }
    else if (!state.watching && must_begin(state, others, now))
    {
        change(state, true, now);
    }
    return state.watching;
}

bool accepts_views_from(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now)
{
    if (failure_domain == state.own_domain ||
        now - state.followed > near_patience)
    {
        return true;
    }
    return count(state, now).own_domain == 0;
}

bool notifies_immediately(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now)
{
    return failure_domain == state.own_domain ||
           std::ranges::none_of(
               state.watchers,
               [&](auto const& entry)
               {
                   return is_live(entry.second, now) &&
                          entry.second.failure_domain == failure_domain;
               });
}

std::vector<std::string> asked(watch_duty const& state, base::boot_time now)
{
    constexpr std::size_t most_asked = 2;
    auto chosen = sources(state, now);
    if (count(state, now).all == 0)
    {
        return chosen;
    }
    std::erase_if(
        chosen,
        [&](std::string const& name)
        {
            auto const watcher = state.watchers.find(name);
            return watcher != state.watchers.end() &&
                   !accepts_views_from(
                       state, watcher->second.failure_domain, now);
        });
    chosen.resize(std::min(chosen.size(), most_asked));
    return chosen;
}

std::vector<std::string> sources(watch_duty const& state, base::boot_time now)
{
    std::vector<std::string> found;
    for (auto const& [name, watcher] : state.watchers)
    {
        if (is_live(watcher, now))
        {
            found.push_back(name);
        }
    }
    if (found.empty())
    {
        std::ranges::copy_if(
            state.seeds, std::back_inserter(found),
            [&state](std::string const& seed)
            {
                return seed != state.own;
            });
        return found;
    }
    auto const place = [&state](std::string const& name)
    {
        auto const far =
            state.watchers.at(name).failure_domain != state.own_domain;
        return std::pair(far, base::stable_hash(state.own + "/" + name));
    };
    std::ranges::sort(found, {}, place);
    return found;
}

} // namespace foxtailvale::direct
