#include <direct/retry_budget.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

// The count of an entry that has seen this many alive at a time.
entry_count known(std::size_t entries)
{
    entry_count count;
    note_entries(count, entries, 1, 1, start - minutes(1));
    return count;
}

// Spends a retry that arrives at once.
bool send_retry(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now)
{
    auto const granted =
        spend_retry(budget, bound, count, earlier_attempts::settled, now);
    if (granted)
    {
        note_retry_arrived(budget, *granted, now);
    }
    return granted.has_value();
}

} // namespace

// Failure: endpoints fail and every request is retried, which doubles the load
// when there is the least capacity for it.
TEST(retry_share, repeats_stay_a_share_of_the_requests)
{
    retry_budget budget{.started = start - minutes(1)};
    retry_bound const bound{0.2, seconds(10), 104};
    auto retries = 0;
    for (auto second = 0; second < 10; ++second)
    {
        for (auto request = 0; request < 30; ++request)
        {
            auto const now = start + seconds(second) + milliseconds(request);
            note_request(budget, now, now);
            retries += send_retry(budget, bound, known(8), now) ? 1 : 0;
        }
    }
    EXPECT_LE(retries, 0.2 * 300 + 104 / 8.0);
    EXPECT_GT(retries, 40);
}

TEST(retry_share, comes_back_when_the_window_has_passed)
{
    retry_budget budget{.started = start - minutes(1)};
    retry_bound const bound{0.2, seconds(10), 16};
    while (send_retry(budget, bound, known(8), start))
    {
    }
    EXPECT_FALSE(send_retry(budget, bound, known(8), start + seconds(9)));
    EXPECT_TRUE(send_retry(budget, bound, known(8), start + seconds(10)));
    EXPECT_TRUE(send_retry(budget, bound, known(8), start + seconds(500)));
}

// Guards against entries that refuse every retry long after their start.
TEST(retry_share, the_fixed_number_comes_with_a_window_of_running)
{
    retry_budget budget{.started = start};
    retry_bound const bound{0, seconds(10), 100};
    EXPECT_FALSE(
        send_retry(budget, bound, known(8), start + milliseconds(10999)));
    EXPECT_TRUE(send_retry(budget, bound, known(8), start + seconds(11)));
}

// Guards against an entry that takes itself for one of few, as it has not been
// told of the others.
TEST(retry_share, the_fixed_number_needs_the_number_of_entries)
{
    retry_budget budget{.started = start - minutes(1)};
    retry_bound const bound{0, seconds(10), 100};
    EXPECT_FALSE(send_retry(budget, bound, {}, start));
    entry_count count;
    note_entries(count, 8, 1, 1, start);
    EXPECT_FALSE(send_retry(budget, bound, count, start));
    EXPECT_TRUE(send_retry(budget, bound, count, start + newcomer_time));
}

// Failure: endpoints fail twice, 9.1 s apart. Retries were counted by whole
// seconds, and those of the first failure dropped out of the count when the
// tenth second began. The retry budget of 10 s was spent twice within 10 s.
TEST(retry_share, no_ten_seconds_have_more_repeats_than_allowed)
{
    retry_bound const bound{0, seconds(10), 100};
    for (auto first = milliseconds(0); first < seconds(1);
         first += milliseconds(50))
    {
        for (auto between = milliseconds(8000); between < seconds(10);
             between += milliseconds(50))
        {
            retry_budget budget{.started = start - minutes(1)};
            auto spent = 0;
            for (auto const at : {first, first + between})
            {
                while (send_retry(budget, bound, known(1), start + at))
                {
                    ++spent;
                }
            }
            ASSERT_LE(spent, 100) << first.count() << " ms and "
                                  << between.count() << " ms later";
        }
    }
}

// Guards against requests that were granted a retry, never sent it, and kept it
// from others for a whole window.
TEST(retry_share, a_retry_that_was_not_sent_is_free_again)
{
    retry_budget budget{.started = start - minutes(1)};
    retry_bound const bound{0, seconds(10), 10};
    while (
        spend_retry(budget, bound, known(1), earlier_attempts::settled, start))
    {
    }
    return_retry(budget, bound, retry_source::fixed_number);
    EXPECT_TRUE(
        spend_retry(budget, bound, known(1), earlier_attempts::settled, start));
    EXPECT_FALSE(
        spend_retry(budget, bound, known(1), earlier_attempts::settled, start));
}

// Guards against a retry that drops out of the count while it is on the way.
TEST(retry_share, a_retry_counts_until_a_window_after_its_arrival)
{
    retry_budget budget{.started = start - minutes(1)};
    retry_bound const bound{0, seconds(10), 2};
    EXPECT_TRUE(
        spend_retry(budget, bound, known(1), earlier_attempts::settled, start));
    EXPECT_FALSE(spend_retry(
        budget, bound, known(1), earlier_attempts::settled,
        start + seconds(15)));
    note_retry_arrived(budget, retry_source::fixed_number, start + seconds(15));
    EXPECT_FALSE(spend_retry(
        budget, bound, known(1), earlier_attempts::settled,
        start + seconds(24)));
    EXPECT_TRUE(spend_retry(
        budget, bound, known(1), earlier_attempts::settled,
        start + seconds(25)));
}

