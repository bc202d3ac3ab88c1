#include <weights/receive_line.hpp>

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
    receive_line const& line, std::string const& agent, base::time_point now)
{
    return std::ranges::any_of(
        line.last_fast,
        [&](auto const& entry)
        {
            return entry.first != agent && now - entry.second < fast_memory;
        });
}

bool is_slow(receive_line::fetch const& fetch, base::time_point now)
{
    return now - fetch.begun > slow_chunk;
}

} // namespace

bool may_fetch(receive_line const& line, base::time_point now)
{
    if (now < line.not_before || line.running.size() >= most_running)
    {
        return false;
    }
    auto const filling = std::ranges::count_if(
        line.running,
        [&](auto const& entry)
        {
            return !is_slow(entry.second, now) ||
                   !others_are_fast(line, entry.second.agent, now);
        });
    return static_cast<std::size_t>(filling) < most_fetching;
}

std::uint64_t
begin_fetch(receive_line& line, std::string const& agent, base::time_point now)
{
    auto const number = ++line.next_number;
    line.running[number] = {agent, now};
    return number;
}

void end_fetch(receive_line& line, std::uint64_t number, base::time_point now)
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
        return;
    }
    if (!others_are_fast(line, fetch.agent, now))
    {
        line.not_before = now + (now - fetch.begun);
    }
}

std::vector<std::uint64_t>
squeezed_fetches(receive_line const& line, base::time_point now)
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
