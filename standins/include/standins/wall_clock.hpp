#ifndef FOXTAILVALE_STANDINS_WALL_CLOCK_HPP
#define FOXTAILVALE_STANDINS_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace foxtailvale::standins
{

// Milliseconds since the epoch, for times that processes on one machine
// compare.
inline std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace foxtailvale::standins

#endif
