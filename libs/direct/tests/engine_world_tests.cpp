#include "engine_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

} // namespace

// The rig itself: callers are served, engines change over, and the same seed
// gives the same course.
TEST(engine_world, a_quiet_fleet_changes_over)
{
    fleet_course course;
    course.load = 0.5;
    auto const outcome = run_fleet(course);
    EXPECT_GT(outcome.begun_on_older, 100U);
    EXPECT_TRUE(outcome.late.empty()) << to_text(outcome);
    EXPECT_EQ(outcome.on_newest, course.engines);
    EXPECT_GT(outcome.answered * 100, outcome.asked * 90) << to_text(outcome);
    EXPECT_EQ(outcome, run_fleet(course));
}

// The check sees what it is for: an entry that does not know of the versions
// sends to an engine that was not switched.
TEST(engine_world, a_late_beginning_is_found)
{
    fleet_course course;
    course.load = 0.8;
    course.entry_without_news = 0;
    course.late_chunks = {3, 4};
    course.chunk_delay = milliseconds(9000);
    auto const outcome = run_fleet(course);
    ASSERT_FALSE(outcome.late.empty());
    for (auto const& late : outcome.late)
    {
        EXPECT_EQ(late.entry, 0U);
        EXPECT_GT(late.begun, milliseconds(0));
    }
}

// Full load, engines that still serve the old version at its end since their
// chunks are late or no order reaches them, reports that come in time.
TEST(engine_world, punctual_reports_keep_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        fleet_course late;
        late.seed = seed;
        late.load = 1.2;
        late.late_chunks = {0, 4, 8, 12};
        late.chunk_delay = milliseconds(9000);
        auto outcome = run_fleet(late);
        EXPECT_TRUE(outcome.late.empty()) << to_text(outcome);
        fleet_course lost;
        lost.seed = seed;
        lost.load = 1.2;
        lost.orders_lost = {
            {{0, 4, 8, 12}, {milliseconds(0), milliseconds(20000)}}};
        outcome = run_fleet(lost);
        EXPECT_TRUE(outcome.late.empty()) << to_text(outcome);
    }
}

} // namespace foxtailvale::direct
