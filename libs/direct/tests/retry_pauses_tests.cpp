#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

std::vector<std::string> const none;

} // namespace

// Guards against entries that stand still, read what came meanwhile when they
// wake, and pay with it for retries of a window in which clients sent none of
// it.
TEST(retry_world, requests_that_are_read_after_a_pause_keep_the_budget)
{
    for (auto const paused : {2000, 5000, 9000})
    {
        for (auto const late : {false, true})
        {
            EXPECT_EQ(
                courses_that_exceed(
                    {.fails_late = late,
                     .pauses = 2,
                     .pause = milliseconds(paused)}),
                none);
        }
    }
}

// Guards against the same while no attempt is answered, so that those from
// before the pause are given up and repeated when the entries wake.
TEST(retry_world, attempts_that_hang_across_pauses_keep_the_budget)
{
    for (auto const paused : {2000, 5000, 9000})
    {
        EXPECT_EQ(
            courses_that_exceed(
                {.fails_late = true,
                 .hangs = true,
                 .pauses = 3,
                 .pause = milliseconds(paused)}),
            none);
    }
}

// Guards against pauses while entries are killed, stop in turn, join and are
// cut off, and callers move.
TEST(retry_world, pauses_stops_restarts_and_moves_keep_the_budget)
{
    for (auto const hangs : {false, true})
    {
        EXPECT_EQ(
            courses_that_exceed(
                {.rounds_of_restarts = 1,
                 .joins = 2,
                 .cuts = 1,
                 .moves = 2,
                 .fails_late = true,
                 .hangs = hangs,
                 .rolls = 1,
                 .pauses = 2,
                 .pause = milliseconds(5000)}),
            none);
    }
}

} // namespace foxtailvale::direct
