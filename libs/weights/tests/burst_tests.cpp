#include "burst_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// What the origin's link needs for a copy, 1.7 s, and fifteen in a hundred
// more.
constexpr milliseconds first_copy_bound{1950};
// From the naming to the last agent on a calm day.
constexpr milliseconds whole_bound{3500};
// From the origin's return to the last agent.
constexpr milliseconds return_bound{3000};

void record(burst_outcome const& outcome)
{
    testing::Test::RecordProperty(
        "whole_ms",
        std::to_string(outcome.whole.value_or(milliseconds(-1)).count()));
    testing::Test::RecordProperty(
        "first_copy_ms",
        std::to_string(outcome.first_copy.value_or(milliseconds(-1)).count()));
    testing::Test::RecordProperty("copies", std::to_string(outcome.copies));
    testing::Test::RecordProperty(
        "connections", std::to_string(outcome.most_connections));
}

} // namespace

// A version is named on a calm day.
TEST(burst, a_version_is_everywhere_soon_whatever_the_size_of_the_fleet)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        burst_course course;
        course.agents = agents;
        auto const outcome = run_burst(course);
        record(outcome);
        ASSERT_TRUE(outcome.whole);
        EXPECT_LE(*outcome.first_copy, first_copy_bound) << agents;
        EXPECT_LE(*outcome.whole, whole_bound) << agents;
        EXPECT_LE(outcome.copies, 1.1) << agents;
        EXPECT_LE(outcome.most_connections, 24U) << agents;
        EXPECT_EQ(outcome.refused, 0U);
    }
}

TEST(burst, three_hundred_agents_take_little_longer)
{
    burst_course course;
    course.agents = 300;
    auto const outcome = run_burst(course);
    record(outcome);
    ASSERT_TRUE(outcome.whole);
    // Three of the eight seconds of a version are left for the switch.
    EXPECT_LE(*outcome.whole, milliseconds(5000));
    EXPECT_LE(outcome.copies, 1.1);
    EXPECT_LE(outcome.most_connections, 24U);
}

// The origin dies 2.5 s after a version is named and is away for six seconds.
// One copy leaves it in 1.7 s, so the fleet needs it no more. When every agent
// draws a chunk of its own and keeps the connection, the places are taken, the
// last chunks are never drawn, and no engine gets the version before it ends.
TEST(burst, an_origin_that_dies_after_its_first_copy_is_not_missed)
{
    burst_course course;
    course.agents = 88;
    course.origin_away = {{milliseconds(2500), milliseconds(8500)}};
    auto const outcome = run_burst(course);
    record(outcome);
    ASSERT_TRUE(outcome.whole);
    EXPECT_LE(*outcome.whole, milliseconds(4500));
    EXPECT_LE(outcome.copies, 1.1);
    course.all_draw = true;
    auto const before = run_burst(course);
    EXPECT_GT(before.refused, 0U);
}

// The origin dies before its first copy is out. Nobody may back off for long,
// and nobody may overrun it when it is back.
TEST(burst, a_fleet_is_filled_soon_after_the_origin_is_back)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        for (auto const dies :
             {milliseconds(1200), milliseconds(1800), milliseconds(2500)})
        {
            burst_course course;
            course.agents = agents;
            auto const back = dies + milliseconds(6000);
            course.origin_away = {{dies, back}};
            auto const outcome = run_burst(course);
            record(outcome);
            ASSERT_TRUE(outcome.whole);
            EXPECT_LE(*outcome.whole, back + return_bound)
                << agents << " agents, dies after " << dies.count() << " ms";
            // What was under way when it died is sent again.
            EXPECT_LE(outcome.copies, 1.3);
            EXPECT_LE(outcome.most_connections, 30U);
        }
    }
}

// Agents that draw are dead, start late or are cut off from the origin. Others
// must draw in their place, and not the whole fleet.
TEST(burst, drawers_that_fail_are_replaced)
{
    burst_course dead;
    dead.agents = 88;
    dead.dead = {0, 5};
    auto const without = run_burst(dead);
    record(without);
    ASSERT_TRUE(without.whole);
    EXPECT_LE(*without.whole, whole_bound + milliseconds(3500));
    EXPECT_LE(without.copies, 1.2);

    burst_course cut;
    cut.agents = 88;
    cut.cut_from_origin = {0, 5};
    auto const around = run_burst(cut);
    ASSERT_TRUE(around.whole);
    EXPECT_LE(*around.whole, whole_bound + milliseconds(3500));
    EXPECT_LE(around.copies, 1.2);

    burst_course late;
    late.agents = 88;
    late.late = {{0, milliseconds(600)}, {7, milliseconds(900)}};
    auto const after = run_burst(late);
    ASSERT_TRUE(after.whole);
    EXPECT_LE(*after.whole, whole_bound + milliseconds(2500));
    EXPECT_LE(after.copies, 1.2);
}

// Guards against chunks of fetchers that end without a word being missed by the
// whole fleet until an origin that dies soon after is back.
TEST(burst, chunks_of_stopped_drawers_are_drawn_before_the_origin_dies)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        burst_course course;
        course.agents = agents;
        course.dies = {{0, milliseconds(600)}, {8, milliseconds(1050)}};
        course.origin_away = {{milliseconds(2500), milliseconds(8500)}};
        auto const outcome = run_burst(course);
        ASSERT_TRUE(outcome.whole);
        EXPECT_LE(*outcome.whole, milliseconds(5500)) << agents;
    }
}

// Engines are added under load, and one machine in five has a squeezed link.
// Each agent asks those that serve; waiting for the squeezed ones it is empty
// for ten seconds.
TEST(burst, added_engines_are_filled_past_squeezed_links)
{
    burst_course course;
    course.agents = 88;
    course.holders = 52;
    for (std::size_t number = 0; number < course.holders; number += 5)
    {
        course.squeezed[number] = 20;
    }
    auto const outcome = run_burst(course);
    record(outcome);
    ASSERT_TRUE(outcome.whole);
    EXPECT_LE(*outcome.whole, milliseconds(4500));
    EXPECT_EQ(outcome.copies, 0);
}

} // namespace foxtailvale::weights
