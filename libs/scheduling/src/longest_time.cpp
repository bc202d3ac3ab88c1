#include <scheduling/longest_time.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::milliseconds;

constexpr std::chrono::seconds window_length{30};

// With this many measurements about one later duration in seventeen is longer.
constexpr std::uint32_t min_count = 16;

void advance(longest_time& state, base::time_point now)
{
    if (now - state.began < window_length)
    {
        return;
    }
    auto const is_recent = now - state.began < 2 * window_length;
    state.previous = is_recent ? state.current : longest_time::window{};
    state.current = {};
    state.began = now;
}

} // namespace

void note(longest_time& state, milliseconds measured, base::time_point now)
{
    advance(state, now);
    state.current.longest = std::max(state.current.longest, measured);
    ++state.current.count;
}

std::optional<milliseconds> longest(longest_time state, base::time_point now)
{
    advance(state, now);
    if (state.current.count + state.previous.count < min_count)
    {
        return std::nullopt;
    }
    return std::max(state.current.longest, state.previous.longest);
}

} // namespace foxtailvale::scheduling
