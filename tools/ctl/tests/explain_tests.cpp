#include "../src/explain.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace foxtailvale::ctl
{

namespace
{

// Log lines of two entries, one of them prefixed by a log collector, out of
// order.
constexpr auto log_lines =
    R"(9.30 edge-2 {"time":"2026-01-01T00:00:09.300Z","level":"INFO","body":{"after_ms":168,"configuration":16,"endpoint":"","event":1401,"kind":"no_endpoint","name":"request_refused","process":"edge-2","ran":"no","reason":"waited for room","request":"60f7","runs":0,"sends":0,"view_age_ms":920}}
not a log line with 60f7 in it
{"time":"2026-01-01T00:00:09.100Z","level":"INFO","body":{"name":"request_answered","process":"edge-1","request":"other","status":200}}
{"time":"2026-01-01T00:00:10.900Z","level":"INFO","body":{"after_ms":420,"endpoint":"i-9","event":1407,"first_ms":140,"name":"request_answered","process":"edge-1","request":"60f7","sends":1,"sent_ms":3,"status":200}}
{"time":"2026-01-01T00:00:05.000Z","level":"INFO","body":{"after_ms":400,"configuration":4,"endpoint":"i-2","event":1403,"kind":"deadline_passed","name":"request_failed","process":"edge-1","ran":"unknown","reason":"time is up","request":"75c7","runs":1,"sends":1,"view_age_ms":1247}}
)";

std::vector<explained_line>
explain_lines(char const* text, std::string const& request)
{
    std::istringstream in(text);
    read_log log;
    read_lines(log, in, request);
    return explain(log);
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST(explain, explains_the_outcome_of_one_request_in_order)
{
    auto const explanation = explain_lines(log_lines, "60f7");
    ASSERT_EQ(explanation.size(), 2U);
    EXPECT_EQ(explanation[0].process, "edge-2");
    EXPECT_TRUE(contains(explanation[0].text, "refused 168 ms"));
    EXPECT_TRUE(contains(explanation[0].text, "It was not run."));
    EXPECT_TRUE(contains(explanation[0].text, "told when to come back"));
    EXPECT_TRUE(
        contains(explanation[0].text, "configuration 16, confirmed 920 ms"));
    EXPECT_TRUE(contains(explanation[1].text, "status 200 by endpoint i-9"));
    EXPECT_TRUE(contains(explanation[1].text, "waited 3 ms"));
}

// Guards against a refusal that reads as if the endpoints were full.
TEST(explain, a_rate_limit_is_named_as_the_reason)
{
    auto const explanation = explain_lines(
        R"({"time":"2026-01-01T00:00:09.100Z","level":"INFO","body":{"after_ms":1,"configuration":3,"endpoint":"","event":1401,"kind":"no_endpoint","name":"request_refused","process":"edge-1","ran":"no","reason":"all endpoints are at their rate limits","request":"7a","room_in_ms":1900,"view_age_ms":40}})",
        "7a");
    ASSERT_EQ(explanation.size(), 1U);
    EXPECT_TRUE(contains(explanation[0].text, "at their rate limits"));
    EXPECT_TRUE(contains(explanation[0].text, "this entry in 1900 ms"));
}

// Guards against an explanation that reads as if a booking had not been run,
// when it was sent and never answered.
TEST(explain, an_unknown_outcome_is_reported_as_unknown)
{
    auto const explanation = explain_lines(log_lines, "75c7");
    ASSERT_EQ(explanation.size(), 1U);
    EXPECT_TRUE(
        contains(explanation[0].text, "Nobody can say whether it was run"));
    EXPECT_FALSE(contains(explanation[0].text, "It was not run."));
}

namespace
{

// The entry's lines on one request to an engine on an older version, and lines
// of agents: of the agent of that engine on this switch and on the next one,
// and of another engine's agent.
constexpr auto switch_lines =
    R"({"time":"2026-01-01T00:00:13.100Z","level":"INFO","body":{"address":"10.1.0.18:8045","endpoint":"i-7","ends_in_ms":515,"event":1410,"expected_ms":450,"line":0,"name":"request_placed","process":"edge-1","report_age_ms":80,"request":"a7","sends":1,"slots":16,"version":1,"work":15}}
{"time":"2026-01-01T00:00:15.256Z","level":"INFO","body":{"after_ms":2300,"before_end_ms":-502,"begun_ms":1017,"endpoint":"i-7","event":1407,"expected_ms":450,"first_ms":1160,"name":"request_answered","process":"edge-1","request":"a7","sends":1,"sent_ms":143,"status":200,"version":1}}
)";
constexpr auto agent_lines =
    R"(6.1 side-1 {"time":"2026-01-01T00:00:06.100Z","level":"INFO","body":{"after_ms":85,"bound_ms":8000,"event":1313,"first_newer":2,"from_version":1,"ip":"10.1.0.18","left_ms":7915,"missing":-1,"name":"switch_planned","process":"side-1","skips":false,"turn_ms":6000,"version":2}}
{"time":"2026-01-01T00:00:07.100Z","level":"INFO","body":{"after_ms":1085,"bound_ms":8000,"event":1313,"first_newer":2,"from_version":1,"ip":"10.1.0.18","left_ms":6915,"missing":60,"name":"switch_planned","process":"side-1","skips":false,"turn_ms":6400,"version":2}}
{"time":"2026-01-01T00:00:09.100Z","level":"INFO","body":{"after_ms":3085,"bound_ms":8000,"event":1313,"first_newer":2,"from_version":1,"ip":"10.1.0.18","left_ms":4915,"missing":3,"name":"switch_planned","process":"side-1","skips":true,"turn_ms":7600,"version":3}}
{"time":"2026-01-01T00:00:14.200Z","level":"INFO","body":{"after_ms":8185,"event":1307,"first_newer":2,"from_version":1,"ip":"10.1.0.18","late_by":"staging","late_ms":585,"left_ms":-185,"look_ms":13,"name":"engine_order_sent","orders":0,"process":"side-1","since_order_ms":0,"staged_ms":8170,"turn_ms":7600,"version":3,"whole_ms":7500}}
{"time":"2026-01-01T00:00:14.203Z","level":"INFO","body":{"after_ms":8188,"event":1314,"first_newer":2,"from_version":1,"ip":"10.1.0.18","left_ms":-188,"name":"engine_order_accepted","process":"side-1","since_order_ms":3,"status":202,"version":3}}
{"time":"2026-01-01T00:00:15.000Z","level":"INFO","body":{"after_ms":8985,"event":1305,"first_newer":2,"from_version":1,"ip":"10.1.0.18","left_ms":-985,"name":"weights_activated","process":"side-1","since_order_ms":800,"version":3}}
{"time":"2026-01-01T00:00:20.000Z","level":"INFO","body":{"after_ms":100,"bound_ms":8000,"event":1313,"first_newer":4,"from_version":3,"ip":"10.1.0.18","left_ms":7900,"missing":-1,"name":"switch_planned","process":"side-1","skips":false,"turn_ms":6000,"version":4}}
{"time":"2026-01-01T00:00:12.000Z","level":"INFO","body":{"after_ms":5985,"event":1314,"first_newer":2,"from_version":1,"ip":"10.1.0.19","left_ms":2015,"name":"engine_order_accepted","process":"side-2","since_order_ms":3,"status":202,"version":2}}
)";

} // namespace

