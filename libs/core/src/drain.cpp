#include <core/drain.hpp>

namespace foxtailvale::core
{

void begin_drain(drain& state, base::time_point now)
{
    if (state.asked)
    {
        return;
    }
    state.asked = now;
    state.last_work = now;
}

bool advance_drain(
    drain& state, drain_limits const& limits, bool busy, base::time_point now)
{
    if (!state.asked)
    {
        return false;
    }
    if (busy)
    {
        state.last_work = now;
    }
    state.refuses = now - *state.asked >= limits.grace;
    return state.refuses && now - state.last_work >= limits.quiet;
}

} // namespace foxtailvale::core
