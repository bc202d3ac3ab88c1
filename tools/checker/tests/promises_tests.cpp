#include <checker/promises.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::checker
{

namespace
{

using namespace std::chrono_literals;

constexpr wall_time start{1'000'000};
constexpr char const* entry = "http://127.0.0.1:1";

caller_record right_chat(std::string id, wall_time begun)
{
    caller_record record;
    record.id = std::move(id);
    record.entry = entry;
    record.ended = "right";
    record.begun = begun;
    record.over = begun + 100ms;
    record.generation = 1;
    record.digest = "d1";
    return record;
}

// A run in which every promise was kept.
evidence good_run()
{
    evidence seen;
    seen.notes = {{1, start, {"d1"}}};
    seen.callers = {
        right_chat("chat-1", start + 1s), right_chat("chat-2", start + 2s)};
    auto booking = right_chat("booking-1", start + 2s);
    booking.booking = true;
    booking.digest.clear();
    seen.callers.push_back(booking);
    auto refused = right_chat("booking-2", start + 3s);
    refused.ended = "refused";
    refused.ran = "no";
    refused.generation = 0;
    refused.digest.clear();
    seen.callers.push_back(refused);
    auto& engine = seen.endpoints["engine-1"];
    engine.failure_domain = "split-a";
    engine.begun = {{start + 1s, "chat-1"}, {start + 2s, "chat-2"}};
    auto& service = seen.endpoints["booking-1"];
    service.failure_domain = "osijek-a";
    service.booking = true;
    service.begun = {{start + 2s, "booking-1"}};
    return seen;
}

// The evidence shows exactly one violation, of this promise.
void expect_only(evidence const& seen, promise broken)
{
    auto const found = judge(seen);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(name_of(found[0].broken), name_of(broken)) << found[0].what;
}

} // namespace

TEST(checker, finds_nothing_in_a_good_run)
{
    EXPECT_TRUE(judge(good_run()).empty());
}

TEST(checker, sees_tokens_of_two_versions)
{
    auto seen = good_run();
    seen.callers[0].ended = "mixed";
    expect_only(seen, promise::whole_weights);
}

TEST(checker, sees_weights_that_were_never_released)
{
    auto seen = good_run();
    seen.callers[0].digest = "d9";
    expect_only(seen, promise::whole_weights);
}

TEST(checker, sees_a_cold_endpoint_that_fell_over)
{
    auto seen = good_run();
    seen.endpoints["engine-1"].overloaded_cold = 1;
    expect_only(seen, promise::cold_endpoint_spared);
}

TEST(checker, sees_work_in_a_domain_that_is_out)
{
    auto seen = good_run();
    seen.domains_out = {{"split-a", start - 2s, start + 10s}};
    expect_only(seen, promise::domain_out_gets_nothing);
    // Within the few seconds it was not yet wrong, after its return not any
    // more.
    seen.domains_out = {{"split-a", start, start + 10s}};
    EXPECT_TRUE(judge(seen).empty());
    seen.domains_out = {{"split-a", start - 10s, start + 500ms}};
    EXPECT_TRUE(judge(seen).empty());
}

TEST(checker, sees_an_answer_that_never_came)
{
    auto seen = good_run();
    seen.callers[1].ended = "lost";
    expect_only(seen, promise::whole_answer);
    // The entry itself was killed: nobody was left to answer.
    seen.entry_faults = {{entry, start + 2s, start + 3s}};
    EXPECT_TRUE(judge(seen).empty());
    seen.entry_faults = {{"http://127.0.0.1:2", start + 2s, start + 3s}};
    expect_only(seen, promise::whole_answer);
}

TEST(checker, sees_a_denied_request_that_ran)
{
    auto seen = good_run();
    seen.endpoints["booking-1"].begun.push_back({start + 3s, "booking-2"});
    expect_only(seen, promise::not_run_means_not_run);
}

TEST(checker, sees_a_doubled_booking)
{
    auto seen = good_run();
    seen.endpoints["booking-1"].begun.push_back({start + 4s, "booking-1"});
    expect_only(seen, promise::at_most_once);
}

TEST(checker, lets_a_chat_run_twice)
{
    auto seen = good_run();
    seen.endpoints["engine-1"].begun.push_back({start + 4s, "chat-1"});
    EXPECT_TRUE(judge(seen).empty());
}

TEST(checker, sees_work_on_an_endpoint_that_leaves)
{
    auto seen = good_run();
    seen.endpoints_leaving = {{"engine-1", start - 2s, start + 10s}};
    expect_only(seen, promise::leaving_gets_nothing);
}

TEST(checker, sees_a_stop_that_cuts_a_request_off)
{
    auto seen = good_run();
    seen.callers[1].ended = "lost";
    seen.stops = {{"entry-1", entry, start + 2050ms, start + 2500ms, 0}};
    expect_only(seen, promise::graceful_stop);
}

TEST(checker, sees_a_stop_that_did_not_end_well)
{
    auto seen = good_run();
    seen.stops = {{"agent-1", "", start + 1s, start + 2s, 139}};
    expect_only(seen, promise::graceful_stop);
}

TEST(checker, sees_a_configuration_that_is_late)
{
    auto seen = good_run();
    seen.notes.push_back({2, start - 3s, {"d1"}});
    seen.callers[2].generation = 2;
    expect_only(seen, promise::configuration_holds);
    // Cut off from the platform and from peers it could not have heard.
    seen.partitions = {{start - 4s, start}};
    EXPECT_TRUE(judge(seen).empty());
}

TEST(checker, sees_a_configuration_that_goes_back)
{
    auto seen = good_run();
    seen.callers[0].generation = 2;
    expect_only(seen, promise::configuration_holds);
}

} // namespace foxtailvale::checker
