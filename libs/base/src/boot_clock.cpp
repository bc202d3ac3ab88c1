#include <base/boot_clock.hpp>

#include <ctime>

namespace foxtailvale::base
{

boot_time boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return {
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)};
}

} // namespace foxtailvale::base
