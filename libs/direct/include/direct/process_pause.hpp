#ifndef FOXTAILVALE_DIRECT_PROCESS_PAUSE_HPP
#define FOXTAILVALE_DIRECT_PROCESS_PAUSE_HPP

#include <base/boot_clock.hpp>

#include <chrono>
#include <optional>

// Detects that this process was paused: frozen, or on a suspended machine.
// Messages that it reads right after a pause may have arrived at any time
// during the pause.
namespace foxtailvale::direct
{

struct process_pause
{
    // Time of the last tick.
    std::optional<base::boot_time> last_tick;
    base::boot_time began;
    std::optional<base::boot_time> ended;
};

// Ticks come every 20 ms. A tick that is 500 ms late was not delayed by the
// process's own work, which blocks for 0.1 s at most.
inline constexpr std::chrono::milliseconds max_tick_gap{500};

// Messages that arrived during a pause are read within this time after it.
inline constexpr std::chrono::milliseconds catch_up_time{2000};

// Must be called at each tick.
void note_tick(process_pause& state, base::boot_time now);

// Returns the earliest time at which a message that is read now may have
// arrived: now, or the beginning of a pause that has just ended.
//
// Failure: a version is announced while an entry is frozen for 6 s. If the
// entry took the announcement for a new one, it would start requests on the
// older version for 6 s longer than all other entries.
base::boot_time
earliest_arrival(process_pause const& state, base::boot_time now);

} // namespace foxtailvale::direct

#endif
