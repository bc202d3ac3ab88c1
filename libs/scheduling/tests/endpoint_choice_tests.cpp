#include <gtest/gtest.h>
#include <scheduling/endpoint_choice.hpp>

#include <array>
#include <vector>

namespace foxtailvale::scheduling
{

namespace
{

using candidates = std::vector<endpoint_candidate>;

// Number of times that each candidate is chosen in `draws` choices.
std::vector<int>
counts_of(candidates const& offered, endpoint_choice method, int draws)
{
    base::random_state random{7};
    std::vector<int> counts(offered.size());
    for (auto number = 0; number < draws; ++number)
    {
        ++counts[choose_endpoint(offered, method, random)];
    }
    return counts;
}

} // namespace

TEST(endpoint_choice, least_loaded_takes_the_cheapest_of_all)
{
    candidates const offered{{0.5, true}, {0.2, true}, {0.1, false}};
    EXPECT_EQ(
        counts_of(offered, endpoint_choice::least_loaded, 100),
        (std::vector<int>{0, 0, 100}));
}

// Guards against all entries sending to the endpoint that is least loaded in
// the same report.
TEST(endpoint_choice, sampled_spreads_over_endpoints_of_similar_load)
{
    candidates offered;
    for (auto number = 0; number < 10; ++number)
    {
        offered.push_back({0.5 + 0.001 * number, true});
    }
    auto const counts = counts_of(offered, endpoint_choice::sampled, 1000);
    // With two of ten drawn, the cheapest gets a fifth on average.
    EXPECT_LT(counts.front(), 300);
    EXPECT_GT(counts[8], 0);
}

// Guards against filling an endpoint further while others have more capacity.
TEST(endpoint_choice, sampled_never_takes_the_fullest_of_several)
{
    candidates const offered{{0.9, true}, {0.2, true}, {0.3, true}};
    EXPECT_EQ(counts_of(offered, endpoint_choice::sampled, 500).front(), 0);
}

TEST(endpoint_choice, sampled_leaves_a_full_failure_domain_for_another)
{
    candidates const offered{{0.9, true}, {0.95, true}, {0.4, false}};
    EXPECT_EQ(counts_of(offered, endpoint_choice::sampled, 500).back(), 500);
}

// Guards against a random choice among the remote endpoints when the own
// failure domain has none with capacity.
TEST(endpoint_choice, sampled_compares_two_remote_endpoints_without_local_ones)
{
    candidates const offered{{0.9, false}, {0.2, false}};
    EXPECT_EQ(counts_of(offered, endpoint_choice::sampled, 500).front(), 0);
}

// Guards against requests to an endpoint with faulty answers while a sound one
// has capacity that is not in the sample.
TEST(endpoint_choice, a_last_resort_is_taken_only_if_nothing_else_is_left)
{
    constexpr std::array methods{
        endpoint_choice::sampled, endpoint_choice::least_loaded};
    for (auto const method : methods)
    {
        candidates const mixed{
            {0.1, true, true}, {0.1, true, true}, {0.9, false, false}};
        EXPECT_EQ(counts_of(mixed, method, 500).back(), 500);
        candidates const left{{0.1, true, true}};
        EXPECT_EQ(counts_of(left, method, 1).front(), 1);
    }
}

// Guards against discarding what an entry knows of its own requests where there
// are no reports that all entries see.
TEST(endpoint_choice, without_reports_sampled_takes_the_cheapest_of_all)
{
    candidates const offered{
        {0.5, true, false, false},
        {0.4, true, false, false},
        {0.2, true, false, false}};
    EXPECT_EQ(counts_of(offered, endpoint_choice::sampled, 500).back(), 500);
}

} // namespace foxtailvale::scheduling
