#include "engine_world.hpp"

#include <gtest/gtest.h>

// Engines whose passes last for longer than an engine is usually silent.
namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// A pass that reads prompts lasts for up to 1.3 s at a third of the published
// speed.
fleet_scenario slow_engines(double load)
{
    fleet_scenario scenario;
    scenario.load = load;
    scenario.announced_at = {};
    scenario.length = milliseconds(9000);
    scenario.slow = {{{0, 4, 9, 13}, {milliseconds(0), scenario.length}}};
    scenario.slowdown = 3;
    return scenario;
}

void expect_none_broken_off(fleet_scenario scenario)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        scenario.seed = seed;
        auto const outcome = run_fleet(scenario);
        EXPECT_EQ(outcome.broken_off, 0U)
            << "seed " << seed << ": " << to_text(outcome);
    }
}

} // namespace

// Failure: engines in long passes count as lost, and their streams are broken
// off although the engines are about to continue them.
TEST(long_passes, streams_are_not_broken_off_under_full_load)
{
    expect_none_broken_off(slow_engines(1.8));
}

// The same while the other engines have free slots.
TEST(long_passes, streams_are_not_broken_off_under_half_load)
{
    expect_none_broken_off(slow_engines(0.5));
}

} // namespace foxtailvale::direct
