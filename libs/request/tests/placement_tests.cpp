#include <request/placement.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

TEST(placement, own_domain_first_then_others_then_none)
{
    std::vector<candidate> candidates{{"a1", "a", 1, 0}, {"b1", "b", 4, 0}};
    base::random_state random{1};
    EXPECT_EQ(choose(candidates, {.own_domain = "a"}, random)->agent, "a1");
    candidates[0].running = 1;
    EXPECT_EQ(choose(candidates, {.own_domain = "a"}, random)->agent, "b1");
    placement_query const retry{.own_domain = "a", .tried = {"b1"}};
    EXPECT_EQ(choose(candidates, retry, random), nullptr);
}

// One prompt prefix becomes popular. Without the load bound, the endpoint that
// caches it would be overloaded and its callers would get late answers. The
// bound sends the excess requests to other endpoints.
TEST(placement, a_popular_prefix_does_not_overload_one_endpoint)
{
    std::vector<candidate> candidates;
    for (int index = 0; index < 4; ++index)
    {
        candidates.push_back({"a" + std::to_string(index), "a", 100, 0});
    }
    base::random_state random{1};
    placement_query const query{.own_domain = "a", .prefix = 77};
    for (int count = 0; count < 100; ++count)
    {
        auto const* const chosen = choose(candidates, query, random);
        candidates[static_cast<std::size_t>(chosen - candidates.data())]
            .running++;
    }
    for (auto const& option : candidates)
    {
        EXPECT_LE(option.running, 33U);
    }
}

} // namespace foxtailvale::request
