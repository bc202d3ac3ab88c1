#ifndef FOXTAILVALE_SCHEDULING_LONGEST_TIME_HPP
#define FOXTAILVALE_SCHEDULING_LONGEST_TIME_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace foxtailvale::scheduling
{

// The longest of the durations measured in the last half to whole minute.
struct longest_time
{
    struct window
    {
        std::chrono::milliseconds longest{0};
        std::uint32_t count = 0;
    };

    // When the current window began.
    base::time_point began;
    window current;
    window previous;
};

// Updates the state with a duration that was measured until now.
void note(
    longest_time& state,
    std::chrono::milliseconds measured,
    base::time_point now);

// Returns the longest duration; nothing if too few were measured to tell.
std::optional<std::chrono::milliseconds>
longest(longest_time state, base::time_point now);

} // namespace foxtailvale::scheduling

#endif
