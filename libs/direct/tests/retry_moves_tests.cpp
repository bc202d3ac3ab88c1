#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

// Expects that no ten seconds have more retries than allowed.
void expect_held(retry_course const& course)
{
    for (auto const& played : at_all_sizes(course))
    {
        auto const worst = play(played);
        EXPECT_LE(static_cast<double>(worst.arrivals), worst.allowed)
            << to_string(played);
    }
}

} // namespace

// Guards against callers that move from some entries to others, so that their
// requests before the move and those after it back retries of the same window.
TEST(retry_world, callers_that_move_between_entries_keep_the_budget)
{
    for (std::size_t const moves : {1U, 2U, 5U})
    {
        expect_held({.moves = moves, .fails_late = true});
    }
}

// Guards against the same while entries restart, join and are cut off.
TEST(retry_world, moves_restarts_joins_and_cuts_keep_the_budget)
{
    expect_held(
        {.rounds_of_restarts = 2,
         .joins = 3,
         .cuts = 2,
         .moves = 3,
         .fails_late = true});
}

} // namespace foxtailvale::direct
