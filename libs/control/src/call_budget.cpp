#include <control/call_budget.hpp>

#include <algorithm>

namespace foxtailvale::control
{

bool take_call(call_budget& budget, base::time_point now)
{
    std::chrono::duration<double> const passed = now - budget.filled;
    budget.filled = now;
    budget.tokens =
        std::min(call_burst, budget.tokens + passed.count() * calls_per_second);
    if (budget.tokens < 1)
    {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

std::chrono::milliseconds
note_call(call_budget& budget, bool answered, base::random_state& random)
{
    if (answered)
    {
        budget.failures = 0;
        return std::chrono::milliseconds(0);
    }
    constexpr std::uint32_t max_doublings = 10;
    auto const doublings = std::min(budget.failures, max_doublings);
    ++budget.failures;
    auto const backoff =
        std::min(longest_pause, shortest_pause * (1U << doublings));
    auto const half = static_cast<std::uint64_t>(backoff.count()) / 2;
    return std::chrono::milliseconds(
        half + base::random_below(random, half + 1));
}

} // namespace foxtailvale::control
