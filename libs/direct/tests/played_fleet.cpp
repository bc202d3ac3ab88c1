#include "played_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace foxtailvale::direct
{

using std::chrono::milliseconds;

std::string domain_of(std::size_t number)
{
    constexpr std::size_t domains = 3;
    return std::string(1, static_cast<char>('a' + number % domains));
}

std::string ip_of_engine(std::size_t number)
{
    return "10.0.0." + std::to_string(number + 1);
}

std::string id_of_engine(std::size_t number)
{
    return "e" + std::to_string(number);
}

milliseconds to_milliseconds(base::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

void schedule(simulation& state, milliseconds wait, std::function<void()> event)
{
    state.events.emplace(state.now + wait, std::move(event));
}

milliseconds random_time(base::random_state& random, int from, int to)
{
    auto const span = static_cast<std::uint64_t>(to - from);
    return milliseconds(
        from + static_cast<int>(base::random_below(random, span + 1)));
}

double uniform(base::random_state& random)
{
    constexpr std::uint64_t steps = 1U << 30U;
    return (static_cast<double>(base::random_below(random, steps)) + 0.5) /
           static_cast<double>(steps);
}

double lognormal(base::random_state& random, double spread, double most)
{
    auto const normal = std::sqrt(-2 * std::log(uniform(random))) *
                        std::cos(2 * std::numbers::pi * uniform(random));
    return std::min(most, std::exp(spread * normal - spread * spread / 2));
}

bool is_affected(
    std::vector<engine_fault> const& faults,
    std::size_t engine,
    base::time_point now)
{
    return std::ranges::any_of(
        faults,
        [&](engine_fault const& fault)
        {
            return fault.engines.contains(engine) &&
                   now >= start + fault.time.from &&
                   now < start + fault.time.to;
        });
}

void deliver(simulation& state, std::size_t engine, std::function<void()> event)
{
    schedule(
        state, wire_time,
        [&state, engine, event = std::move(event)]
        {
            if (is_affected(state.scenario.engine_pauses, engine, state.now))
            {
                deliver(state, engine, event);
                return;
            }
            event();
        });
}

} // namespace foxtailvale::direct
