#include <core/drain.hpp>

namespace foxtailvale::core
{

void begin_drain(drain& state, base::time_point now)
{
    if (state.requested)
    {
        return;
    }
    state.requested = now;
    state.last_work = now;
}

bool advance_drain(
    drain& state, drain_limits const& limits, bool busy, base::time_point now)
{
    if (!state.requested)
    {
        return false;
    }
    if (busy)
    {
        state.last_work = now;
    }
    state.refuses = now - *state.requested >= limits.grace;
    return state.refuses && now - state.last_work >= limits.idle_period;
}

} // namespace foxtailvale::core
