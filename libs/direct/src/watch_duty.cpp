#include <base/digest.hpp>
#include <direct/watch_duty.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

// Sort key that gives the same order at all entries.
std::pair<std::uint64_t, std::string> rank_of(std::string const& name)
{
    return {base::stable_hash(name), name};
}

bool is_live(live_watcher const& watcher, base::boot_time now)
{
    return now - watcher.heard <= watcher_timeout;
}

struct counted_watchers
{
    std::size_t all = 0;
    std::size_t own_domain = 0;
    // Watchers of this entry's failure domain that precede it in the order.
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

std::size_t
unanswered_in_own_domain(watch_duty const& state, base::boot_time now)
{
    auto const found = std::ranges::count_if(
        state.unanswered,
        [&](auto const& entry)
        {
            return is_live(entry.second, now) &&
                   entry.second.failure_domain == state.own_domain;
        });
    return static_cast<std::size_t>(found);
}

void set_watching(watch_duty& state, bool watching, base::boot_time now)
{
    state.watching = watching;
    state.is_first = false;
    state.since = now;
    state.views_confirmed_at = now;
    state.too_few_since.reset();
}

bool may_stop_watching(
    watch_duty& state,
    counted_watchers const& others,
    bool fresh,
    base::boot_time now)
{
    auto const minimum = state.is_first ? min_first_watch : min_watch;
    if (now - state.since < minimum)
    {
        return false;
    }
    if (!fresh && others.all > 0)
    {
        state.store_backoff_until = now + store_backoff;
        return true;
    }
    if (!fresh && state.neighbours >= max_unanswered)
    {
        return now - state.since >= unanswered_time + state.jitter;
    }
    return others.before > 0 && others.all >= min_watchers;
}

// How long a view may stay unconfirmed before this entry starts to watch.
std::chrono::milliseconds follow_timeout_of(watch_duty const& state)
{
    if (!state.is_first)
    {
        return follow_timeout + state.jitter / 4;
    }
    return state.seed_answered ? seed_answered_timeout + state.jitter
                               : seed_timeout + state.jitter / 4;
}

bool must_start_watching(
    watch_duty& state, counted_watchers const& others, base::boot_time now)
{
    if (now - state.views_confirmed_at > follow_timeout_of(state))
    {
        return unanswered_in_own_domain(state, now) < max_unanswered;
    }
    if (state.store_backoff_until && now < *state.store_backoff_until)
    {
        return false;
    }
    // A watcher that has just started has no answer from the store yet.
    auto const begun = unanswered_in_own_domain(state, now);
    if (others.all + begun >= min_watchers && others.own_domain + begun > 0)
    {
        state.too_few_since.reset();
        return false;
    }
    if (!state.too_few_since)
    {
        state.too_few_since = now;
    }
    return now - *state.too_few_since > too_few_timeout + state.jitter;
}

} // namespace

void begin(watch_duty& state, base::boot_time now)
{
    state.since = now;
    state.views_confirmed_at = now;
    state.watching =
        state.seeds.empty() ||
        std::ranges::find(state.seeds, state.own) != state.seeds.end();
}

void note_watcher(
    watch_duty& state,
    std::string const& name,
    std::string const& failure_domain,
    watch_status status,
    base::boot_time now)
{
    if (name == state.own)
    {
        return;
    }
    state.watchers.erase(name);
    state.unanswered.erase(name);
    if (status == watch_status::fresh)
    {
        state.watchers[name] = {failure_domain, now};
    }
    if (status == watch_status::looking)
    {
        state.unanswered[name] = {failure_domain, now};
    }
}

void note_views_confirmed(watch_duty& state, base::boot_time now)
{
    state.views_confirmed_at = std::max(state.views_confirmed_at, now);
    if (!state.watching)
    {
        state.is_first = false;
    }
}

void follow(watch_duty& state, base::boot_time now)
{
    set_watching(state, false, now);
}

bool decide(watch_duty& state, bool fresh, base::boot_time now)
{
    auto const others = count(state, now);
    if (state.watching && may_stop_watching(state, others, fresh, now))
    {
        set_watching(state, false, now);
    }
    else if (!state.watching && must_start_watching(state, others, now))
    {
        set_watching(state, true, now);
    }
    return state.watching;
}

bool accepts_views_from(
    watch_duty const& state,
    std::string const& failure_domain,
    base::boot_time now)
{
    if (failure_domain == state.own_domain ||
        now - state.views_confirmed_at > own_domain_timeout)
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

std::vector<std::string>
entries_to_ask(watch_duty const& state, base::boot_time now)
{
    constexpr std::size_t max_asked = 2;
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
    chosen.resize(std::min(chosen.size(), max_asked));
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
    auto const rank = [&state](std::string const& name)
    {
        auto const is_remote =
            state.watchers.at(name).failure_domain != state.own_domain;
        return std::pair(is_remote, base::stable_hash(state.own + "/" + name));
    };
    std::ranges::sort(found, {}, rank);
    return found;
}

} // namespace foxtailvale::direct
