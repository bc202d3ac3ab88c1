#include <weights/receive_window.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t most_fetching = 3;

// Slow ones included, so that no source holds up all questions.
constexpr std::size_t most_running = 10;

// Three chunks at the sender and three here, each 34 ms on a link of
// 7.6 Mbit/s, end by then.
constexpr milliseconds slow_chunk{250};

// How long a fast chunk from elsewhere shows that the own link is sound.
constexpr milliseconds fast_memory{2000};

bool others_are_fast(
    receive_window const& line, std::string const& agent, base::time_point now)
{
    return std::ranges::any_of(
        line.last_fast,
        [&](auto const& entry)
        {
            return entry.first != agent && now - entry.second < fast_memory;
        });
}

// A chunk came fast from another since the fetch was begun.
bool others_were_fast(
    receive_window const& line, receive_window::fetch const& fetch)
{
    return std::ranges::any_of(
        line.last_fast,
        [&](auto const& entry)
        {
            return entry.first != fetch.agent && entry.second >= fetch.begun;
        });
}

bool is_slow(receive_window::fetch const& fetch, base::time_point now)
{
    return now - fetch.begun > slow_chunk;
}

} // namespace

bool may_fetch(receive_window const& line, base::time_point now)
{
    if (now < line.not_before || line.running.size() >= most_running)
    {
        return false;
    }
    if (line.squeezed)
    {
        return std::ranges::none_of(
            line.running,
            [&](auto const& entry)
            {
                return entry.second.begun >= line.not_before;
            });
    }
    std::size_t filling = 0;
    bool is_trying = line.running.size() > most_fetching;
    for (auto const& [number, fetch] : line.running)
    {
        auto const slow = is_slow(fetch, now);
        filling += !slow || !others_were_fast(line, fetch) ? 1 : 0;
        is_trying =
            is_trying || !slow || !others_are_fast(line, fetch.agent, now);
    }
    return filling < most_fetching || !is_trying;
}

std::uint64_t begin_fetch(
    receive_window& line, std::string const& agent, base::time_point now)
{
    auto const number = ++line.next_number;
    line.running[number] = {agent, now};
    return number;
}

void end_fetch(receive_window& line, std::uint64_t number, base::time_point now)
{
    auto const found = line.running.find(number);
    if (found == line.running.end())
    {
        return;
    }
    auto const fetch = found->second;
    line.running.erase(found);
    if (!is_slow(fetch, now))
    {
        line.last_fast[fetch.agent] = now;
        line.squeezed = false;
        return;
    }
    if (!others_were_fast(line, fetch))
    {
        line.squeezed = true;
        line.not_before = now + (now - fetch.begun);
    }
}

std::vector<std::uint64_t>
squeezed_fetches(receive_window const& line, base::time_point now)
{
    std::vector<std::uint64_t> found;
    for (auto const& [number, fetch] : line.running)
    {
        if (is_slow(fetch, now) && others_are_fast(line, fetch.agent, now))
        {
            found.push_back(number);
        }
    }
    return found;
}

} // namespace foxtailvale::weights
