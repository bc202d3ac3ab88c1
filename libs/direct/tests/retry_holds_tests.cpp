#include "retry_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

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
