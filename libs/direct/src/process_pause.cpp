#include <direct/process_pause.hpp>

namespace foxtailvale::direct
{

void note_tick(process_pause& state, base::boot_time now)
{
    if (state.last_tick && now - *state.last_tick > max_tick_gap)
    {
        state.began = *state.last_tick;
        state.ended = now;
    }
    state.last_tick = now;
}

base::boot_time
earliest_arrival(process_pause const& state, base::boot_time now)
{
    if (state.last_tick && now - *state.last_tick > max_tick_gap)
    {
        return *state.last_tick;
    }
    if (state.ended && now - *state.ended <= catch_up_time)
    {
        return state.began;
    }
    return now;
}

} // namespace foxtailvale::direct
