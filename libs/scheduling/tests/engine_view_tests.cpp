#include <gtest/gtest.h>
#include <scheduling/engine_view.hpp>
#include <scheduling/request_cost.hpp>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::milliseconds;

base::time_point const start{std::chrono::hours(1)};

} // namespace

TEST(engine_view, prompts_count_as_ahead_within_the_window)
{
    engine_view view;
    EXPECT_EQ(tokens_ahead(view, start), 0U);
    note_sent(view, 100, start);
    note_sent(view, 50, start + milliseconds(100));
    EXPECT_EQ(tokens_ahead(view, start + milliseconds(249)), 150U);
    EXPECT_EQ(tokens_ahead(view, start + milliseconds(250)), 50U);
    EXPECT_EQ(tokens_ahead(view, start + milliseconds(350)), 0U);
}

// Guards against an endpoint that is avoided because a caller stated a million
// tokens by mistake.
TEST(engine_view, a_stated_size_counts_up_to_a_bound)
{
    engine_view view;
    note_sent(view, 1'000'000'000, start);
    EXPECT_EQ(tokens_ahead(view, start), max_counted_tokens);
}

// Guards against memory that grows with the number of requests.
TEST(engine_view, old_sends_are_forgotten)
{
    engine_view view;
    for (auto number = 0; number < 10'000; ++number)
    {
        note_sent(view, 1, start + milliseconds(number));
    }
    EXPECT_LE(view.sent.size(), 250U);
}

} // namespace foxtailvale::scheduling
