#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

std::vector<std::string> const none;

} // namespace

// Guards against entries that stop one after the other, whose last requests and
// those of their callers at other entries back retries of the same window.
TEST(retry_world, entries_that_stop_in_turn_keep_the_budget)
{
    for (std::size_t const rolls : {1U, 2U})
    {
        EXPECT_EQ(
            courses_that_exceed({.fails_late = true, .rolls = rolls}), none);
    }
}

// Guards against the same while no attempt is answered, so that entries that
// stop go on to repeat requests.
TEST(retry_world, attempts_that_hang_while_entries_stop_keep_the_budget)
{
    EXPECT_EQ(courses_that_exceed({.hangs = true}), none);
    for (std::size_t const rolls : {1U, 2U, 3U})
    {
        EXPECT_EQ(
            courses_that_exceed(
                {.fails_late = true, .hangs = true, .rolls = rolls}),
            none);
    }
}

// Guards against callers that move between entries while no attempt is
// answered.
TEST(retry_world, attempts_that_hang_while_callers_move_keep_the_budget)
{
    EXPECT_EQ(
        courses_that_exceed({.moves = 3, .fails_late = true, .hangs = true}),
        none);
}

} // namespace foxtailvale::direct
