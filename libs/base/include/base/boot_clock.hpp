#ifndef FOXTAILVALE_BASE_BOOT_CLOCK_HPP
#define FOXTAILVALE_BASE_BOOT_CLOCK_HPP

#include <chrono>
#include <compare>

namespace foxtailvale::base
{

// Time since the machine's start with the time that it was suspended. The
// steady clock stands still while a VM is suspended, so what was confirmed
// before would look fresh after it.
struct boot_time
{
    std::chrono::nanoseconds since_boot{0};

    auto operator<=>(boot_time const&) const = default;
};

boot_time boot_now();

inline boot_time operator-(boot_time one, std::chrono::milliseconds span)
{
    return {one.since_boot - span};
}

inline boot_time operator+(boot_time one, std::chrono::milliseconds span)
{
    return {one.since_boot + span};
}

inline std::chrono::milliseconds operator-(boot_time one, boot_time other)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        one.since_boot - other.since_boot);
}

} // namespace foxtailvale::base

#endif
