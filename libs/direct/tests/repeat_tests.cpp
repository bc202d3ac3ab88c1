#include <base/random.hpp>
#include <direct/retry.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using base::ran_state;
using routing::retry_safety;

retry_query failed_once(retry_safety repeats, ran_state ran)
{
    retry_query query;
    query.repeats = repeats;
    query.ran = ran;
    query.runs = ran == ran_state::no ? 0 : 1;
    query.most_attempts = 2;
    query.sends = 1;
    return query;
}

} // namespace

TEST(judge_run, nothing_written_is_not_run)
{
    EXPECT_EQ(judge_run({}), ran_state::no);
}

// Failure: a booking is sent, the connection is reset, and the booking ran.
// Sent again, it runs twice, and two vans are dispatched.
TEST(judge_run, silence_after_the_first_byte_is_unknown)
{
    EXPECT_EQ(judge_run({.written = true}), ran_state::unknown);
}

TEST(judge_run, only_the_endpoints_own_word_says_not_run)
{
    attempt_facts facts{
        .written = true, .head_seen = true, .identified = true, .status = 503};
    EXPECT_EQ(judge_run(facts), ran_state::unknown);
    facts.says_not_run = true;
    EXPECT_EQ(judge_run(facts), ran_state::no);
}

// Guards against a booking that is sent again while it runs, as a refusal of
// another request was taken for its own.
TEST(judge_run, a_refusal_without_the_requests_identifier_tells_nothing)
{
    for (auto const status : {400U, 421U, 429U, 503U})
    {
        for (auto const sealed : {false, true})
        {
            EXPECT_EQ(
                judge_run(
                    {.written = true,
                     .head_seen = true,
                     .says_not_run = true,
                     .whole = true,
                     .sealed = sealed,
                     .status = status}),
                ran_state::unknown)
                << status;
        }
    }
}

// Guards against a booking that is sent again though its endpoint reports a
// success or a failure of its run.
TEST(judge_run, only_a_refusal_can_say_not_run)
{
    for (auto const status : {200U, 202U, 302U, 404U, 408U, 500U, 502U, 504U})
    {
        EXPECT_EQ(
            judge_run(
                {.written = true,
                 .head_seen = true,
                 .identified = true,
                 .says_not_run = true,
                 .whole = true,
                 .sealed = true,
                 .status = status}),
            ran_state::unknown)
            << status;
    }
}

TEST(use_of, an_answer_that_may_be_another_requests_is_skipped)
{
    EXPECT_EQ(use_of(answer_owner::this_request, true, true), head_use::take);
    EXPECT_EQ(use_of(answer_owner::other_request, true, true), head_use::skip);
    EXPECT_EQ(
        use_of(answer_owner::other_request, false, false), head_use::skip);
    EXPECT_EQ(use_of(answer_owner::unnamed, true, true), head_use::skip);
    // Nothing can follow it, or nothing was asked before.
    EXPECT_EQ(use_of(answer_owner::unnamed, true, false), head_use::take);
    EXPECT_EQ(use_of(answer_owner::unnamed, false, true), head_use::take);
}

TEST(judge_run, a_sealed_answer_ran)
{
    attempt_facts const facts{
        .written = true,
        .head_seen = true,
        .identified = true,
        .whole = true,
        .sealed = true,
        .status = 500};
    EXPECT_EQ(judge_run(facts), ran_state::yes);
    EXPECT_TRUE(is_answer(facts));
}

TEST(is_answer, a_cut_or_unsealed_response_is_none)
{
    attempt_facts facts{
        .written = true,
        .head_seen = true,
        .identified = true,
        .whole = true,
        .sealed = false,
        .status = 200};
    EXPECT_FALSE(is_answer(facts));
    facts.sealed = true;
    EXPECT_TRUE(is_answer(facts));
    facts.whole = false;
    EXPECT_FALSE(is_answer(facts));
    facts.whole = true;
    facts.identified = false;
    EXPECT_FALSE(is_answer(facts));
}

TEST(may_repeat, what_may_run_once_is_repeated_only_when_it_did_not_run)
{
    EXPECT_TRUE(is_retry_allowed(
        failed_once(retry_safety::non_idempotent, ran_state::no)));
    EXPECT_FALSE(is_retry_allowed(
        failed_once(retry_safety::non_idempotent, ran_state::unknown)));
    EXPECT_FALSE(is_retry_allowed(
        failed_once(retry_safety::non_idempotent, ran_state::yes)));
}

TEST(may_repeat, what_may_run_again_is_repeated_up_to_its_attempts)
{
    auto query = failed_once(retry_safety::idempotent, ran_state::unknown);
    EXPECT_TRUE(is_retry_allowed(query));
    query.runs = 2;
    EXPECT_FALSE(is_retry_allowed(query));
}

TEST(may_repeat, only_a_stream_that_resumes_goes_on_after_its_first_event)
{
    auto query = failed_once(retry_safety::resumable, ran_state::yes);
    query.answer_begun = true;
    EXPECT_TRUE(is_retry_allowed(query));
    query.repeats = retry_safety::idempotent;
    EXPECT_FALSE(is_retry_allowed(query));
}

// Random sequences of results for a request that may run only once: it is never
// sent again after an attempt that may have run.
TEST(may_repeat, no_course_sends_a_non_idempotent_request_after_a_run)
{
    base::random_state random{11};
    for (auto scenario = 0; scenario < 20000; ++scenario)
    {
        auto may_have_run = false;
        retry_query query;
        query.most_attempts =
            1 + static_cast<std::uint32_t>(base::random_below(random, 4));
        while (true)
        {
            ASSERT_FALSE(may_have_run) << "seed 11, scenario " << scenario;
            ++query.sends;
            attempt_facts facts;
            facts.written = base::random_below(random, 4) != 0;
            facts.head_seen =
                facts.written && base::random_below(random, 2) == 0;
            facts.identified =
                facts.head_seen && base::random_below(random, 4) != 0;
            facts.says_not_run =
                facts.head_seen && base::random_below(random, 2) == 0;
            facts.sealed = base::random_below(random, 2) == 0;
            facts.whole = base::random_below(random, 2) == 0;
            facts.status = base::random_below(random, 4) != 0 ? 503 : 200;
            query.ran = judge_run(facts);
            // What is said of another request tells nothing of this one.
            auto const is_own_refusal =
                facts.identified && facts.says_not_run && facts.status == 503;
            may_have_run = facts.written && !is_own_refusal;
            query.runs += may_have_run ? 1 : 0;
            if (!is_retry_allowed(query))
            {
                break;
            }
        }
        EXPECT_LE(query.sends, max_sends);
    }
}

// The caller is told "not run" only if no attempt may have run.
TEST(final_error, promises_not_run_only_then)
{
    for (auto const time_is_up : {false, true})
    {
        auto const& not_run =
            base::row_of(final_error(ran_state::no, time_is_up));
        EXPECT_EQ(not_run.ran, ran_state::no);
        EXPECT_EQ(not_run.status, 503);
        for (auto const ran : {ran_state::unknown, ran_state::yes})
        {
            auto const& row = base::row_of(final_error(ran, time_is_up));
            EXPECT_NE(row.ran, ran_state::no);
            EXPECT_NE(row.status, 503);
        }
    }
}

} // namespace foxtailvale::direct
