#include <gtest/gtest.h>
#include <scheduling/request_cost.hpp>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

engine_speed speed()
{
    return {
        .slots = 10,
        .step = milliseconds(10),
        .step_per_request = milliseconds(0),
        .read_per_second = 10'000,
        .usual_prompt = 1'000,
        .usual_answer = 100};
}

} // namespace

TEST(request_cost, counts_the_prompt_and_a_part_of_the_token_steps)
{
    EXPECT_EQ(request_cost(speed(), {2'000, 50}), milliseconds(200 + 50));
}

TEST(request_cost, takes_the_usual_size_for_what_is_not_stated)
{
    EXPECT_EQ(request_cost(speed(), {}), milliseconds(100 + 100));
}

// Guards against a workspace that appears far over its share because one of its
// callers states an absurd number of tokens.
TEST(request_cost, bounds_the_number_of_tokens)
{
    EXPECT_EQ(
        request_cost(speed(), {1'000'000, 1'000'000}),
        request_cost(speed(), {max_counted_tokens, max_counted_tokens}));
}

TEST(request_cost, counts_requests_where_a_service_has_no_figures)
{
    EXPECT_EQ(request_cost({}, {500, 0}), microseconds(1000));
}

} // namespace foxtailvale::scheduling