// A request began on an older version after its bound. What the entry expected,
// what happened and why the engine was still on that version is spread over the
// logs of two processes, one of which does not know the request.
TEST(explain, explains_why_a_request_began_on_an_older_version)
{
    std::istringstream agent(agent_lines);
    std::istringstream entry(switch_lines);
    read_log log;
    read_lines(log, agent, "a7");
    read_lines(log, entry, "a7");
    auto const explanation = explain(log);
    ASSERT_EQ(explanation.size(), 7U);
    EXPECT_TRUE(contains(explanation[0].text, "from version 1 to 2"));
    EXPECT_TRUE(contains(explanation[0].text, "its manifest was not there"));
    // The intermediate plan is omitted.
    EXPECT_TRUE(contains(explanation[1].text, "from version 1 to 3"));
    EXPECT_TRUE(
        contains(explanation[1].text, "7600 ms after version 2 was named"));
    EXPECT_TRUE(
        contains(explanation[1].text, "400 ms before version 1 had to end"));
    EXPECT_TRUE(contains(explanation[1].text, "leaving out version 2"));
    EXPECT_TRUE(contains(explanation[1].text, "chunks missing: 3"));
    EXPECT_EQ(explanation[2].process, "edge-1");
    EXPECT_TRUE(
        contains(explanation[2].text, "endpoint i-7 at 10.1.0.18:8045"));
    EXPECT_TRUE(contains(explanation[2].text, "ends for this entry in 515 ms"));
    EXPECT_TRUE(contains(explanation[2].text, "15 requests there at 16 slots"));
    EXPECT_TRUE(contains(explanation[2].text, "by a report 80 ms old"));
    EXPECT_TRUE(contains(explanation[2].text, "begin within 450 ms"));
    EXPECT_TRUE(
        contains(explanation[3].text, "185 ms after version 1 had to end"));
    EXPECT_TRUE(
        contains(explanation[3].text, "Late, as chunks were put beside"));
    EXPECT_TRUE(
        contains(explanation[4].text, "took the order 3 ms after it was sent"));
    EXPECT_TRUE(contains(
        explanation[5].text, "served version 3 800 ms after the order"));
    EXPECT_TRUE(contains(
        explanation[6].text, "1017 ms after it was sent (450 ms were"));
    EXPECT_TRUE(contains(explanation[6].text, "502 ms after version 1 ended"));
}

