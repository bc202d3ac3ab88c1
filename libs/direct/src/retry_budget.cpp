#include <direct/retry_budget.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

std::int64_t second_of(base::time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               now.time_since_epoch())
        .count();
}

std::size_t slot_of(std::int64_t second)
{
    return static_cast<std::size_t>(second) % retry_budget::max_seconds;
}

void advance(retry_budget& budget, base::time_point now)
{
    auto const second = second_of(now);
    auto const first = std::max(
        budget.second + 1,
        second - static_cast<std::int64_t>(retry_budget::max_seconds) + 1);
    for (auto passed = first; passed <= second; ++passed)
    {
        budget.requests[slot_of(passed)] = 0;
    }
    budget.second = std::max(budget.second, second);
}

// This entry's part of the fixed number. A process cannot know what the one
// before it on the same machine has spent, and does not know yet how many
// entries there are.
double part_of_slack(
    retry_budget const& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now)
{
    auto const may_succeed_another =
        now - budget.started < bound.window + max_flight;
    return may_succeed_another || is_newcomer(count, now)
               ? 0.0
               : bound.slack / static_cast<double>(sharers(count));
}

} // namespace

void note_request(retry_budget& budget, base::time_point now)
{
    advance(budget, now);
    ++budget.requests[slot_of(budget.second)];
}

retry_budget_state state_of(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now)
{
    advance(budget, now);
    retry_budget_state found;
    for (std::int64_t back = 0; back < bound.window.count(); ++back)
    {
        found.requests += budget.requests[slot_of(budget.second - back)];
    }
    while (!budget.arrived.empty() &&
           now - budget.arrived.front() >= bound.window)
    {
        budget.arrived.pop_front();
    }
    found.spent = budget.on_the_way + budget.arrived.size();
    found.entries = sharers(count);
    found.allowed =
        assigned_fraction * (bound.ratio * static_cast<double>(found.requests) +
                             part_of_slack(budget, bound, count, now));
    found.running = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - budget.started);
    return found;
}

bool spend_retry(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now)
{
    auto const state = state_of(budget, bound, count, now);
    if (static_cast<double>(state.spent) + 1 > state.allowed)
    {
        return false;
    }
    ++budget.on_the_way;
    return true;
}

void note_retry_arrived(retry_budget& budget, base::time_point by)
{
    return_retry(budget);
    auto const next = std::ranges::upper_bound(budget.arrived, by);
    budget.arrived.insert(next, by);
}

void return_retry(retry_budget& budget)
{
    budget.on_the_way -= std::min<std::size_t>(1, budget.on_the_way);
}

} // namespace foxtailvale::direct
