#include <base/boot_clock.hpp>

#include <ctime>

namespace foxtailvale::base
{

boot_time boot_now()
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return {
        std::chrono::seconds(read.tv_sec) +
        std::chrono::nanoseconds(read.tv_nsec)};
}

} // namespace foxtailvale::base
