#include "engine_world.hpp"

#include <gtest/gtest.h>

// Engines do not continue to work for callers that have disconnected.
namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Machines of some engines are paused during a burst. The engines go on with
// the requests that they had read but send nothing.
fleet_scenario paused_engines(double load, milliseconds time)
{
    fleet_scenario scenario;
    scenario.load = load;
    scenario.announced_at = {};
    scenario.length = milliseconds(9000);
    std::set<std::size_t> const engines{0, 1, 3, 4, 6, 8, 10, 12};
    time_span const pause{milliseconds(3000), milliseconds(3000) + time};
    scenario.engine_pauses = {{engines, pause}};
    scenario.agent_pauses = {{engines, pause}};
    scenario.works_while_paused = true;
    scenario.callers_leave = true;
    return scenario;
}

// Of the requests whose callers disconnected while an engine had them, at most
// a quarter may still be worked on 0.5 s later.
void expect_work_stopped(fleet_scenario scenario)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        scenario.seed = seed;
        auto const outcome = run_fleet(scenario);
        EXPECT_GT(outcome.interrupted, 0U) << "seed " << seed;
        EXPECT_LE(outcome.still_at_work * 4, outcome.at_work_when_left)
            << "seed " << seed << ": " << to_text(outcome);
    }
}

} // namespace

// Failure: retries wait at a second paused engine until their callers
// disconnect.
TEST(callers_left, engines_stand_still_and_the_others_are_full)
{
    expect_work_stopped(paused_engines(1.8, milliseconds(4000)));
}

// The same while the other engines have free slots.
TEST(callers_left, engines_stand_still_and_the_others_have_room)
{
    expect_work_stopped(paused_engines(0.5, milliseconds(4000)));
}

// The same for shorter pauses, which end before or just after callers
// disconnect.
TEST(callers_left, engines_stand_still_for_a_moment)
{
    for (auto const time : {1500, 2000, 2500, 3000})
    {
        expect_work_stopped(paused_engines(1.8, milliseconds(time)));
    }
}

// Failure: requests wait at engines in long passes until their machines are
// paused, too.
TEST(callers_left, engines_stand_still_and_the_others_are_slow)
{
    auto scenario = paused_engines(1.8, milliseconds(4000));
    scenario.slow = {
        {{2, 5, 7, 9, 11, 13}, {milliseconds(0), scenario.length}}};
    scenario.slowdown = 3;
    expect_work_stopped(scenario);
}

} // namespace foxtailvale::direct
