#include <request/retry_budget.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

TEST(retry_budget, retries_are_a_tenth_of_the_load)
{
    retry_budget budget;
    while (spend(budget))
    {
    }
    int retries = 0;
    for (int request = 0; request < 1000; ++request)
    {
        earn(budget);
        retries += spend(budget) ? 1 : 0;
    }
    EXPECT_NEAR(retries, 100, 1);
}

} // namespace foxtailvale::request
