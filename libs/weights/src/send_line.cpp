#include <weights/send_window.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

// Chunks outstanding: one on the link, and three for the time that questions
// and requests take to come and go. In bursts in virtual time (88 agents) the
// last agent was whole after 3.5 s with four, 3.7 s with six
// and 4.0 s with eight.
constexpr std::size_t most_outstanding = 4;

// A promise that is not called in by then is not waited for. Who was promised
// several at once fetches three at a time.
constexpr std::chrono::milliseconds promise_time{150};

bool is_stale(base::time_point promised, base::time_point now)
{
    return promised + promise_time <= now;
}

} // namespace

bool may_promise(send_window const& line, base::time_point now)
{
    auto const open = std::ranges::count_if(
        line.promised,
        [now](base::time_point promised)
        {
            return !is_stale(promised, now);
        });
    return static_cast<std::size_t>(open) + line.waiting < most_outstanding;
}

void note_promised(send_window& line, base::time_point now)
{
    while (!line.promised.empty() && is_stale(line.promised.front(), now))
    {
        line.promised.pop_front();
    }
    line.promised.push_back(now);
}

void note_fetch_requested(send_window& line, base::time_point now)
{
    while (!line.promised.empty() && is_stale(line.promised.front(), now))
    {
        line.promised.pop_front();
    }
    if (!line.promised.empty())
    {
        line.promised.pop_front();
    }
    ++line.waiting;
}

void note_left(send_window& line)
{
    line.waiting -= line.waiting > 0 ? 1 : 0;
}

} // namespace foxtailvale::weights
