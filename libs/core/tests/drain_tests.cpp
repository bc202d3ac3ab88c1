#include <core/drain.hpp>
#include <gtest/gtest.h>

namespace foxtailvale::core
{

namespace
{

using std::chrono::milliseconds;

constexpr drain_limits limits{milliseconds(2000), milliseconds(100)};

base::time_point at(int time)
{
    return base::time_point(milliseconds(time));
}

} // namespace

TEST(drain, a_process_that_was_not_asked_goes_on)
{
    drain state;
    EXPECT_FALSE(advance_drain(state, limits, false, at(60'000)));
    EXPECT_FALSE(state.refuses);
}

// The balancer sends callers for a second or two after readiness went off.
// Refused or cut, they would see an error because of a planned restart.
TEST(drain, work_is_welcome_while_the_balancer_lags)
{
    drain state;
    begin_drain(state, at(0));
    EXPECT_FALSE(advance_drain(state, limits, false, at(1999)));
    EXPECT_FALSE(state.refuses);
    EXPECT_TRUE(advance_drain(state, limits, false, at(2000)));
    EXPECT_TRUE(state.refuses);
}

// A stream outlasts the grace. The process must refuse new work by then and
// must not end before the stream has, nor with its last piece still unsent.
TEST(drain, running_work_is_waited_for)
{
    drain state;
    begin_drain(state, at(0));
    EXPECT_FALSE(advance_drain(state, limits, true, at(5000)));
    EXPECT_TRUE(state.refuses);
    EXPECT_FALSE(advance_drain(state, limits, false, at(5099)));
    EXPECT_TRUE(advance_drain(state, limits, false, at(5100)));
}

TEST(drain, a_second_signal_changes_nothing)
{
    drain state;
    begin_drain(state, at(0));
    begin_drain(state, at(1500));
    EXPECT_TRUE(advance_drain(state, limits, false, at(2000)));
}

} // namespace foxtailvale::core
