#include "../src/switch_log.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};
constexpr milliseconds bound{8000};

weights::switch_context ask_of(
    std::uint64_t serving,
    std::vector<weights::announced_target> const& targets)
{
    weights::switch_context ask;
    ask.serving = serving;
    ask.targets = targets;
    ask.bound = bound;
    return ask;
}

switch_plan plan_at(base::duration turn)
{
    switch_plan plan;
    plan.serving = 1;
    plan.target = 2;
    plan.first = 2;
    plan.announced_at = start;
    plan.turn = start + turn;
    plan.bound = bound;
    return plan;
}

} // namespace

TEST(plan_of, counts_from_the_version_whose_bound_ends_the_one_in_use)
{
    std::vector<weights::announced_target> const announced{
        {2, start}, {3, start + seconds(1)}};
    auto const ask = ask_of(1, announced);
    auto const plan = plan_of(ask, 3, 12);
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->first, 2U);
    EXPECT_EQ(plan->turn, weights::planned_switch_time(ask, 3));
    auto const fields = fields_of(*plan);
    EXPECT_EQ(fields["version"], 3);
    EXPECT_EQ(fields["from_version"], 1);
    EXPECT_EQ(fields["first_newer"], 2);
    EXPECT_EQ(fields["skips"], true);
    EXPECT_EQ(fields["missing"], 12);
    EXPECT_EQ(fields["bound_ms"], 8000);
    EXPECT_EQ(
        fields["turn_ms"],
        std::chrono::duration_cast<milliseconds>(plan->turn - start).count());
}

TEST(plan_of, is_empty_for_an_engine_without_weights_or_on_the_newest_version)
{
    std::vector<weights::announced_target> const announced{{2, start}};
    EXPECT_FALSE(plan_of(ask_of(0, announced), 2, 0));
    EXPECT_FALSE(plan_of(ask_of(2, announced), 2, 0));
    auto const plan = plan_of(ask_of(1, announced), 2, std::nullopt);
    ASSERT_TRUE(plan);
    EXPECT_EQ(fields_of(*plan)["missing"], -1);
}

// Every arriving chunk moves the turn. One line for each would make thousands
// of lines in a fleet.
TEST(is_news, is_true_only_a_few_times_while_the_turn_moves)
{
    logged_plan last_logged;
    auto lines = 0;
    for (milliseconds at{0}; at < seconds(4); at += milliseconds(10))
    {
        auto const plan = plan_at(seconds(3) + at);
        if (should_log_plan(last_logged, plan, start + at))
        {
            ++lines;
            last_logged = {plan, start + at};
        }
    }
    EXPECT_GE(lines, 10);
    EXPECT_LE(lines, 16);
}

TEST(is_news, is_false_for_an_unchanged_plan)
{
    logged_plan const last_logged{plan_at(seconds(3)), start};
    auto const later = start + seconds(1);
    EXPECT_FALSE(
        should_log_plan(last_logged, plan_at(milliseconds(3090)), later));
    EXPECT_TRUE(
        should_log_plan(last_logged, plan_at(milliseconds(3110)), later));
    EXPECT_TRUE(
        should_log_plan(last_logged, plan_at(milliseconds(2890)), later));
    auto other = plan_at(seconds(3));
    other.target = 3;
    EXPECT_TRUE(should_log_plan(last_logged, other, later));
}

// An engine was still on the older version at its bound, and the logs did not
// show whether its chunks came late, were staged late or the engine did not
// respond.
TEST(late_by, names_the_step_that_took_longest)
{
    auto const plan = plan_at(seconds(3));
    auto const after = [](int time)
    {
        return start + milliseconds(time);
    };
    auto const staged = after(2000);
    auto const by = [&](switch_steps const& steps, int now)
    {
        return std::string(late_by(plan, steps, after(now)));
    };
    EXPECT_EQ(by({after(1500), staged, after(3010)}, 3060), "none");
    EXPECT_EQ(by({after(1500), staged, after(3010)}, 3700), "look");
    EXPECT_EQ(by({after(1500), staged, after(3650)}, 3700), "wait");
    EXPECT_EQ(by({after(1500), after(3600), after(3610)}, 3700), "staging");
}

TEST(add_steps, counts_all_times_from_the_announcement)
{
    auto const plan = plan_at(seconds(3));
    nlohmann::json fields;
    auto const now = start + milliseconds(3700);
    add_times(fields, plan, now);
    add_steps(
        fields, plan,
        {start + milliseconds(1500), std::nullopt, start + milliseconds(3650)},
        now);
    EXPECT_EQ(fields["after_ms"], 3700);
    EXPECT_EQ(fields["left_ms"], 4300);
    EXPECT_EQ(fields["turn_ms"], 3000);
    EXPECT_EQ(fields["late_ms"], 700);
    EXPECT_EQ(fields["whole_ms"], 1500);
    EXPECT_TRUE(fields["staged_ms"].is_null());
    EXPECT_EQ(fields["look_ms"], 50);
}

} // namespace foxtailvale::gateway
