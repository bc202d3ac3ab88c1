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

TEST(drain, a_process_without_a_stop_request_keeps_running)
{
    drain state;
    EXPECT_FALSE(advance_drain(state, limits, false, at(60'000)));
    EXPECT_FALSE(state.refuses);
}

// The balancer keeps sending callers for a second or two after readiness went
// off. Refusing or cutting them off would turn a planned restart into errors.
TEST(drain, work_is_accepted_while_the_balancer_lags)
{
    drain state;
    begin_drain(state, at(0));
    EXPECT_FALSE(advance_drain(state, limits, false, at(1999)));
    EXPECT_FALSE(state.refuses);
    EXPECT_TRUE(advance_drain(state, limits, false, at(2000)));
    EXPECT_TRUE(state.refuses);
}

// A stream runs longer than the grace period. The process must refuse new work
// by then, but must not end before the stream does, nor while its last piece is
// unsent.
TEST(drain, the_process_waits_for_running_work)
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