TEST(explain, explains_the_load_estimate_without_a_fresh_report)
{
    std::string const line =
        R"({"time":"t","body":{"address":"10.1.0.18:8045","endpoint":"i-7","ends_in_ms":515,"expected_ms":450,"line":0,"name":"request_placed","process":"edge-1","report_age_ms":AGE,"request":"a7","sends":1,"slots":16,"version":1,"work":15}})";
    auto const with_age = [&line](std::string const& age)
    {
        auto text = line;
        text.replace(text.find("AGE"), 3, age);
        return explain_lines(text.c_str(), "a7").at(0).text;
    };
    EXPECT_TRUE(contains(with_age("-1"), "without a report"));
    EXPECT_TRUE(contains(with_age("701"), "the last report was 701 ms old"));
    EXPECT_TRUE(contains(with_age("700"), "by a report 700 ms old"));
}

// Guards against an explanation that reads as if the engine had refused an
// order, when only the answer to the order was lost.
TEST(explain, an_order_without_an_answer_may_have_been_taken)
{
    std::string const text =
        std::string(switch_lines) +
        R"({"time":"2026-01-01T00:00:13.000Z","body":{"answer":"","event":1309,"from_version":1,"ip":"10.1.0.18","left_ms":1000,"name":"engine_order_failed","process":"side-1","since_order_ms":1000,"status":0,"version":2}})" +
        "\n" +
        R"({"time":"2026-01-01T00:00:13.050Z","body":{"answer":"busy","event":1309,"from_version":1,"ip":"10.1.0.18","left_ms":1000,"name":"engine_order_failed","process":"side-1","since_order_ms":2,"status":409,"version":2}})";
    auto const explanation = explain_lines(text.c_str(), "a7");
    ASSERT_EQ(explanation.size(), 4U);
    EXPECT_TRUE(contains(explanation[0].text, "it may have taken it"));
    EXPECT_TRUE(contains(
        explanation[1].text, "refused the order with status 409: busy"));
}

// The engine rejected the request, or its answer was not a stream.
TEST(explain, an_unobserved_start_is_reported_as_such)
{
    auto const explanation = explain_lines(
        R"({"time":"t","body":{"after_ms":3,"begun_ms":-1,"endpoint":"i-7","expected_ms":450,"kind":"no_endpoint","last_event":0,"name":"request_retried","process":"edge-1","reason":"endpoint declined","request":"a7","sends":1,"version":1}})",
        "a7");
    ASSERT_EQ(explanation.size(), 1U);
    EXPECT_TRUE(contains(explanation[0].text, "No event came from there"));
}

// An endpoint is not said to have failed while its attempt goes on.
TEST(explain, a_silent_stream_that_is_kept_is_reported_as_such)
{
    auto const explanation = explain_lines(
        R"({"time":"t1","body":{"after_ms":900,"endpoint":"i-7","kept":true,"kind":"endpoint_lost","last_event":4,"name":"request_retried","process":"edge-1","reason":"endpoint is silent","request":"a7","sends":1,"version":1}})"
        "\n"
        R"({"time":"t2","body":{"endpoint":"i-7","name":"stream_continued","pause_ms":1300,"process":"edge-1","request":"a7"}})",
        "a7");
    ASSERT_EQ(explanation.size(), 2U);
    EXPECT_TRUE(
        contains(explanation[0].text, "Nothing came from endpoint i-7"));
    EXPECT_TRUE(contains(explanation[0].text, "the first to send goes on"));
    EXPECT_TRUE(contains(explanation[1].text, "went on after 1300 ms"));
}

TEST(explain, a_request_without_log_lines_has_no_explanation)
{
    EXPECT_TRUE(explain_lines(log_lines, "ffff").empty());
}

} // namespace foxtailvale::ctl
