#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

std::vector<std::vector<std::size_t>> const fleets{
    {3, 1, 2}, {3, 3, 2}, {4, 4}, {1, 1, 1}, {15, 10, 20}};

// Plays the course on each fleet with eight seeds and expects that no ten
// seconds have more retries than allowed.
void expect_held(retry_course course)
{
    for (auto const& fleet : fleets)
    {
        course.domains = fleet;
        for (std::uint64_t seed = 1; seed <= 8; ++seed)
        {
            course.seed = seed * 7919;
            auto const worst = play(course);
            EXPECT_LE(static_cast<double>(worst.arrivals), worst.allowed)
                << to_string(course) << ", first domain of " << fleet.front();
        }
    }
}

} // namespace

// Guards against processes that have the fixed number of the retry budget once
// more each time they start.
TEST(retry_world, restarts_in_series_keep_the_budget)
{
    for (std::size_t const rounds : {1U, 3U, 7U})
    {
        expect_held({.rounds_of_restarts = rounds});
    }
}

// Guards against new processes beside others that are cut off, down or not yet
// known.
TEST(retry_world, restarts_joins_and_cuts_keep_the_budget)
{
    expect_held({.rounds_of_restarts = 4, .joins = 3, .cuts = 3});
    expect_held(
        {.rounds_of_restarts = 4,
         .joins = 3,
         .cuts = 3,
         .stall = std::chrono::milliseconds(1000)});
}

// Guards against retries that wait, or whose link or machine stands still, and
// arrive together with those of the next window.
TEST(retry_world, retries_that_arrive_late_keep_the_budget)
{
    for (auto const delay : {400, 1000, 2000})
    {
        for (auto const rate : {2.0, 10.0, 60.0})
        {
            expect_held(
                {.stall = std::chrono::milliseconds(delay),
                 .requests_per_second = rate});
        }
    }
}

} // namespace foxtailvale::direct
