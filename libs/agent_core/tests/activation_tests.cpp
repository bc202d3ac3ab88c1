#include "fake_fleet.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::uint64_t> const seeds{1, 2, 3};

// A domain of six agents that serve one version; the next version is available
// at the origin.
struct rollout
{
    fake_version before = make_version('x', 4);
    fake_version after = make_version('y', 4);
    fake_fleet fleet;

    explicit rollout(std::uint64_t seed) : fleet({{"a", "r", 6}}, seed)
    {
        this->fleet.offer(this->before);
        this->fleet.offer(this->after);
        this->fleet.assign({{"m", this->before.digest}});
        EXPECT_TRUE(this->serves_within(seconds(20), this->before));
        this->fleet.run(seconds(3));
    }

    bool serves_within(milliseconds time, fake_version const& version)
    {
        return this->fleet.run(
            time,
            [this, &version]
            {
                return this->fleet.all_serve(version.digest);
            });
    }

    void replace()
    {
        this->fleet.assign({{"m", this->after.digest}});
    }

    // Sends a request to an agent and returns the error of its refusal; empty
    // when it was accepted.
    std::string send_run(
        std::string const& agent,
        fake_version const& version,
        std::uint64_t number)
    {
        wire::Run run;
        run.mutable_attempt()->set_high(number);
        run.mutable_target()->set_model("m");
        run.mutable_target()->set_digest(version.digest);
        core::message_received message{"entry", {}};
        *message.envelope.mutable_run() = run;
        for (auto const& next : this->fleet.deliver(agent, message))
        {
            if (auto const* const sent = std::get_if<core::send_message>(&next))
            {
                if (sent->envelope.has_run_output())
                {
                    return sent->envelope.run_output().error();
                }
            }
        }
        return "";
    }
};

} // namespace

// A version replaces another while callers are served. If all engines switched
// at once, no caller would be served; one third may switch while the rest
// serve.
TEST(activation, a_rollout_leaves_two_thirds_serving)
{
    for (auto const seed : seeds)
    {
        rollout test(seed);
        test.replace();
        ASSERT_TRUE(test.serves_within(seconds(20), test.after)) << seed;
        EXPECT_EQ(test.fleet.max_loading, 2) << seed;
    }
}

// The release declares that five of six replicas must keep serving.
TEST(activation, a_rollout_keeps_the_declared_floor)
{
    for (auto const seed : seeds)
    {
        rollout test(seed);
        for (auto const& name : test.fleet.names())
        {
            auto& models = test.fleet.core(name).control.configuration.models;
            models["m"].floor = 5;
        }
        test.replace();
        ASSERT_TRUE(test.serves_within(seconds(20), test.after)) << seed;
        EXPECT_EQ(test.fleet.max_loading, 1) << seed;
    }
}

// A VM dies during a roll-out, before its own switch. The agents after it must
// wait only until it is found to be unresponsive.
TEST(activation, a_dead_agent_does_not_stop_the_rollout)
{
    for (auto const seed : seeds)
    {
        rollout test(seed);
        test.fleet.kill("a101");
        test.replace();
        ASSERT_TRUE(test.serves_within(seconds(40), test.after)) << seed;
        EXPECT_LE(test.fleet.max_loading, 2) << seed;
    }
}

// A request is running when the new version is complete. The engine may switch
// only after its end, and until then no new request may start: its caller would
// get an answer that began on one version and ended on another.
TEST(activation, an_engine_moves_between_requests)
{
    rollout test(1);
    ASSERT_EQ(test.send_run("a100", test.before, 1), "");
    test.replace();
    test.fleet.run(seconds(3));
    EXPECT_EQ(test.fleet.engines["a100"].loaded["m"], test.before.digest);
    EXPECT_EQ(test.send_run("a100", test.before, 2), "version_mismatch");
    test.fleet.deliver(
        "a100", attempt_output{{1, 0}, 200, "text/plain", "x", true, {}});
    ASSERT_TRUE(test.serves_within(seconds(20), test.after));
}

