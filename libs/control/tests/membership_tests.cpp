#include <control/membership.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::control
{

using std::chrono::milliseconds;

// A VM dies without notice while the platform's list still contains it. New
// work must stop once its heartbeats are missing, and resume when they return.
TEST(membership, missing_heartbeats_are_suspected_until_the_next_one)
{
    membership state;
    base::time_point const start{};
    listed_vm const vm{.name = "agent-1", .address = "10.0.0.1:7000"};
    EXPECT_TRUE(apply_change(state, diff_list(state, {vm}, 1), start));
    EXPECT_TRUE(note_heartbeat(state, "agent-1", false, start));
    EXPECT_FALSE(note_heartbeat(state, "stranger", false, start));
    EXPECT_TRUE(suspect_unresponsive(state, start + silence_limit).empty());
    auto const later = start + silence_limit + milliseconds(1);
    EXPECT_EQ(suspect_unresponsive(state, later).size(), 1U);
    EXPECT_TRUE(apply_change(state, diff_list(state, {vm}, 2), later));
    EXPECT_EQ(state.members["agent-1"].state, liveness::suspected);
    note_heartbeat(state, "agent-1", false, later);
    EXPECT_EQ(state.members["agent-1"].state, liveness::alive);
}

} // namespace foxtailvale::control
