#include <direct/attempt_limit.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using routing::retry_safety;
using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{seconds(100)};

// A resumable stream on its first attempt.
attempt_progress stream()
{
    return {
        .repeats = retry_safety::resumable,
        .streams = true,
        .goal = milliseconds(400),
        .gap_goal = milliseconds(300),
        .most_attempts = 2,
        .begun = start,
        .last_byte = start,
        .caller_heard = start};
}

attempt_progress last_of(attempt_progress attempt)
{
    attempt.runs = attempt.most_attempts - 1;
    return attempt;
}

attempt_progress at_lost_endpoint(attempt_progress attempt)
{
    attempt.lost = true;
    return attempt;
}

// A stream whose caller received the last event at this time.
attempt_progress begun(attempt_progress attempt, base::time_point last_event)
{
    attempt.answer_begun = true;
    attempt.events = 5;
    attempt.last_byte = last_event;
    attempt.caller_heard = last_event;
    return attempt;
}

} // namespace

TEST(attempt_limit, a_busy_endpoint_is_waited_for_longer_than_a_lost_one)
{
    EXPECT_EQ(attempt_deadline(stream()), start + milliseconds(1600));
    EXPECT_EQ(
        attempt_deadline(at_lost_endpoint(stream())),
        start + milliseconds(800));
}

TEST(attempt_limit, the_last_attempt_waits_for_an_endpoint_that_lives)
{
    EXPECT_FALSE(attempt_deadline(last_of(stream())));
}

// Failure: callers wait at a second endpoint that is paused until they
// disconnect.
TEST(attempt_limit, the_last_attempt_ends_at_a_lost_endpoint)
{
    EXPECT_EQ(
        attempt_deadline(at_lost_endpoint(last_of(stream()))),
        start + milliseconds(800));
}

// Failure: a stream stops at a lost endpoint, and its caller, who could resume
// it elsewhere, learns of it only by its own time-out; or the caller loses an
// answer that the endpoint would have continued in time.
TEST(attempt_limit, a_stream_that_stops_at_a_lost_endpoint_ends)
{
    auto const last_event = start + seconds(1);
    auto const limit = last_event + milliseconds(2100);
    auto const attempt = begun(at_lost_endpoint(stream()), last_event);
    EXPECT_EQ(attempt_deadline(attempt), limit);
    EXPECT_EQ(attempt_deadline(last_of(attempt)), limit);
}

// Failure: the same for a stream that broke off at one endpoint and is resumed
// at another, which has sent nothing yet.
TEST(attempt_limit, a_stream_that_is_resumed_at_a_lost_endpoint_ends)
{
    auto const last_event = start + seconds(1);
    auto attempt = begun(at_lost_endpoint(last_of(stream())), last_event);
    attempt.events = 0;
    attempt.begun = last_event + milliseconds(200);
    attempt.last_byte = attempt.begun;
    EXPECT_EQ(attempt_deadline(attempt), last_event + milliseconds(2100));
}

TEST(attempt_limit, a_stream_goes_on_at_an_endpoint_that_is_not_lost)
{
    auto const attempt = begun(stream(), start);
    EXPECT_FALSE(attempt_deadline(attempt));
    EXPECT_FALSE(attempt_deadline(last_of(attempt)));
}

// Failure: callers wait at a silent endpoint while another one has room; or a
// stream is resumed so late that its caller disconnects before it continues.
TEST(attempt_limit, a_stream_at_a_lost_endpoint_is_resumed_elsewhere)
{
    auto const last_event = start + seconds(1);
    auto const attempt = begun(at_lost_endpoint(stream()), last_event);
    EXPECT_FALSE(is_resume_due(attempt, last_event + milliseconds(899)));
    EXPECT_TRUE(is_resume_due(attempt, last_event + milliseconds(900)));
    EXPECT_TRUE(is_resume_due(attempt, last_event + milliseconds(1199)));
    EXPECT_FALSE(is_resume_due(attempt, last_event + milliseconds(1200)));
}