// Guards against an entry whose requests before a move of its callers and
// another's after it back the retries of the same ten seconds.
TEST(retry_share, callers_that_move_to_another_entry_do_not_double_the_share)
{
    retry_bound const bound{0.2, seconds(10), 0};
    retry_budget left{.started = start - minutes(1)};
    retry_budget joined{.started = start - minutes(1)};
    constexpr auto per_second = 50;
    for (auto second = 0; second < 30; ++second)
    {
        for (auto request = 0; request < per_second; ++request)
        {
            note_request(
                left, start + seconds(second), start + seconds(second));
        }
    }
    auto retries = 0;
    while (send_retry(left, bound, known(2), start + seconds(30)))
    {
        ++retries;
    }
    for (auto second = 30; second < 40; ++second)
    {
        for (auto request = 0; request < per_second; ++request)
        {
            auto const now = start + seconds(second) + milliseconds(request);
            note_request(joined, now, now);
            retries += send_retry(joined, bound, known(2), now) ? 1 : 0;
        }
    }
    EXPECT_LE(retries, 100);
}

// Guards against an entry that refuses the retries of callers which have just
// come to it.
TEST(retry_share, new_callers_have_most_of_their_share_at_once)
{
    retry_bound const bound{0.2, seconds(10), 0};
    retry_budget budget{.started = start};
    auto retries = 0;
    for (auto request = 0; request < 100; ++request)
    {
        auto const now = start + milliseconds(20 * request);
        note_request(budget, now, now);
        retries += send_retry(budget, bound, known(8), now) ? 1 : 0;
    }
    EXPECT_GE(retries, 100 * 0.2 / 2);
}

// Guards against an entry that can't repeat what one failed endpoint ran.
TEST(retry_share, steady_callers_have_a_fifth_of_their_share_at_one_moment)
{
    retry_bound const bound{0.2, seconds(10), 0};
    retry_budget budget{.started = start};
    for (auto request = 0; request < 1000; ++request)
    {
        auto const now = start + milliseconds(25 * request);
        note_request(budget, now, now);
    }
    auto retries = 0;
    while (send_retry(budget, bound, known(8), start + seconds(25)))
    {
        ++retries;
    }
    EXPECT_GE(retries, 400 * 0.2 / 5);
}

// Guards against retries whose requests have an earlier attempt that is held,
// and which arrive with the retries of the next window.
TEST(retry_share, held_attempts_have_a_small_share_of_their_own)
{
    retry_bound const bound{0.2, seconds(10), 0};
    retry_budget budget{.started = start - minutes(1)};
    auto held = 0;
    auto settled = 0;
    for (auto request = 0; request < 1000; ++request)
    {
        auto const now = start + milliseconds(10 * request);
        note_request(budget, now, now);
        auto const granted =
            spend_retry(budget, bound, known(8), earlier_attempts::held, now);
        if (granted)
        {
            EXPECT_EQ(*granted, retry_source::held_requests);
            note_retry_arrived(budget, *granted, now + max_hold);
            ++held;
        }
        settled += send_retry(budget, bound, known(8), now) ? 1 : 0;
    }
    EXPECT_GT(held, 0);
    EXPECT_LE(held, 1000 * 0.2 / 20);
    EXPECT_GE(settled, 1000 * 0.2 / 2);
}

// Guards against a request at a machine that stands still which is not sent to
// another although the fixed number is unspent.
TEST(retry_share, held_attempts_have_the_fixed_number)
{
    retry_bound const bound{0.2, seconds(10), 100};
    retry_budget budget{.started = start - minutes(1)};
    auto granted = 0;
    while (spend_retry(budget, bound, known(8), earlier_attempts::held, start))
    {
        ++granted;
    }
    EXPECT_EQ(granted, 10);
}

// Guards against requests that came while the process stood still and pay for
// retries when it wakes.
TEST(retry_share, requests_that_are_read_seconds_late_pay_for_nothing_recent)
{
    retry_bound const bound{0.2, seconds(10), 0};
    retry_budget budget{.started = start - minutes(1)};
    auto const now = start + seconds(6);
    for (auto request = 0; request < 500; ++request)
    {
        note_request(budget, start + milliseconds(10 * request), now);
    }
    auto const state = state_of(budget, bound, known(8), now);
    EXPECT_EQ(state.requests, 500U);
    EXPECT_LT(state.left[0], 1);
}

// Guards against a request that arrived longer ago than any count is kept for,
// and is counted as a new one.
TEST(retry_share, a_request_from_before_all_counts_is_not_counted)
{
    retry_bound const bound{0.2, seconds(10), 0};
    retry_budget budget{.started = start - minutes(10)};
    note_request(budget, start - minutes(5), start);
    EXPECT_EQ(state_of(budget, bound, known(8), start).requests, 0U);
}

} // namespace foxtailvale::direct
