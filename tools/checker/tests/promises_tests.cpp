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
    record.finished = begun + 100ms;
    record.generation = 1;
    record.digest = "d1";
    return record;
}

// Evidence of a run in which every promise was kept.
evidence good_run()
{
    evidence recorded;
    recorded.notes = {{1, start, {"d1"}}};
    recorded.callers = {
        right_chat("chat-1", start + 1s), right_chat("chat-2", start + 2s)};
    auto booking = right_chat("booking-1", start + 2s);
    booking.booking = true;
    booking.digest.clear();
    recorded.callers.push_back(booking);
    auto refused = right_chat("booking-2", start + 3s);
    refused.ended = "refused";
    refused.ran = "no";
    refused.generation = 0;
    refused.digest.clear();
    recorded.callers.push_back(refused);
    auto& engine = recorded.endpoints["engine-1"];
    engine.failure_domain = "split-a";
    engine.begun = {{start + 1s, "chat-1"}, {start + 2s, "chat-2"}};
    auto& service = recorded.endpoints["booking-1"];
    service.failure_domain = "osijek-a";
    service.booking = true;
    service.begun = {{start + 2s, "booking-1"}};
    return recorded;
}

// Expects exactly one violation, of this promise.
void expect_only(evidence const& recorded, promise broken)
{
    auto const found = find_violations(recorded);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(name_of(found[0].broken), name_of(broken)) << found[0].what;
}

} // namespace

TEST(checker, finds_nothing_in_a_good_run)
{
    EXPECT_TRUE(find_violations(good_run()).empty());
}

TEST(checker, detects_tokens_of_two_versions)
{
    auto recorded = good_run();
    recorded.callers[0].ended = "mixed";
    expect_only(recorded, promise::whole_weights);
}

TEST(checker, detects_weights_that_were_never_released)
{
    auto recorded = good_run();
    recorded.callers[0].digest = "d9";
    expect_only(recorded, promise::whole_weights);
}

TEST(checker, detects_a_cold_endpoint_that_was_overloaded)
{
    auto recorded = good_run();
    recorded.endpoints["engine-1"].overloaded_cold = 1;
    expect_only(recorded, promise::cold_endpoint_spared);
}

TEST(checker, detects_work_in_a_domain_that_is_out)
{
    auto recorded = good_run();
    recorded.domains_out = {{"split-a", start - 2s, start + 10s}};
    expect_only(recorded, promise::domain_out_gets_nothing);
    // Work within the grace period and after the return of the domain is
    // allowed.
    recorded.domains_out = {{"split-a", start, start + 10s}};
    EXPECT_TRUE(find_violations(recorded).empty());
    recorded.domains_out = {{"split-a", start - 10s, start + 500ms}};
    EXPECT_TRUE(find_violations(recorded).empty());
}

TEST(checker, detects_an_answer_that_never_came)
{
    auto recorded = good_run();
    recorded.callers[1].ended = "lost";
    expect_only(recorded, promise::whole_answer);
    // The entry itself was killed, so nothing was left to answer.
    recorded.entry_faults = {{entry, start + 2s, start + 3s}};
    EXPECT_TRUE(find_violations(recorded).empty());
    recorded.entry_faults = {{"http://127.0.0.1:2", start + 2s, start + 3s}};
    expect_only(recorded, promise::whole_answer);
}

TEST(checker, detects_a_denied_request_that_ran)
{
    auto recorded = good_run();
    recorded.endpoints["booking-1"].begun.push_back({start + 3s, "booking-2"});
    expect_only(recorded, promise::not_run_means_not_run);
}

TEST(checker, detects_a_doubled_booking)
{
    auto recorded = good_run();
    recorded.endpoints["booking-1"].begun.push_back({start + 4s, "booking-1"});
    expect_only(recorded, promise::at_most_once);
}

TEST(checker, allows_a_chat_to_run_twice)
{
    auto recorded = good_run();
    recorded.endpoints["engine-1"].begun.push_back({start + 4s, "chat-1"});
    EXPECT_TRUE(find_violations(recorded).empty());
}

TEST(checker, detects_work_on_an_endpoint_that_leaves)
{
    auto recorded = good_run();
    recorded.endpoints_leaving = {{"engine-1", start - 2s, start + 10s}};
    expect_only(recorded, promise::leaving_gets_nothing);
}

TEST(checker, detects_a_stop_that_cuts_a_request_off)
{
    auto recorded = good_run();
    recorded.callers[1].ended = "lost";
    recorded.stops = {{"entry-1", entry, start + 2050ms, start + 2500ms, 0}};
    expect_only(recorded, promise::graceful_stop);
}

TEST(checker, detects_a_stop_that_did_not_end_well)
{
    auto recorded = good_run();
    recorded.stops = {{"agent-1", "", start + 1s, start + 2s, 139}};
    expect_only(recorded, promise::graceful_stop);
}

TEST(checker, detects_a_configuration_that_is_late)
{
    auto recorded = good_run();
    recorded.notes.push_back({2, start - 3s, {"d1"}});
    recorded.callers[2].generation = 2;
    expect_only(recorded, promise::configuration_holds);
    // An entry that was cut off from the platform and its peers could not
    // receive the configuration.
    recorded.partitions = {{start - 4s, start}};
    EXPECT_TRUE(find_violations(recorded).empty());
}

TEST(checker, detects_a_configuration_that_reverts)
{
    auto recorded = good_run();
    recorded.callers[0].generation = 2;
    expect_only(recorded, promise::configuration_holds);
}

} // namespace foxtailvale::checker
