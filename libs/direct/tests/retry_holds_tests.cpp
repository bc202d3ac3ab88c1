#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

// Guards against attempts that are given up while their link stands still, and
// arrive after the callers of their entry have moved to another.
TEST(retry_world, late_arrivals_and_moves_keep_the_budget)
{
    for (auto const held : {2000, 5000, 9000})
    {
        EXPECT_EQ(
            courses_that_exceed(
                {.moves = 2,
                 .fails_late = true,
                 .hold = std::chrono::milliseconds(held)}),
            std::vector<std::string>());
    }
}

// Guards against the same on links that stand still for longer than the budget
// counts a given-up attempt.
TEST(retry_world, links_held_for_longer_than_counted_keep_the_budget)
{
    for (auto const held : {12000, 15000})
    {
        EXPECT_EQ(
            courses_that_exceed(
                {.moves = 3,
                 .fails_late = true,
                 .hold = std::chrono::milliseconds(held)}),
            std::vector<std::string>());
    }
}

} // namespace foxtailvale::direct
