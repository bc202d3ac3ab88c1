#include <agent_core/agent_core.hpp>

#include <core/wire_ids.hpp>
#include <gtest/gtest.h>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

base::time_point at(std::chrono::milliseconds time)
{
    return base::time_point(time);
}

state make_agent()
{
    state agent;
    agent.self = {"agent-1", "split-a", "dalmacija", "booking"};
    agent.random.value = 5;
    request::set_limits(agent.requests.gate, 1, 1);
    return agent;
}

core::message_received message(std::uint64_t number, char const* what)
{
    core::message_received message{"entry-1", {}};
    wire::AttemptId id;
    core::to_wire({number, 1}, id);
    std::string const kind(what);
    if (kind == "reserve")
    {
        auto* const reserve = message.envelope.mutable_reserve();
        *reserve->mutable_attempt() = id;
        reserve->mutable_target()->set_service("booking");
    }
    else if (kind == "query")
    {
        *message.envelope.mutable_outcome_query()->mutable_attempt() = id;
    }
    else
    {
        *message.envelope.mutable_confirm_not_run()->mutable_attempt() = id;
    }
    return message;
}

core::message_received run_message(std::uint64_t number, std::uint64_t token)
{
    core::message_received message{"entry-1", {}};
    auto* const run = message.envelope.mutable_run();
    core::to_wire({number, 1}, *run->mutable_attempt());
    run->mutable_target()->set_service("booking");
    run->set_token(token);
    return message;
}

wire::Envelope first_message(std::vector<action> const& actions)
{
    for (auto const& ordered : actions)
    {
        if (auto const* const sent = std::get_if<core::send_message>(&ordered))
        {
            return sent->envelope;
        }
    }
    return {};
}

bool starts_work(std::vector<action> const& actions)
{
    for (auto const& ordered : actions)
    {
        if (std::holds_alternative<start_attempt>(ordered))
        {
            return true;
        }
    }
    return false;
}

std::uint64_t reserve(state& agent, std::uint64_t number, milliseconds time)
{
    auto const actions = step(agent, message(number, "reserve"), at(time));
    return first_message(actions).grant().token();
}

wire::OutcomeReply::State
outcome_of(state& agent, std::uint64_t number, milliseconds time)
{
    auto const actions = step(agent, message(number, "query"), at(time));
    return first_message(actions).outcome_reply().state();
}

constexpr milliseconds start{0};

} // namespace

// A body arrives twice because a frame was repeated. Only one van may be sent
// out.
TEST(agent_reservations, a_token_runs_one_body)
{
    auto agent = make_agent();
    auto const token = reserve(agent, 1, start);
    ASSERT_NE(token, 0U);
    EXPECT_TRUE(starts_work(step(agent, run_message(1, token), at(start))));
    EXPECT_TRUE(step(agent, run_message(1, token), at(start)).empty());
    step(agent, attempt_output{{1, 1}, 200, "", "done", true, {}}, at(start));
    EXPECT_TRUE(step(agent, run_message(1, token), at(start)).empty());
    EXPECT_EQ(outcome_of(agent, 1, start), wire::OutcomeReply::FINISHED);
}

// A body arrives after its sender gave up and reported "not run". It must not
// run.
TEST(agent_reservations, a_void_or_expired_token_runs_nothing)
{
    auto agent = make_agent();
    auto const one = reserve(agent, 1, start);
    auto const confirmed = step(agent, message(1, "confirm"), at(start));
    EXPECT_TRUE(first_message(confirmed).not_run_confirmed().not_run());
    auto const refused = step(agent, run_message(1, one), at(start));
    EXPECT_FALSE(starts_work(refused));
    EXPECT_EQ(first_message(refused).run_output().error(), "grant_void");

    auto const two = reserve(agent, 2, start);
    ASSERT_NE(two, 0U);
    auto const late = milliseconds(2000);
    EXPECT_FALSE(starts_work(step(agent, run_message(2, two), at(late))));
    step(agent, core::tick{}, at(late));
    EXPECT_EQ(outcome_of(agent, 2, late), wire::OutcomeReply::NOT_RUN);
    EXPECT_NE(reserve(agent, 3, late), 0U);
}

// The agent restarted and has no stored outcomes. Answering "not run" would be
// a guess, and a wrong one sends a second van.
TEST(agent_reservations, an_unknown_attempt_is_not_confirmed_as_not_run)
{
    auto agent = make_agent();
    EXPECT_EQ(outcome_of(agent, 9, start), wire::OutcomeReply::UNKNOWN);
    auto const actions = step(agent, message(9, "confirm"), at(start));
    EXPECT_FALSE(first_message(actions).not_run_confirmed().not_run());
}

TEST(agent_reservations, a_slot_that_is_held_counts_as_running)
{
    auto agent = make_agent();
    reserve(agent, 1, start);
    auto const refused = step(agent, message(2, "reserve"), at(start));
    EXPECT_EQ(first_message(refused).run_output().error(), "endpoint_full");
    EXPECT_EQ(outcome_of(agent, 1, start), wire::OutcomeReply::RUNNING);
}

TEST(agent_reservations, outcomes_are_forgotten_after_their_time)
{
    auto agent = make_agent();
    auto const token = reserve(agent, 1, start);
    step(agent, run_message(1, token), at(start));
    step(agent, attempt_output{{1, 1}, 200, "", "done", true, {}}, at(start));
    auto const later = minutes(11);
    step(agent, core::tick{}, at(later));
    EXPECT_EQ(outcome_of(agent, 1, later), wire::OutcomeReply::UNKNOWN);
    EXPECT_EQ(agent.requests.outcome_bytes, 0U);
}

} // namespace foxtailvale::agent_core
