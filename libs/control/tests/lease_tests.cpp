#include <control/lease.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::control
{

using std::chrono::milliseconds;

// A lease holder is paused beyond its lease and resumes after a second planner
// has taken over. Both would issue plans; the first must conclude from its own
// clock that its lease has expired.
TEST(lease, a_paused_holder_knows_that_its_lease_expired)
{
    base::time_point const start{};
    lease_state holder{.self = "a"};
    lease_taken(holder, 1, start);
    EXPECT_TRUE(holds_lease(holder, start + milliseconds(5999)));
    EXPECT_FALSE(holds_lease(holder, start + lease_length));

    lease_state other{.self = "b"};
    lease_seen(other, 1, start + milliseconds(10));
    EXPECT_FALSE(may_take_lease(other, start + lease_length));
    EXPECT_TRUE(may_take_lease(other, start + lease_length + milliseconds(10)));
    lease_seen(other, 2, start + lease_length);
    EXPECT_FALSE(
        may_take_lease(other, start + lease_length + milliseconds(10)));
}

} // namespace foxtailvale::control
