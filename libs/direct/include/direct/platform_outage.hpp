#ifndef FOXTAILVALE_DIRECT_PLATFORM_OUTAGE_HPP
#define FOXTAILVALE_DIRECT_PLATFORM_OUTAGE_HPP

#include <base/boot_clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

// Detects outages of the platform and determines the effective time of versions
// that were accepted during one.
namespace foxtailvale::direct
{

// Consecutive failed calls to the platform, over all kinds of objects.
struct platform_outage
{
    std::uint32_t failures = 0;
    // When the first and the last of these calls began.
    base::boot_time first;
    base::boot_time last;
    // When the last failed call of a proven outage began.
    std::optional<base::boot_time> proven_until;
};

// Number of consecutive failed calls after which an outage counts as proven,
// and the minimum time between the first and the last of them.
//
// Failure: a process that was paused for 6 s finds all of its pending calls
// failed when it resumes, although the platform was available to all others. A
// single broken connection causes one failure, with successful calls on other
// connections in between.
inline constexpr std::uint32_t proof_failures = 3;
inline constexpr std::chrono::milliseconds proof_time{1500};

// Records a call that began at this time and failed.
void note_failure(platform_outage& state, base::boot_time began);

// Records an answered call.
void note_answer(platform_outage& state);

// Returns the time from which a version counts that this process learns of now:
// the last confirmation before it, since the version may have been accepted
// right after that, or the end of a later proven outage. The time limit for
// older versions applies while the platform can be reached.
//
// Failure: versions were announced while the platform was down. Counted from
// the last confirmation, the grace period of the older versions was over when
// the platform came back, and every request was refused for the 4 to 7 s that
// the new weights took to arrive, although the engines could have continued
// with the older ones.
base::boot_time
accepted_since(platform_outage const& state, base::boot_time confirmed_before);

// Returns the assumed age of a version that is already announced when this
// process starts. `bound` is the time after a version's acceptance in which
// requests may start on older ones. Older versions are then retired at most
// startup_grace after the start, whenever the version was accepted.
//
// Failure: the age was the same for all bounds. Where the bound is longer,
// entries that restarted late in it used the older version beyond its end.
std::chrono::milliseconds unseen_age(std::chrono::milliseconds bound);

// A process that has just started is not held to the bound for this long.
inline constexpr std::chrono::milliseconds startup_grace{3000};

} // namespace foxtailvale::direct

#endif
