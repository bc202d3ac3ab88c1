#include <weights/send_window.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

// Outstanding chunks: one on the link, and three that cover the round trip of
// requests. In simulated bursts of 88 agents the last agent had all chunks
// after 3.5 s with four, 3.7 s with six and 4.0 s with eight.
constexpr std::size_t max_outstanding = 4;

// A promise whose chunk is not requested within this time no longer counts. A
// requester that was promised several chunks at once fetches three at a time.
constexpr std::chrono::milliseconds promise_lifetime{150};

bool is_stale(base::time_point promised, base::time_point now)
{
    return promised + promise_lifetime <= now;
}

} // namespace

bool may_promise(send_window const& window, base::time_point now)
{
    auto const open = std::ranges::count_if(
        window.promised,
        [now](base::time_point promised)
        {
            return !is_stale(promised, now);
        });
    return static_cast<std::size_t>(open) + window.waiting < max_outstanding;
}

void note_promised(send_window& window, base::time_point now)
{
    while (!window.promised.empty() && is_stale(window.promised.front(), now))
    {
        window.promised.pop_front();
    }
    window.promised.push_back(now);
}

void note_fetch_requested(send_window& window, base::time_point now)
{
    while (!window.promised.empty() && is_stale(window.promised.front(), now))
    {
        window.promised.pop_front();
    }
    if (!window.promised.empty())
    {
        window.promised.pop_front();
    }
    ++window.waiting;
}

void note_left(send_window& window)
{
    window.waiting -= window.waiting > 0 ? 1 : 0;
}

} // namespace foxtailvale::weights
