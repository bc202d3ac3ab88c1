#include <direct/store_fallback.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

// Between the time and twice the time.
base::duration spread(std::chrono::milliseconds time, double draw)
{
    return std::chrono::duration_cast<base::duration>(time * (1 + draw));
}

} // namespace

void note_answered(store_fallback& state, base::time_point now)
{
    state = {now, std::nullopt, false, first_store_pause};
}

bool may_read_store(
    store_fallback& state, list_need need, base::time_point now, double draw)
{
    if (need == list_need::transfer && !state.has_read)
    {
        state.next = now;
    }
    if (!state.next)
    {
        state.next = state.heard + spread(entry_patience, draw);
    }
    if (now < *state.next)
    {
        return false;
    }
    state.has_read = true;
    state.next = now + spread(state.pause, draw);
    state.pause = std::min(2 * state.pause, longest_store_pause);
    return true;
}

} // namespace foxtailvale::direct
