#include <base/digest.hpp>
#include <direct/watch_duty.hpp>

#include <algorithm>
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
    return others.before > 0 && others.all >= fewest_watchers;
}

bool must_begin(
    watch_duty& state, counted_watchers const& others, base::boot_time now)
{
    if (now - state.followed > follow_patience + state.jitter / 4)
    {
        return true;
    }
    if (state.unfit_until && now < *state.unfit_until)
    {
        return false;
    }
    if (others.all >= fewest_watchers && others.own_domain > 0)
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

void note_watcher(
    watch_duty& state,
    std::string const& name,
    std::string const& failure_domain,
    bool fresh,
    base::boot_time now)
{
    if (name == state.own)
    {
        return;
    }
    if (!fresh)
    {
        state.watchers.erase(name);
        return;
    }
    state.watchers[name] = {failure_domain, now};
}

void note_followed(watch_duty& state, base::boot_time now)
{
    state.followed = std::max(state.followed, now);
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
    auto const is_far = [&state](std::string const& name)
    {
        return state.watchers.at(name).failure_domain != state.own_domain;
    };
    std::ranges::sort(
        found,
        [&](std::string const& one, std::string const& other)
        {
            return std::pair(is_far(one), rank_of(one)) <
                   std::pair(is_far(other), rank_of(other));
        });
    return found;
}

} // namespace foxtailvale::direct
