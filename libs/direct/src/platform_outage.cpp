#include <direct/platform_outage.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

// Assumed also where the bound is short.
constexpr std::chrono::milliseconds min_unseen_age{5000};

} // namespace

void note_failure(platform_outage& state, base::boot_time began)
{
    if (state.failures == 0)
    {
        state.first = began;
        state.last = began;
    }
    ++state.failures;
    state.last = std::max(state.last, began);
    if (state.failures >= proof_failures &&
        state.last - state.first >= proof_time)
    {
        state.proven_until = state.last;
    }
}

void note_answer(platform_outage& state)
{
    state.failures = 0;
}

base::boot_time
accepted_since(platform_outage const& state, base::boot_time confirmed_before)
{
    return state.proven_until ? std::max(*state.proven_until, confirmed_before)
                              : confirmed_before;
}

std::chrono::milliseconds unseen_age(std::chrono::milliseconds bound)
{
    return std::max(bound - startup_grace, min_unseen_age);
}

} // namespace foxtailvale::direct
