#include "burst_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// The origin's link needs 1.7 s for one copy; this allows 15 % more.
constexpr milliseconds first_copy_bound{1950};
// From the announcement until the last agent is complete, without faults.
constexpr milliseconds completion_bound{3500};
// From the origin's return until the last agent is complete.
constexpr milliseconds recovery_bound{3000};

void record_outcome(burst_outcome const& outcome)
{
    testing::Test::RecordProperty(
        "whole_ms",
        std::to_string(
            outcome.completed_after.value_or(milliseconds(-1)).count()));
    testing::Test::RecordProperty(
        "first_copy_ms",
        std::to_string(outcome.first_copy.value_or(milliseconds(-1)).count()));
    testing::Test::RecordProperty("copies", std::to_string(outcome.copies));
    testing::Test::RecordProperty(
        "connections", std::to_string(outcome.max_connections));
}

} // namespace

// A version is announced and nothing fails.
TEST(burst, a_version_reaches_all_agents_in_time_for_any_fleet_size)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        burst_scenario scenario;
        scenario.agents = agents;
        auto const outcome = run_burst(scenario);
        record_outcome(outcome);
        ASSERT_TRUE(outcome.completed_after);
        EXPECT_LE(*outcome.first_copy, first_copy_bound) << agents;
        EXPECT_LE(*outcome.completed_after, completion_bound) << agents;
        EXPECT_LE(outcome.copies, 1.1) << agents;
        EXPECT_LE(outcome.max_connections, 24U) << agents;
        EXPECT_EQ(outcome.refused, 0U);
    }
}

TEST(burst, three_hundred_agents_take_little_longer)
{
    burst_scenario scenario;
    scenario.agents = 300;
    auto const outcome = run_burst(scenario);
    record_outcome(outcome);
    ASSERT_TRUE(outcome.completed_after);
    // Three of the eight seconds of a version remain for the switch.
    EXPECT_LE(*outcome.completed_after, milliseconds(5000));
    EXPECT_LE(outcome.copies, 1.1);
    EXPECT_LE(outcome.max_connections, 24U);
}

// The origin dies 2.5 s after a version was announced and is away for six
// seconds. Its link sends one copy in 1.7 s, so the fleet no longer needs the
// origin by then. When every agent fetches a chunk of its own and keeps the
// connection, all connections are taken, the last chunks are never fetched, and
// no engine gets the version before the old one expires.
TEST(burst, an_origin_that_dies_after_its_first_copy_delays_nobody)
{
    burst_scenario scenario;
    scenario.agents = 88;
    scenario.origin_down = {{milliseconds(2500), milliseconds(8500)}};
    auto const outcome = run_burst(scenario);
    record_outcome(outcome);
    ASSERT_TRUE(outcome.completed_after);
    EXPECT_LE(*outcome.completed_after, milliseconds(4500));
    EXPECT_LE(outcome.copies, 1.1);
    scenario.all_fetch_from_origin = true;
    auto const before = run_burst(scenario);
    EXPECT_GT(before.refused, 0U);
}

// The origin dies before it has sent its first copy. Agents must neither back
// off for long nor overload the origin when it returns.
TEST(burst, a_fleet_is_filled_soon_after_the_origin_is_back)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        for (auto const dies :
             {milliseconds(1200), milliseconds(1800), milliseconds(2500)})
        {
            burst_scenario scenario;
            scenario.agents = agents;
            auto const back = dies + milliseconds(6000);
            scenario.origin_down = {{dies, back}};
            auto const outcome = run_burst(scenario);
            record_outcome(outcome);
            ASSERT_TRUE(outcome.completed_after);
            EXPECT_LE(*outcome.completed_after, back + recovery_bound)
                << agents << " agents, dies after " << dies.count() << " ms";
            // Chunks that were being sent when the origin died are sent again.
            EXPECT_LE(outcome.copies, 1.3);
            EXPECT_LE(outcome.max_connections, 30U);
        }
    }
}

// Fetchers are dead, start late or are cut off from the origin. Other agents
// must fetch in their place, but not the whole fleet.
TEST(burst, failed_origin_fetchers_are_replaced)
{
    burst_scenario dead;
    dead.agents = 88;
    dead.dead = {0, 5};
    auto const without = run_burst(dead);
    record_outcome(without);
    ASSERT_TRUE(without.completed_after);
    EXPECT_LE(*without.completed_after, completion_bound + milliseconds(3500));
    EXPECT_LE(without.copies, 1.2);

    burst_scenario cut;
    cut.agents = 88;
    cut.cut_from_origin = {0, 5};
    auto const around = run_burst(cut);
    ASSERT_TRUE(around.completed_after);
    EXPECT_LE(*around.completed_after, completion_bound + milliseconds(3500));
    EXPECT_LE(around.copies, 1.2);

    burst_scenario late;
    late.agents = 88;
    late.late = {{0, milliseconds(600)}, {7, milliseconds(900)}};
    auto const after = run_burst(late);
    ASSERT_TRUE(after.completed_after);
    EXPECT_LE(*after.completed_after, completion_bound + milliseconds(2500));
    EXPECT_LE(after.copies, 1.2);
}

// Guards against fetchers that die without notice: their chunks were missing in
// the whole fleet until the return of an origin that died soon after.
TEST(burst, chunks_of_stopped_drawers_are_drawn_before_the_origin_dies)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        burst_scenario scenario;
        scenario.agents = agents;
        scenario.dies = {{0, milliseconds(600)}, {8, milliseconds(1050)}};
        scenario.origin_down = {{milliseconds(2500), milliseconds(8500)}};
        auto const outcome = run_burst(scenario);
        ASSERT_TRUE(outcome.completed_after);
        EXPECT_LE(*outcome.completed_after, milliseconds(5500)) << agents;
    }
}

// Engines are added under load, and one machine in five has a narrowed link.
// The added agents request chunks from those beside serving engines; an agent
// that waits for the narrowed ones gets its weights only after ten seconds.
TEST(burst, added_engines_are_filled_past_narrowed_links)
{
    burst_scenario scenario;
    scenario.agents = 88;
    scenario.holders = 52;
    for (std::size_t number = 0; number < scenario.holders; number += 5)
    {
        scenario.narrowed[number] = 20;
    }
    auto const outcome = run_burst(scenario);
    record_outcome(outcome);
    ASSERT_TRUE(outcome.completed_after);
    EXPECT_LE(*outcome.completed_after, milliseconds(4500));
    EXPECT_EQ(outcome.copies, 0);
}

} // namespace foxtailvale::weights
