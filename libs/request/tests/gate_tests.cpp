#include <request/gate.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

namespace
{

base::result<void> try_admit(gate& state, std::uint64_t number)
{
    return admit(state, {.attempt = {number, 0}});
}

} // namespace

// An endpoint has just started, and four entries each send it a full load at
// once, under which it would crash. The gate must admit no more than the cold
// limit and raise the limit only as answers arrive.
TEST(gate, a_cold_endpoint_is_held_to_the_cold_limit)
{
    gate state;
    set_limits(state, 8, 2);
    turn_cold(state, "one");
    EXPECT_TRUE(try_admit(state, 1).has_value());
    EXPECT_TRUE(try_admit(state, 2).has_value());
    EXPECT_EQ(
        try_admit(state, 3).error().kind, base::error_kind::endpoint_cold);
    finish(state, {1, 0}, true);
    finish(state, {2, 0}, true);
    EXPECT_EQ(state.limit, 4U);
    for (std::uint64_t number = 10; number < 14; ++number)
    {
        EXPECT_TRUE(try_admit(state, number).has_value());
    }
    EXPECT_FALSE(try_admit(state, 14).has_value());
    turn_cold(state, "two");
    finish(state, {10, 0}, false);
    EXPECT_EQ(state.limit, 2U);
    EXPECT_FALSE(try_admit(state, 15).has_value());
}

// An engine needs eight answers to be warm. If its first two quick answers
// doubled the limit, four concurrent requests would crash it and their callers
// would lose their answers. Answers must not raise the limit while the engine
// reports that it is cold.
TEST(gate, answers_do_not_raise_the_limit_while_the_endpoint_reports_cold)
{
    gate state;
    set_limits(state, 8, 2);
    turn_cold(state, "one");
    state.reports_cold = true;
    for (std::uint64_t number = 1; number < 8; ++number)
    {
        EXPECT_TRUE(try_admit(state, number).has_value());
        finish(state, {number, 0}, true);
        EXPECT_EQ(state.limit, 2U);
    }
    state.reports_cold = false;
    for (std::uint64_t number = 10; number < 12; ++number)
    {
        EXPECT_TRUE(try_admit(state, number).has_value());
        finish(state, {number, 0}, true);
    }
    EXPECT_EQ(state.limit, 4U);
}

TEST(gate, refuses_while_leaving_with_domain_out_or_on_version_mismatch)
{
    using base::error_kind;
    gate state;
    auto const mixed = admit(
        state,
        {.attempt = {1, 0}, .wanted_digest = "new", .serving_digest = "old"});
    EXPECT_EQ(mixed.error().kind, error_kind::version_mismatch);
    state.domain_in = false;
    EXPECT_EQ(try_admit(state, 2).error().kind, error_kind::domain_out);
    state.leaving = true;
    EXPECT_EQ(try_admit(state, 3).error().kind, error_kind::endpoint_leaving);
}

// A newly started engine answers its first requests before it is warm. With
// twice the load it would crash, and all requests running on it would be lost.
TEST(gate, limit_grows_to_warm_only_once_the_endpoint_stops_reporting_cold)
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
