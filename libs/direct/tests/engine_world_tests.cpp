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
    course.deaf_entry = 0;
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

} // namespace foxtailvale::direct
