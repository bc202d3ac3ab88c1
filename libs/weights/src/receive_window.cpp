#include <weights/receive_window.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_fetching = 3;

// Includes slow fetches. Bounds how many requests are held up by slow sources.
constexpr std::size_t max_running = 10;

// A fetch that takes longer is slow. Three chunks queued at the sender and
// three at the receiver, each 34 ms on a link of 7.6 Mbit/s, arrive within this
// time.
constexpr milliseconds slow_fetch_time{250};

// How long a fast chunk from another agent shows that the agent's own link is
// not narrowed.
constexpr milliseconds fast_source_lifetime{2000};

bool others_are_fast(
    receive_window const& window,
    std::string const& agent,
    base::time_point now)
{
    return std::ranges::any_of(
        window.last_fast,
        [&](auto const& entry)
        {
            return entry.first != agent &&
                   now - entry.second < fast_source_lifetime;
        });
}

// Whether a chunk arrived fast from another agent since the fetch began.
bool others_were_fast(
    receive_window const& window, receive_window::fetch const& fetch)
{
    return std::ranges::any_of(
        window.last_fast,
        [&](auto const& entry)
        {
            return entry.first != fetch.agent && entry.second >= fetch.begun;
        });
}

bool is_slow(receive_window::fetch const& fetch, base::time_point now)
{
    return now - fetch.begun > slow_fetch_time;
}

} // namespace

bool may_fetch(receive_window const& window, base::time_point now)
{
    if (now < window.not_before || window.running.size() >= max_running)
    {
        return false;
    }
    if (window.narrowed)
    {
        return std::ranges::none_of(
            window.running,
            [&](auto const& entry)
            {
                return entry.second.begun >= window.not_before;
            });
    }
    std::size_t filling = 0;
    bool is_trying = window.running.size() > max_fetching;
    for (auto const& [number, fetch] : window.running)
    {
        auto const slow = is_slow(fetch, now);
        filling += !slow || !others_were_fast(window, fetch) ? 1 : 0;
        is_trying =
            is_trying || !slow || !others_are_fast(window, fetch.agent, now);
    }
    return filling < max_fetching || !is_trying;
}

std::uint64_t begin_fetch(
    receive_window& window, std::string const& agent, base::time_point now)
{
    auto const number = ++window.next_number;
    window.running[number] = {agent, now};
    return number;
}

void end_fetch(
    receive_window& window, std::uint64_t number, base::time_point now)
{
    auto const found = window.running.find(number);
    if (found == window.running.end())
    {
        return;
    }
    auto const fetch = found->second;
    window.running.erase(found);
    if (!is_slow(fetch, now))
    {
        window.last_fast[fetch.agent] = now;
        window.narrowed = false;
        return;
    }
    if (!others_were_fast(window, fetch))
    {
        window.narrowed = true;
        window.not_before = now + (now - fetch.begun);
    }
}

std::vector<std::uint64_t>
narrowed_fetches(receive_window const& window, base::time_point now)
{
    std::vector<std::uint64_t> found;
    for (auto const& [number, fetch] : window.running)
    {
        if (is_slow(fetch, now) && others_are_fast(window, fetch.agent, now))
        {
            found.push_back(number);
        }
    }
    return found;
}

} // namespace foxtailvale::weights
