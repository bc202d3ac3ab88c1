#include <agent_core/agent_core.hpp>
#include <request/suspects.hpp>

#include <core/wire_ids.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;

state make_agent()
{
    state agent;
    agent.self = {"agent-1", "split-a", "dalmacija", ""};
    agent.weights.serving["assistant"] = "d1";
    request::set_limits(agent.requests.gate, 2, 2);
    return agent;
}

core::message_received run_message(std::uint64_t number, std::string digest)
{
    core::message_received message{"entry-1", {}};
    auto* const run = message.envelope.mutable_run();
    core::to_wire({number, 0}, *run->mutable_attempt());
    run->mutable_target()->set_model("assistant");
    run->mutable_target()->set_digest(std::move(digest));
    return message;
}

wire::RunOutput const* find_output(std::vector<action> const& actions)
{
    for (auto const& ordered : actions)
    {
        auto const* const sent = std::get_if<core::send_message>(&ordered);
        if (sent != nullptr && sent->envelope.has_run_output())
        {
            return &sent->envelope.run_output();
        }
    }
    return nullptr;
}

// Whether a tick at this time allows the process to end.
bool has_finished(state& agent, milliseconds time)
{
    auto const actions = step(agent, core::tick{}, base::time_point(time));
    return std::ranges::any_of(
        actions,
        [](action const& ordered)
        {
            return std::holds_alternative<core::stop_finished>(ordered);
        });
}

std::vector<wire::SuspectNotice>
suspect_notices(std::vector<action> const& ordered, std::string const& entry)
{
    std::vector<wire::SuspectNotice> found;
    for (auto const& one : ordered)
    {
        auto const* const sent = std::get_if<core::send_message>(&one);
        if (sent != nullptr && sent->peer == entry &&
            sent->envelope.has_suspect_notice())
        {
            found.push_back(sent->envelope.suspect_notice());
        }
    }
    return found;
}

} // namespace

TEST(agent_requests, relays_pieces_in_order_and_frees_the_slot)
{
    auto agent = make_agent();
    auto const started = step(agent, run_message(1, "d1"), {});
    ASSERT_TRUE(std::holds_alternative<start_attempt>(started.at(0)));
    auto const piece = step(
        agent, attempt_output{{1, 0}, 200, "text/plain", "a", false, {}}, {});
    EXPECT_EQ(find_output(piece)->sequence(), 0U);
    auto const end = step(
        agent, attempt_output{{1, 0}, 200, "text/plain", "b", true, {}}, {});
    EXPECT_EQ(find_output(end)->sequence(), 1U);
    EXPECT_TRUE(find_output(end)->last());
    EXPECT_TRUE(agent.requests.gate.running.empty());
}

// A version replaces another while a request is in transit. If it ran here, it
// would be answered by weights that it was not pinned to. The gate refuses it
// as not run, so the entry may send it elsewhere.
TEST(agent_requests, other_weights_are_refused_as_not_run)
{
    auto agent = make_agent();
    auto const actions = step(agent, run_message(1, "d0"), {});
    auto const* const output = find_output(actions);
    ASSERT_NE(output, nullptr);
    auto const kind = base::error_kind_from_name(output->error());
    EXPECT_EQ(kind, base::error_kind::version_mismatch);
    EXPECT_EQ(base::row_of(kind).ran, base::ran_state::no);
}

// The VM is stopped on purpose while a request runs. The request must finish
// before the process ends, and no new one may start.
TEST(agent_requests, a_planned_stop_waits_for_running_work)
{
    auto agent = make_agent();
    step(agent, run_message(1, "d1"), {});
    step(agent, core::stop_requested{}, {});
    EXPECT_FALSE(has_finished(agent, milliseconds(1000)));
    auto const refused = step(agent, run_message(2, "d1"), {});
    EXPECT_EQ(find_output(refused)->error(), "endpoint_leaving");
    auto const end = step(
        agent, attempt_output{{1, 0}, 200, "text/plain", "b", true, {}}, {});
    EXPECT_TRUE(find_output(end)->last());
    // Entries that do not know of the stop yet still get a refusal.
    EXPECT_FALSE(has_finished(agent, milliseconds(1999)));
    EXPECT_TRUE(has_finished(agent, milliseconds(2000)));
}

// Guards against an entry that starts after the crashes, is told nothing of
// them, and lets the request crash two more endpoints.
TEST(agent_requests, an_entry_that_listens_later_is_told_of_crashes)
{
    using std::chrono::seconds;
    auto agent = make_agent();
    step(agent, endpoint_report{true, "i1", false, {{"assistant", "d1"}}}, {});
    for (std::uint64_t number = 1; number <= 2; ++number)
    {
        auto run = run_message(number, "d1");
        run.envelope.mutable_run()->set_fingerprint(76 + number);
        step(agent, run, {});
    }
    step(agent, endpoint_report{true, "i2", true, {{"assistant", "d1"}}}, {});
    core::message_received release{"entry-1", {}};
    release.envelope.mutable_suspect_notice()->set_fingerprint(78);
    release.envelope.mutable_suspect_notice()->set_released(true);
    step(agent, release, {});
    core::message_received greeting{"entry-2", {}};
    greeting.envelope.set_from_incarnation(1);
    greeting.envelope.mutable_configuration_digest();
    auto const later = base::time_point{} + seconds(60);
    auto const told = suspect_notices(step(agent, greeting, later), "entry-2");
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].fingerprint(), 77U);
    EXPECT_EQ(seconds(told[0].valid_ms() / 1000), seconds(540));
    EXPECT_TRUE(
        suspect_notices(step(agent, greeting, later), "entry-2").empty());
    greeting.peer = "entry-3";
    auto const expired = base::time_point{} + request::suspect_duration;
    EXPECT_TRUE(
        suspect_notices(step(agent, greeting, expired), "entry-3").empty());
}

// The engine crashes on a prompt and comes back as another instance. The
// entries must be told what ran on it, or the prompt is sent from engine to
// engine.
TEST(agent_requests, a_crash_reports_the_running_requests)
{
    auto agent = make_agent();
    agent.control.listeners["entry-1"] = {};
    step(agent, endpoint_report{true, "i1", false, {{"assistant", "d1"}}}, {});
    auto run = run_message(1, "d1");
    run.envelope.mutable_run()->set_fingerprint(77);
    step(agent, run, {});
    base::error const lost{base::error_kind::endpoint_lost, {}};
    step(agent, attempt_output{{1, 0}, 0, "", "", true, lost}, {});
    auto const actions = step(
        agent, endpoint_report{true, "i2", true, {{"assistant", "d1"}}}, {});
    auto const told = suspect_notices(actions, "entry-1");
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].fingerprint(), 77U);
}

} // namespace foxtailvale::agent_core
