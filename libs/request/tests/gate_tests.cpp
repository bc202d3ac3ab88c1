#include <request/gate.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

namespace
{

base::result<void> ask(gate& state, std::uint64_t number)
{
    return admit(state, {.attempt = {number, 0}});
}

} // namespace

// An endpoint has just started; four entries each send it a full load at once.
// Callers would see it fall over. The gate lets in what a cold endpoint bears
// and opens only as answers come back.
TEST(gate, a_cold_endpoint_gets_no_more_than_it_bears)
{
    gate state;
    set_limits(state, 8, 2);
    turn_cold(state, "one");
    EXPECT_TRUE(ask(state, 1).has_value());
    EXPECT_TRUE(ask(state, 2).has_value());
    EXPECT_EQ(ask(state, 3).error().kind, base::error_kind::endpoint_cold);
    finish(state, {1, 0}, true);
    finish(state, {2, 0}, true);
    EXPECT_EQ(state.limit, 4U);
    for (std::uint64_t number = 10; number < 14; ++number)
    {
        EXPECT_TRUE(ask(state, number).has_value());
    }
    EXPECT_FALSE(ask(state, 14).has_value());
    turn_cold(state, "two");
    finish(state, {10, 0}, false);
    EXPECT_EQ(state.limit, 2U);
    EXPECT_FALSE(ask(state, 15).has_value());
}

// An engine needs eight answers to be warm. Its first two come quickly, four
// requests at once are let in and it falls over: their callers lose their
// answers. As long as the engine says it is cold, answers open nothing.
TEST(gate, answers_open_nothing_while_the_endpoint_says_it_is_cold)
{
    gate state;
    set_limits(state, 8, 2);
    turn_cold(state, "one");
    state.reports_cold = true;
    for (std::uint64_t number = 1; number < 8; ++number)
    {
        EXPECT_TRUE(ask(state, number).has_value());
        finish(state, {number, 0}, true);
        EXPECT_EQ(state.limit, 2U);
    }
    state.reports_cold = false;
    for (std::uint64_t number = 10; number < 12; ++number)
    {
        EXPECT_TRUE(ask(state, number).has_value());
        finish(state, {number, 0}, true);
    }
    EXPECT_EQ(state.limit, 4U);
}

TEST(gate, refuses_while_leaving_out_or_with_other_weights)
{
    using base::error_kind;
    gate state;
    auto const mixed = admit(
        state,
        {.attempt = {1, 0}, .wanted_digest = "new", .serving_digest = "old"});
    EXPECT_EQ(mixed.error().kind, error_kind::version_mismatch);
    state.domain_in = false;
    EXPECT_EQ(ask(state, 2).error().kind, error_kind::domain_out);
    state.leaving = true;
    EXPECT_EQ(ask(state, 3).error().kind, error_kind::endpoint_leaving);
}

// A started engine answers its first requests and is not warm yet. Given twice
// the load it falls over, and everything that runs on it is lost.
TEST(gate, does_not_grow_while_the_endpoint_says_it_is_cold)
{
    gate state;
    set_limits(state, 8, 2);
    turn_cold(state, "i");
    state.reports_cold = true;
    for (std::uint64_t number = 0; number < 20; ++number)
    {
        ASSERT_TRUE(admit(state, {{number, 1}, "", ""}).has_value());
        finish(state, {number, 1}, true);
    }
    EXPECT_EQ(state.limit, 2U);
    state.reports_cold = false;
    for (std::uint64_t number = 0; number < 6; ++number)
    {
        admit(state, {{number, 2}, "", ""}).value();
        finish(state, {number, 2}, true);
    }
    EXPECT_EQ(state.limit, 8U);
}

} // namespace foxtailvale::request
