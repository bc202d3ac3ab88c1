#include "engine_world.hpp"

#include <gtest/gtest.h>

// Engines do not go on working for callers who have left.
namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Machines of some engines stand still under a burst. Their engines work on
// what they had read and say nothing of it.
fleet_course standstill(double load, milliseconds time)
{
    fleet_course course;
    course.load = load;
    course.named = {};
    course.length = milliseconds(9000);
    std::set<std::size_t> const engines{0, 1, 3, 4, 6, 8, 10, 12};
    stretch const still{milliseconds(3000), milliseconds(3000) + time};
    course.engine_pauses = {{engines, still}};
    course.agent_pauses = {{engines, still}};
    course.works_unheard = true;
    course.callers_leave = true;
    return course;
}

// The promise: of the requests whose callers left while an engine had them, no
// more than a quarter is still worked on half a second later.
void expect_ended(fleet_course course)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed)
    {
        course.seed = seed;
        auto const outcome = run_fleet(course);
        EXPECT_GT(outcome.cut, 0U) << "seed " << seed;
        EXPECT_LE(outcome.ran_on * 4, outcome.at_work_when_left)
            << "seed " << seed << ": " << to_text(outcome);
    }
}

} // namespace

// Guards against repeats that wait for a second engine that stands still until
// their callers leave.
TEST(callers_left, engines_stand_still_and_the_others_are_full)
{
    expect_ended(standstill(1.8, milliseconds(4000)));
}

// The same where the others have room.
TEST(callers_left, engines_stand_still_and_the_others_have_room)
{
    expect_ended(standstill(0.5, milliseconds(4000)));
}

// The same for shorter times, which end before or just after callers leave.
TEST(callers_left, engines_stand_still_for_a_moment)
{
    for (auto const time : {1500, 2000, 2500, 3000})
    {
        expect_ended(standstill(1.8, milliseconds(time)));
    }
}

} // namespace foxtailvale::direct
