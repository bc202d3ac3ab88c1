#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

std::vector<std::string> const none;

} // namespace

// Guards against callers that move from some entries to others, so that their
// requests before the move and those after it back retries of the same window.
TEST(retry_world, callers_that_move_between_entries_keep_the_budget)
{
    for (std::size_t const moves : {1U, 2U, 5U})
    {
        EXPECT_EQ(
            courses_that_exceed({.moves = moves, .fails_late = true}), none);
    }
}

// Guards against the same while entries restart, join and are cut off.
TEST(retry_world, moves_restarts_joins_and_cuts_keep_the_budget)
{
    EXPECT_EQ(
        courses_that_exceed(
            {.rounds_of_restarts = 2,
             .joins = 3,
             .cuts = 2,
             .moves = 3,
             .fails_late = true}),
        none);
}

// Guards against attempts that are given up while their link stands still, and
// arrive after the request's retry, together with retries of a later window.
TEST(retry_world, attempts_that_arrive_long_after_their_end_keep_the_budget)
{
    for (auto const held : {2000, 5000, 9000})
    {
        EXPECT_EQ(courses_that_exceed({.hold = milliseconds(held)}), none);
    }
}

} // namespace foxtailvale::direct
