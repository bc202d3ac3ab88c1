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

TEST(refusals, one_that_comes_back_is_known)
{
    recent_refusals book;
    note_refusal(book, 7, start);
    EXPECT_EQ(refused_at(book, 7, start + seconds(2)), start);
    EXPECT_FALSE(refused_at(book, 8, start + seconds(2)));
}

TEST(refusals, one_is_forgotten_when_its_caller_has_given_up)
{
    recent_refusals book;
    note_refusal(book, 7, start);
    auto const later = start + refusal_memory + milliseconds(1);
    EXPECT_FALSE(refused_at(book, 7, later));
    expire(book, later);
    EXPECT_TRUE(book.refused.empty());
    EXPECT_TRUE(book.order.empty());
}

TEST(refusals, the_latest_refusal_counts)
{
    recent_refusals book;
    note_refusal(book, 7, start);
    note_refusal(book, 7, start + seconds(2));
    expire(book, start + seconds(4));
    EXPECT_EQ(refused_at(book, 7, start + seconds(4)), start + seconds(2));
}

// Everything is refused for a while: a failure domain without endpoints under
// full load. The memory for it stays bounded.
TEST(refusals, a_flood_forgets_the_oldest_first)
{
    recent_refusals book;
    auto const flood = most_refusals + 100;
    for (std::size_t number = 0; number < flood; ++number)
    {
        note_refusal(book, number, start);
    }
    EXPECT_EQ(book.refused.size(), most_refusals);
    EXPECT_FALSE(refused_at(book, 0, start));
    EXPECT_TRUE(refused_at(book, flood - 1, start));
}

} // namespace foxtailvale::request
