#include <control/planner.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::control
{

namespace
{

release::configuration two_models()
{
    release::configuration value;
    value.generation = 3;
    value.domains["split-a"].region = "dalmacija";
    value.models["assistant"] = {
        .digest = "d1", .replicas = {{"split-a", 2}}, .memory_mib = 60};
    value.models["lease"] = {
        .digest = "d2", .replicas = {{"split-a", 1}}, .memory_mib = 60};
    return value;
}

std::vector<plan_member> three_members()
{
    return {{"c", "3:1", 100}, {"a", "1:1", 100}, {"b", "2:1", 100}};
}

} // namespace

TEST(planner, spreads_by_memory_and_is_the_same_for_any_order)
{
    auto const plan = make_plan(two_models(), "split-a", three_members(), {});
    ASSERT_EQ(plan.endpoints.size(), 3U);
    EXPECT_EQ(plan.endpoints[0].models[0].model, "assistant");
    EXPECT_EQ(plan.endpoints[1].models[0].model, "assistant");
    EXPECT_EQ(plan.endpoints[2].models[0].model, "lease");
    auto members = three_members();
    std::swap(members[0], members[2]);
    EXPECT_EQ(make_plan(two_models(), "split-a", members, {}), plan);
    EXPECT_EQ(parse_plan(to_text(plan)).value(), plan);
}

// A VM dies. If the planner started from scratch, replicas would move between
// healthy endpoints and callers would wait for their weights; only the lost
// replicas may move.
TEST(planner, moves_only_what_was_lost)
{
    auto const before = make_plan(two_models(), "split-a", three_members(), {});
    auto members = three_members();
    std::erase_if(
        members,
        [](auto const& m)
        {
            return m.agent == "a";
        });
    members.push_back({"d", "4:1", 100});
    auto const after = make_plan(two_models(), "split-a", members, before);
    EXPECT_EQ(find_agent(after, "b")->models, find_agent(before, "b")->models);
    EXPECT_EQ(find_agent(after, "c")->models, find_agent(before, "c")->models);
    EXPECT_EQ(find_agent(after, "d")->models[0].model, "assistant");
}

} // namespace foxtailvale::control