// The engine has been sent an order and has not yet reported what it serves. A
// request for the old version would be answered by the new one.
TEST(activation, the_gate_is_closed_while_an_order_is_under_way)
{
    rollout test(1);
    test.fleet.load_time = seconds(2);
    test.replace();
    ASSERT_TRUE(test.fleet.run(
        seconds(5),
        [&]
        {
            return test.fleet.engines["a100"].orders == 2;
        }));
    EXPECT_EQ(test.send_run("a100", test.before, 1), "version_mismatch");
    EXPECT_EQ(test.send_run("a100", test.after, 2), "version_mismatch");
    ASSERT_TRUE(test.serves_within(seconds(30), test.after));
    EXPECT_EQ(test.send_run("a100", test.after, 3), "");
}

// The answer to a load order is lost after the order took effect. The agent
// must learn this from the engine's report, without waiting for the answer or
// ordering again.
TEST(activation, a_lost_answer_to_an_order_is_read_from_the_report)
{
    for (auto const seed : seeds)
    {
        rollout test(seed);
        test.fleet.lose_order_answers = true;
        test.replace();
        ASSERT_TRUE(test.serves_within(seconds(10), test.after)) << seed;
        for (auto const& name : test.fleet.names())
        {
            EXPECT_EQ(test.fleet.engines[name].orders, 2) << name;
        }
    }
}

// An engine that checks fencing numbers has seen a newer one than the agent's
// plan has. The agent must not flood it with orders, and succeeds with a newer
// plan.
TEST(activation, an_old_fencing_number_is_refused_and_retried_slowly)
{
    rollout test(1);
    test.fleet.engines["a100"].highest_fencing = 3;
    test.replace();
    test.fleet.run(seconds(10));
    EXPECT_EQ(test.fleet.engines["a100"].loaded["m"], test.before.digest);
    EXPECT_LE(test.fleet.engines["a100"].orders, 12);
    test.replace();
    ASSERT_TRUE(test.serves_within(seconds(20), test.after));
}

// An agent is replaced while its engine, which ignores fencing numbers, keeps
// running. The agent's first plan is an old one from an entry that lagged; if
// it were followed, the engine would go back to old weights.
TEST(activation, a_new_agent_waits_for_plans_to_settle)
{
    rollout test(1);
    test.fleet.engines_check_fencing = false;
    test.replace();
    ASSERT_TRUE(test.serves_within(seconds(20), test.after));
    auto const orders = test.fleet.engines["a102"].orders;
    test.fleet.replace_agent("a102", test.before.digest, 1);
    test.fleet.run(milliseconds(1200));
    test.fleet.push_plans("a102");
    test.fleet.run(seconds(20));
    EXPECT_EQ(test.fleet.engines["a102"].orders, orders);
    EXPECT_TRUE(test.fleet.all_serve(test.after.digest));
}

// A withdrawn model is unloaded to free its memory, but only after its last
// request.
TEST(activation, a_withdrawn_model_is_unloaded_after_its_last_request)
{
    rollout test(1);
    ASSERT_EQ(test.send_run("a100", test.before, 1), "");
    test.fleet.assign({});
    test.fleet.run(seconds(3));
    EXPECT_TRUE(test.fleet.engines["a100"].loaded.contains("m"));
    EXPECT_EQ(test.fleet.core("a100").weights.store.versions.size(), 1U);
    EXPECT_FALSE(test.fleet.engines["a101"].loaded.contains("m"));
    EXPECT_TRUE(test.fleet.core("a101").weights.store.versions.empty());
    test.fleet.deliver(
        "a100", attempt_output{{1, 0}, 200, "text/plain", "x", true, {}});
    test.fleet.run(seconds(3));
    EXPECT_FALSE(test.fleet.engines["a100"].loaded.contains("m"));
    EXPECT_TRUE(test.fleet.core("a100").weights.store.versions.empty());
}

} // namespace foxtailvale::agent_core
