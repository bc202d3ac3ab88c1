#include <direct/store_fallback.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

// Returns a time between one and two times the given one.
base::duration spread(std::chrono::milliseconds time, double jitter)
{
    return std::chrono::duration_cast<base::duration>(time * (1 + jitter));
}

} // namespace

void note_answered(store_fallback& state, base::time_point now)
{
    state = {now, std::nullopt, false, initial_store_backoff};
}

bool may_read_store(
    store_fallback& state, list_need need, base::time_point now, double jitter)
{
    if (need == list_need::transfer && !state.has_read)
    {
        state.next = now;
    }
    if (!state.next)
    {
        state.next = state.last_answer + spread(entry_timeout, jitter);
    }
    if (now < *state.next)
    {
        return false;
    }
    state.has_read = true;
    state.next = now + spread(state.backoff, jitter);
    state.backoff = std::min(2 * state.backoff, max_store_backoff);
    return true;
}

} // namespace foxtailvale::direct
