#ifndef FOXTAILVALE_STANDINS_WALL_CLOCK_HPP
#define FOXTAILVALE_STANDINS_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace foxtailvale::standins
{

// Milliseconds since the epoch on the system clock, for timestamps that are
// compared between processes of one machine.
inline std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace foxtailvale::standins

#endif