TEST(attempt_limit, a_stream_is_not_resumed_where_it_may_not_run_again)
{
    auto const due = start + milliseconds(1000);
    auto attempt = begun(stream(), start);
    EXPECT_FALSE(is_resume_due(attempt, due));
    attempt.lost = true;
    EXPECT_TRUE(is_resume_due(attempt, due));
    EXPECT_FALSE(is_resume_due(last_of(attempt), due));
    attempt.repeats = retry_safety::non_idempotent;
    EXPECT_FALSE(is_resume_due(attempt, due));
    attempt.repeats = retry_safety::resumable;
    attempt.answer_begun = false;
    EXPECT_FALSE(is_resume_due(attempt, due));
}

// Failure: a late retry at a lost endpoint times out only after the caller has
// disconnected.
TEST(attempt_limit, a_caller_of_a_stream_is_told_before_it_leaves)
{
    auto attempt = at_lost_endpoint(last_of(stream()));
    attempt.begun = start + milliseconds(1700);
    attempt.last_byte = attempt.begun;
    EXPECT_EQ(attempt_deadline(attempt), start + milliseconds(2100));
    attempt.repeats = retry_safety::non_idempotent;
    EXPECT_EQ(attempt_deadline(attempt), start + milliseconds(2100));
}

// Failure: an answer is abandoned although nobody can send the request again.
TEST(attempt_limit, a_plain_request_that_may_run_once_is_waited_for)
{
    auto attempt = at_lost_endpoint(last_of(stream()));
    attempt.repeats = retry_safety::non_idempotent;
    attempt.streams = false;
    EXPECT_FALSE(attempt_deadline(attempt));
}

// The caller of a lookup can send it again.
TEST(attempt_limit, a_plain_request_that_may_be_repeated_ends)
{
    auto attempt = at_lost_endpoint(last_of(stream()));
    attempt.repeats = retry_safety::idempotent;
    attempt.streams = false;
    attempt.goal = milliseconds(120);
    EXPECT_EQ(attempt_deadline(attempt), start + milliseconds(600));
}

TEST(attempt_limit, an_endpoint_is_lost_when_it_or_its_agent_is_silent)
{
    endpoint_state state;
    EXPECT_FALSE(is_lost(state, start));
    state.report.emplace();
    state.reported = start;
    EXPECT_FALSE(is_lost(state, start));
    EXPECT_TRUE(is_lost(state, start + report_timeout + milliseconds(1)));
    state.own_running = 1;
    state.last_heard = start - stall_time - milliseconds(1);
    EXPECT_TRUE(is_lost(state, start));
    state.last_heard = start;
    state.report->unreachable = true;
    EXPECT_TRUE(is_lost(state, start));
}

// Failure: a caller without an event waits at a silent endpoint that its agent
// reaches until it disconnects.
TEST(attempt_limit, an_endpoint_is_lost_sooner_for_a_request_without_an_event)
{
    endpoint_state state;
    state.own_running = 1;
    state.last_heard = start - seconds(3);
    state.report.emplace();
    state.reported = start;
    EXPECT_TRUE(is_lost_for(state, false, start));
    EXPECT_FALSE(is_lost_for(state, true, start));
    state.report->unreachable = true;
    EXPECT_TRUE(is_lost_for(state, true, start));
}

// Failure: an engine's pass lasts longer than usual, and its streams are broken
// off although its agent reports that it is reachable.
TEST(attempt_limit, an_endpoint_that_its_agent_reaches_may_be_silent)
{
    endpoint_state state;
    state.own_running = 1;
    state.last_heard = start - seconds(3);
    EXPECT_TRUE(is_unreachable(state, start));
    state.report.emplace();
    state.reported = start - report_timeout;
    EXPECT_FALSE(is_unreachable(state, start));
    EXPECT_TRUE(is_unreachable(state, start + milliseconds(1)));
    state.reported = start;
    state.report->unreachable = true;
    EXPECT_TRUE(is_unreachable(state, start));
}

} // namespace foxtailvale::direct
