#include "engine_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

} // namespace

// Checks the simulation itself: callers are served, engines switch versions,
// and the same seed gives the same result.
TEST(engine_world, a_quiet_fleet_changes_over)
{
    fleet_scenario scenario;
    scenario.load = 0.5;
    auto const outcome = run_fleet(scenario);
    EXPECT_GT(outcome.begun_on_older, 100U);
    EXPECT_TRUE(outcome.late.empty()) << to_text(outcome);
    EXPECT_EQ(outcome.on_newest, scenario.engines);
    EXPECT_GT(outcome.answered * 100, outcome.requests * 90)
        << to_text(outcome);
    EXPECT_EQ(outcome, run_fleet(scenario));
}

// Checks that late starts are detected: an entry that does not know the new
// versions sends to an engine that has not switched.
TEST(engine_world, a_late_beginning_is_found)
{
    fleet_scenario scenario;
    scenario.load = 0.8;
    scenario.uninformed_entry = 0;
    scenario.late_chunks = {3, 4};
    scenario.chunk_delay = milliseconds(9000);
    auto const outcome = run_fleet(scenario);
    ASSERT_FALSE(outcome.late.empty());
    for (auto const& late : outcome.late)
    {
        EXPECT_EQ(late.entry, 0U);
        EXPECT_GT(late.begun, milliseconds(0));
    }
}

// Full load, engines that still serve the old version when it retires because
// their chunks are late or orders do not reach them, and reports on time.
TEST(engine_world, punctual_reports_keep_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        fleet_scenario late;
        late.seed = seed;
        late.load = 1.2;
        late.late_chunks = {0, 4, 8, 12};
        late.chunk_delay = milliseconds(9000);
        auto outcome = run_fleet(late);
        EXPECT_TRUE(outcome.late.empty()) << to_text(outcome);
        fleet_scenario lost;
        lost.seed = seed;
        lost.load = 1.2;
        lost.orders_lost = {
            {{0, 4, 8, 12}, {milliseconds(0), milliseconds(20000)}}};
        outcome = run_fleet(lost);
        EXPECT_TRUE(outcome.late.empty()) << to_text(outcome);
    }
}

} // namespace foxtailvale::direct
