#include <direct/retry_budget.hpp>

#include <algorithm>
#include <limits>
#include <numeric>

namespace foxtailvale::direct
{

namespace
{

// Fractions of the ratio for which each source of requests pays. That of held
// requests counts more than twice, as over two windows of them pay for arrivals
// in one. The rest covers arrivals up to max_flight after the window in which
// they were paid for, and the requests of the second before it.
constexpr double recent_fraction = 0.7;
constexpr double held_fraction = 0.04;
constexpr double steady_fraction = 0.2;

// In the order in which they are asked.
constexpr std::array<retry_source, retry_sources> all_sources{
    retry_source::recent_requests, retry_source::held_requests,
    retry_source::steady_requests, retry_source::fixed_number};

// Sources whose requests pay within a second or not at all.
constexpr std::array recent_sources{
    retry_source::recent_requests, retry_source::held_requests};

constexpr std::int64_t slots_per_second =
    std::chrono::seconds(1) / retry_budget::slot_length;

std::int64_t slot_of(base::time_point now)
{
    return now.time_since_epoch() / retry_budget::slot_length;
}

std::uint32_t& count_of(retry_budget& budget, std::int64_t slot)
{
    return budget
        .requests[static_cast<std::size_t>(slot) % retry_budget::max_slots];
}

void advance(retry_budget& budget, base::time_point now)
{
    auto const newest = slot_of(now);
    auto const first = std::max(
        budget.slot + 1,
        newest - static_cast<std::int64_t>(retry_budget::max_slots) + 1);
    for (auto passed = first; passed <= newest; ++passed)
    {
        count_of(budget, passed) = 0;
    }
    budget.slot = std::max(budget.slot, newest);
}

// Returns the number of requests in this many slots up to the given one.
std::size_t requests_in(
    retry_budget& budget, std::int64_t newest, std::int64_t number_of_slots)
{
    std::size_t sum = 0;
    for (auto slot = newest - number_of_slots + 1; slot <= newest; ++slot)
    {
        sum += count_of(budget, slot);
    }
    return sum;
}

// Returns the least number of requests in any window that ended within the last
// one. Windows are a slot shorter here, and end with a whole slot: the one that
// ends before a moment then lies within a full window before it, although the
// moment is inside a slot.
std::size_t steady_requests(retry_budget& budget, std::int64_t window)
{
    auto const length = window - 1;
    auto sum = requests_in(budget, budget.slot - 1, length);
    auto least = sum;
    for (std::int64_t back = 1; back <= window; ++back)
    {
        sum += count_of(budget, budget.slot - back - length);
        sum -= count_of(budget, budget.slot - back);
        least = std::min(least, sum);
    }
    return least;
}

bool is_recent(retry_source source)
{
    return std::ranges::find(recent_sources, source) != recent_sources.end();
}

// Number of requests of a recent source that pay for one retry.
double price_of(retry_bound const& bound, retry_source source)
{
    auto const fraction =
        source == retry_source::held_requests ? held_fraction : recent_fraction;
    return bound.ratio > 0 ? 1 / (fraction * bound.ratio)
                           : std::numeric_limits<double>::infinity();
}

bool may_pay(retry_source source, earlier_attempts earlier)
{
    switch (source)
    {
    case retry_source::held_requests:
        return earlier == earlier_attempts::held;
    case retry_source::fixed_number:
        return true;
    default:
        return earlier == earlier_attempts::settled;
    }
}

template <typename Value>
Value& value_of(std::array<Value, retry_sources>& values, retry_source source)
{
    return values[static_cast<std::size_t>(source)];
}

// Forgets unspent requests that are not recent any more, down to what pays for
// one retry.
void drop_old_requests(retry_budget& budget, retry_bound const& bound)
{
    auto const recent =
        static_cast<double>(requests_in(budget, budget.slot, slots_per_second));
    for (auto const source : recent_sources)
    {
        auto& unspent = value_of(budget.unspent, source);
        unspent = std::min(unspent, std::max(recent, price_of(bound, source)));
    }
}

std::size_t spent_in_window(
    paid_retries& paid, retry_bound const& bound, base::time_point now)
{
    while (!paid.arrived.empty() && now - paid.arrived.front() >= bound.window)
    {
        paid.arrived.pop_front();
    }
    return paid.on_the_way + paid.arrived.size();
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

void end_way(retry_budget& budget, retry_source source)
{
    auto& paid = value_of(budget.paid, source);
    paid.on_the_way -= std::min<std::size_t>(1, paid.on_the_way);
}

} // namespace

earlier_attempts state_at(base::time_point held_until, base::time_point now)
{
    return held_until > now + max_flight ? earlier_attempts::held
                                         : earlier_attempts::settled;
}

std::string_view name_of(retry_source source)
{
    switch (source)
    {
    case retry_source::recent_requests:
        return "recent_requests";
    case retry_source::held_requests:
        return "held_requests";
    case retry_source::steady_requests:
        return "steady_requests";
    case retry_source::fixed_number:
        return "fixed_number";
    }
    return "unknown";
}

void note_request(
    retry_budget& budget, base::time_point arrived, base::time_point now)
{
    advance(budget, now);
    auto const slot = std::min(slot_of(arrived), budget.slot);
    auto const oldest =
        budget.slot - static_cast<std::int64_t>(retry_budget::max_slots);
    if (slot <= oldest)
    {
        return;
    }
    ++count_of(budget, slot);
    if (slot > budget.slot - slots_per_second)
    {
        for (auto const source : recent_sources)
        {
            ++value_of(budget.unspent, source);
        }
    }
}

retry_budget_state state_of(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now)
{
    advance(budget, now);
    drop_old_requests(budget, bound);
    auto const window = std::min(bound.window, retry_budget::max_window) /
                        retry_budget::slot_length;
    std::array<double, retry_sources> spent{};
    std::ranges::transform(
        budget.paid, spent.begin(),
        [&](paid_retries& paid)
        {
            return static_cast<double>(spent_in_window(paid, bound, now));
        });
    auto const slack =
        assigned_fraction * part_of_slack(budget, bound, count, now);

    retry_budget_state found;
    found.requests = requests_in(budget, budget.slot, window);
    found.steady = steady_requests(budget, window);
    found.spent = static_cast<std::size_t>(
        std::accumulate(spent.begin(), spent.end(), 0.0));
    found.entries = sharers(count);
    found.allowed =
        assigned_fraction * bound.ratio * static_cast<double>(found.requests) +
        slack;
    found.running = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - budget.started);
    for (auto const source : recent_sources)
    {
        value_of(found.left, source) =
            value_of(budget.unspent, source) / price_of(bound, source);
    }
    value_of(found.left, retry_source::steady_requests) =
        steady_fraction * bound.ratio * static_cast<double>(found.steady) -
        value_of(spent, retry_source::steady_requests);
    value_of(found.left, retry_source::fixed_number) =
        slack - value_of(spent, retry_source::fixed_number);
    return found;
}

std::optional<retry_source> spend_retry(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    earlier_attempts earlier,
    base::time_point now)
{
    auto state = state_of(budget, bound, count, now);
    auto const payer = std::ranges::find_if(
        all_sources,
        [&](retry_source source)
        {
            return may_pay(source, earlier) &&
                   value_of(state.left, source) >= 1;
        });
    if (static_cast<double>(state.spent) + 1 > state.allowed ||
        payer == all_sources.end())
    {
        return std::nullopt;
    }
    ++value_of(budget.paid, *payer).on_the_way;
    if (is_recent(*payer))
    {
        value_of(budget.unspent, *payer) -= price_of(bound, *payer);
    }
    return *payer;
}

void note_retry_arrived(
    retry_budget& budget, retry_source source, base::time_point by)
{
    end_way(budget, source);
    auto& arrived = value_of(budget.paid, source).arrived;
    arrived.insert(std::ranges::upper_bound(arrived, by), by);
}

void return_retry(
    retry_budget& budget, retry_bound const& bound, retry_source source)
{
    end_way(budget, source);
    if (is_recent(source))
    {
        value_of(budget.unspent, source) += price_of(bound, source);
    }
}

} // namespace foxtailvale::direct
