#include <agent_core/agent_core.hpp>
#include <base/digest.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::agent_core
{

namespace
{

struct fixture
{
    std::string bytes = "0123456789";
    std::string text = to_text(weights::describe_weights(bytes, 4));
    std::string digest = base::sha256_hex(text);
    state agent;

    fixture()
    {
        agent.self = {"a1", "split-a", "dalmacija", ""};
        agent.weights.store.capacity_bytes = 100;
        agent.control.endpoint_reachable = true;
    }

    std::vector<action> push_plan(std::uint64_t version)
    {
        control::domain_plan plan;
        plan.failure_domain = "split-a";
        plan.region = "dalmacija";
        plan.version = version;
        plan.endpoints = {{"a1", "127.0.0.1:1", {{"assistant", digest}}}};
        core::message_received message{"entry-1", {}};
        auto* const push = message.envelope.mutable_plan_push();
        push->set_failure_domain("split-a");
        push->set_version(version);
        push->set_document(to_text(plan));
        return step(agent, message, {});
    }
};

template <class Action>
Action const* find(std::vector<action> const& actions)
{
    for (auto const& ordered : actions)
    {
        if (auto const* const found = std::get_if<Action>(&ordered))
        {
            return found;
        }
    }
    return nullptr;
}

} // namespace

// The engine may load only complete weights. While one chunk is missing it must
// not get an order, or a caller could be answered from partial weights.
TEST(agent_weights, orders_the_engine_only_when_complete)
{
    fixture test;
    auto const requested = test.push_plan(3);
    ASSERT_NE(find<fetch_manifest>(requested), nullptr);
    auto const chunks =
        step(test.agent, origin_manifest{test.digest, test.text, {}}, {});
    ASSERT_NE(find<fetch_chunk>(chunks), nullptr);
    step(test.agent, origin_chunk{test.digest, 0, "0123", {}}, {});
    step(test.agent, origin_chunk{test.digest, 1, "xxxx", {}}, {});
    step(test.agent, origin_chunk{test.digest, 2, "89", {}}, {});
    EXPECT_EQ(find<order_engine>(step(test.agent, core::tick{}, {})), nullptr);
    step(test.agent, origin_chunk{test.digest, 1, "4567", {}}, {});
    auto const ordered = step(test.agent, core::tick{}, {});
    ASSERT_NE(find<order_engine>(ordered), nullptr);
    EXPECT_EQ(find<order_engine>(ordered)->fencing, 3U);
}

// A paused planner resumes and its old plan arrives after the new one. If it
// were followed, endpoints would go back to old weights.
TEST(agent_weights, an_older_plan_is_ignored)
{
    fixture test;
    test.push_plan(3);
    EXPECT_TRUE(test.push_plan(2).empty());
    EXPECT_EQ(test.agent.control.plans.at("split-a").version, 3U);
}

// A new version is loaded while callers keep sending requests. A request that
// starts after the order and streams across the switch would mix two versions.
// The gate must run nothing for the model until a report made after the order.
TEST(agent_weights, nothing_runs_while_an_order_changes_the_model)
{
    using std::chrono::milliseconds;
    // Later than the time that an agent waits for newer plans after its first
    // one.
    constexpr milliseconds settled{60'000};
    auto const at = [settled](int time)
    {
        return base::time_point(settled + milliseconds(time));
    };
    fixture test;
    test.agent.weights.serving["assistant"] = "d0";
    test.push_plan(3);
    step(test.agent, origin_manifest{test.digest, test.text, {}}, {});
    step(test.agent, origin_chunk{test.digest, 0, "0123", {}}, {});
    step(test.agent, origin_chunk{test.digest, 1, "4567", {}}, {});
    step(test.agent, origin_chunk{test.digest, 2, "89", {}}, {});
    auto const ordered = step(test.agent, core::tick{}, at(10));
    auto const* const order = find<order_engine>(ordered);
    ASSERT_NE(order, nullptr);
    core::message_received run{"entry-1", {}};
    run.envelope.mutable_run()->mutable_attempt()->set_high(1);
    run.envelope.mutable_run()->mutable_target()->set_model("assistant");
    run.envelope.mutable_run()->mutable_target()->set_digest("d0");
    EXPECT_EQ(find<start_attempt>(step(test.agent, run, at(11))), nullptr);
    step(test.agent, order_answered{order->order, {}}, at(20));
    endpoint_report report{true, "i", false, {{"assistant", "d0"}}, at(15)};
    step(test.agent, report, at(21));
    EXPECT_EQ(find<start_attempt>(step(test.agent, run, at(22))), nullptr);
    // The engine must not be ordered again before its report shows the effect
    // of the order.
    EXPECT_EQ(
        find<order_engine>(step(test.agent, core::tick{}, at(23))), nullptr);
    // The report in transit may be older than the effect; the one after it is
    // not.
    report.asked = at(25);
    step(test.agent, report, at(26));
    EXPECT_NE(find<start_attempt>(step(test.agent, run, at(27))), nullptr);
}

} // namespace foxtailvale::agent_core
