#ifndef FOXTAILVALE_BASE_BOOT_CLOCK_HPP
#define FOXTAILVALE_BASE_BOOT_CLOCK_HPP

#include <chrono>
#include <compare>

namespace foxtailvale::base
{

// Time since the machine booted, including the time it was suspended
// (CLOCK_BOOTTIME). The steady clock does not advance while a VM is suspended,
// so state that was confirmed before the suspension would still look fresh
// after it.
struct boot_time
{
    std::chrono::nanoseconds since_boot{0};

    auto operator<=>(boot_time const&) const = default;
};

boot_time boot_now();

inline boot_time operator-(boot_time left, std::chrono::milliseconds offset)
{
    return {left.since_boot - offset};
}

inline boot_time operator+(boot_time left, std::chrono::milliseconds offset)
{
    return {left.since_boot + offset};
}

inline std::chrono::milliseconds operator-(boot_time left, boot_time right)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        left.since_boot - right.since_boot);
}

} // namespace foxtailvale::base

#endif
