#include <request/refusals.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

} // namespace

TEST(refusals, a_resent_request_is_recognised)
{
    recent_refusals recent;
    note_refusal(recent, 7, start);
    EXPECT_EQ(refused_at(recent, 7, start + seconds(2)), start);
    EXPECT_FALSE(refused_at(recent, 8, start + seconds(2)));
}

TEST(refusals, a_refusal_expires_after_its_retention_time)
{
    recent_refusals recent;
    note_refusal(recent, 7, start);
    auto const later = start + refusal_retention + milliseconds(1);
    EXPECT_FALSE(refused_at(recent, 7, later));
    expire(recent, later);
    EXPECT_TRUE(recent.refused.empty());
    EXPECT_TRUE(recent.order.empty());
}

TEST(refusals, the_latest_refusal_is_reported)
{
    recent_refusals recent;
    note_refusal(recent, 7, start);
    note_refusal(recent, 7, start + seconds(2));
    expire(recent, start + seconds(4));
    EXPECT_EQ(refused_at(recent, 7, start + seconds(4)), start + seconds(2));
}

// A failure domain without endpoints refuses all requests under full load. The
// number of remembered refusals must stay bounded.
TEST(refusals, a_flood_evicts_the_oldest_first)
{
    recent_refusals recent;
    auto const refusal_count = max_refusals + 100;
    for (std::size_t number = 0; number < refusal_count; ++number)
    {
        note_refusal(recent, number, start);
    }
    EXPECT_EQ(recent.refused.size(), max_refusals);
    EXPECT_FALSE(refused_at(recent, 0, start));
    EXPECT_TRUE(refused_at(recent, refusal_count - 1, start));
}

} // namespace foxtailvale::request
