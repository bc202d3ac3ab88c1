#include <gtest/gtest.h>
#include <standins/token_bucket.hpp>

namespace foxtailvale::standins
{

TEST(token_bucket, gives_a_burst_and_then_the_rate)
{
    std::chrono::steady_clock::time_point const start(std::chrono::hours(1));
    token_bucket bucket{4};
    for (int taken = 0; taken < 4; ++taken)
    {
        EXPECT_TRUE(take(bucket, 1, start));
    }
    EXPECT_FALSE(take(bucket, 1, start));
    EXPECT_FALSE(take(bucket, 1, start + std::chrono::milliseconds(249)));
    EXPECT_TRUE(take(bucket, 1, start + std::chrono::milliseconds(260)));
    EXPECT_FALSE(take(bucket, 1, start + std::chrono::milliseconds(260)));
}

TEST(token_bucket, zero_is_no_limit)
{
    token_bucket bucket;
    EXPECT_TRUE(take(bucket, 1e12, {}));
}

} // namespace foxtailvale::standins
