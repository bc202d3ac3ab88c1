#include "retry_world.hpp"

#include <gtest/gtest.h>

#include <numeric>
#include <vector>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

constexpr double requests_per_entry = 15;

// Plays the course with 8, 40 and 150 entries and many seeds, and expects that
// no ten seconds have more retries than allowed.
void expect_held(retry_course course)
{
    std::vector<std::vector<std::size_t>> const fleets{
        {3, 3, 2}, {15, 14, 11}, {50, 50, 50}};
    for (auto const& fleet : fleets)
    {
        course.domains = fleet;
        auto const entries =
            std::accumulate(fleet.begin(), fleet.end(), std::size_t{0});
        course.requests_per_second =
            requests_per_entry * static_cast<double>(entries);
        std::uint64_t const seeds = entries > 100 ? 4 : 24;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            course.seed = seed * 7919;
            auto const worst = play(course);
            EXPECT_LE(static_cast<double>(worst.arrivals), worst.allowed)
                << to_string(course) << ", " << entries << " entries";
        }
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

// Guards against attempts that are given up while their link stands still, and
// arrive after the request's retry, together with retries of a later window.
TEST(retry_world, attempts_that_arrive_long_after_their_end_keep_the_budget)
{
    for (auto const held : {2000, 5000, 9000})
    {
        expect_held({.hold = milliseconds(held)});
        expect_held(
            {.moves = 2, .fails_late = true, .hold = milliseconds(held)});
    }
}

} // namespace foxtailvale::direct
