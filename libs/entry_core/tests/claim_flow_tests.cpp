#include "request_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::testing
{

namespace
{

using kind = base::error_kind;

// Drops the first frame that passes the test.
template <class Test>
void drop_once(request_simulation& simulation, Test test)
{
    simulation.on_frame = [test, dropped = false](
                              std::string const&, std::string const&,
                              wire::Envelope const& envelope) mutable
    {
        if (dropped || !test(envelope))
        {
            return true;
        }
        dropped = true;
        return false;
    };
}

std::size_t claims_in(request_simulation const& simulation)
{
    std::size_t count = 0;
    for (auto const& [path, object] : simulation.objects)
    {
        count += path.starts_with(core::claims_prefix) ? 1 : 0;
    }
    return count;
}

// Waits for the answer to a call and returns it.
caller_answer
answer_to(request_simulation& simulation, std::string const& request_id)
{
    EXPECT_TRUE(simulation.run_until(
        [&]
        {
            return simulation.is_answered(request_id);
        }));
    return simulation.is_answered(request_id)
               ? simulation.answers(request_id).front()
               : caller_answer{};
}

} // namespace

// A caller's connection drops after its booking was answered, and it sends the
// same booking again, to another entry. It must get the first answer, and the
// booking must run once.
TEST(at_most_once, a_second_send_gets_the_stored_answer)
{
    request_simulation simulation({});
    auto const first = simulation.send_booking("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, first).body, "done: osijek");
    simulation.run_for(milliseconds(50));
    auto const second = simulation.send_booking("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, second).body, "done: osijek");
    EXPECT_EQ(simulation.runs(), 1U);
    EXPECT_EQ(claims_in(simulation), 1U);
}

TEST(at_most_once, a_key_with_another_body_is_refused)
{
    request_simulation simulation({});
    answer_to(simulation, simulation.send_booking("entry-1", "k", "osijek"));
    auto const other = simulation.send_booking("entry-2", "k", "split");
    EXPECT_EQ(answer_to(simulation, other).error, kind::key_reused);
    EXPECT_EQ(simulation.runs(), 1U);
}

// The load balancer repeats a booking, so that it reaches two entries at the
// same moment. One must run it; the other finds the claim.
TEST(at_most_once, of_two_entries_that_race_one_runs_it)
{
    request_simulation simulation({});
    auto const one = simulation.send_booking("entry-1", "k", "osijek");
    auto const two = simulation.send_booking("entry-2", "k", "osijek");
    auto const first = answer_to(simulation, one);
    auto const second = answer_to(simulation, two);
    EXPECT_EQ(simulation.runs(), 1U);
    EXPECT_TRUE(first.error || second.error);
    EXPECT_EQ(
        first.error ? *first.error : *second.error, kind::already_running);
}

// The entry dies at any point of a booking and the caller sends it again to
// another entry. It must never run twice, and the second request must end with
// the answer or with an error that states truthfully what is known of the
// outcome.
TEST(at_most_once, the_entry_may_die_at_any_moment)
{
    for (int after = 0; after <= 40; ++after)
    {
        request_simulation simulation({.seed = 3});
        simulation.send_booking("entry-1", "k", "osijek");
        simulation.run_for(milliseconds(after));
        simulation.kill("entry-1");
        simulation.run_for(milliseconds(200));
        auto const again = simulation.send_booking("entry-2", "k", "osijek");
        auto const answer = answer_to(simulation, again);
        EXPECT_LE(simulation.runs_of_key("k"), 1U) << after;
        if (answer.error)
        {
            // A granted slot is still open; the caller may repeat the booking
            // soon.
            EXPECT_EQ(*answer.error, kind::already_running) << after;
            simulation.run_for(milliseconds(3000));
            auto const third =
                simulation.send_booking("entry-2", "k", "osijek");
            EXPECT_EQ(answer_to(simulation, third).body, "done: osijek")
                << after;
        }
        else
        {
            EXPECT_EQ(answer.body, "done: osijek") << after;
        }
        EXPECT_EQ(simulation.runs_of_key("k"), 1U) << after;
        EXPECT_TRUE(simulation.violated_invariants().empty()) << after;
    }
}

// The endpoint's VM dies while it runs the booking. Whether the booking took
// effect is unknown, and a second request must not run it again.
TEST(at_most_once, a_lost_agent_leaves_the_outcome_unknown)
{
    request_simulation simulation({.agents = 1});
    auto const first = simulation.send_booking("entry-1", "k", "osijek");
    simulation.run_until(
        [&]
        {
            return simulation.runs() == 1;
        });
    simulation.kill("agent-1");
    simulation.restart("agent-1");
    EXPECT_EQ(answer_to(simulation, first).error, kind::outcome_unknown);
    simulation.run_for(milliseconds(2000));
    auto const second = simulation.send_booking("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, second).error, kind::outcome_unknown);
    EXPECT_EQ(simulation.runs(), 1U);
}

// The platform's store is down. Without a claim a second request could run the
// booking again, so it must not be started and the caller is told that it was
// not run.
TEST(at_most_once, without_the_store_nothing_is_begun)
{
    request_simulation simulation({});
    simulation.store.down = true;
    auto const first = simulation.send_booking("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, first).error, kind::claim_unavailable);
    auto const unkeyed = simulation.send_booking("entry-1", "", "split");
    EXPECT_EQ(answer_to(simulation, unkeyed).body, "done: split");
    EXPECT_EQ(simulation.runs_of(first), 0U);
    simulation.store.down = false;
    auto const second = simulation.send_booking("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, second).body, "done: osijek");
}

// Failure: the write of a claim takes effect and its answer is lost. If the
// claim were taken for another entry's, the booking would be refused for ever;
// if it were taken for absent, the booking could run twice. The attempt's
// random id in the claim decides.
TEST(at_most_once, a_lost_answer_to_the_claim_is_read_back)
{
    request_simulation simulation({});
    simulation.store.lose_write = 1;
    auto const first = simulation.send_booking("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, first).body, "done: osijek");
    EXPECT_EQ(simulation.runs(), 1U);
}

// Failure: the store is so slow that its answer arrives after the call ended as
// not run, and the claim appears late. A second request must still be able to
// run.
TEST(at_most_once, a_claim_that_appears_late_blocks_nobody)
{
    request_simulation simulation({});
    simulation.on_frame = [&simulation](
                              std::string const&, std::string const&,
                              wire::Envelope const& envelope)
    {
        if (envelope.has_grant())
        {
            simulation.store.delay = milliseconds(5000);
        }
        return true;
    };
    auto const first = simulation.send_booking("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, first).error, kind::claim_unavailable);
    simulation.run_for(milliseconds(20'000));
    simulation.on_frame = nullptr;
    simulation.store.delay = milliseconds(2);
    simulation.run_for(milliseconds(6000));
    auto const second = simulation.send_booking("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, second).body, "done: osijek");
    EXPECT_EQ(simulation.runs_of(first), 0U);
    EXPECT_TRUE(simulation.violated_invariants().empty());
}

// The caller disconnects while its booking runs and sends it again. It must get
// the answer of the first run, which is stored for it.
TEST(at_most_once, a_caller_that_hung_up_finds_its_answer)
{
    request_simulation simulation({});
    auto const first = simulation.send_booking("entry-1", "k", "osijek");
    simulation.run_until(
        [&]
        {
            return simulation.runs() == 1;
        });
    simulation.disconnect_caller(first);
    auto const early = simulation.send_booking("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, early).error, kind::already_running);
    simulation.run_for(milliseconds(100));
    auto const second = simulation.send_booking("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(simulation, second).body, "done: osijek");
    EXPECT_EQ(simulation.runs(), 1U);
}

// A frame with a body is lost on its way. Without a key there is no way to
// learn whether it arrived, so it must not be sent again.
TEST(at_most_once, a_call_without_a_key_is_sent_once)
{
    request_simulation simulation({});
    drop_once(
        simulation,
        [](wire::Envelope const& envelope)
        {
            return envelope.has_run();
        });
    auto const first = simulation.send_booking("entry-1", "", "osijek");
    EXPECT_EQ(answer_to(simulation, first).error, kind::deadline_passed);
    EXPECT_EQ(simulation.runs(), 0U);
}

// A gate's grant is lost. The body was not sent, so another endpoint may run
// the booking, and the granted slot must expire.
TEST(at_most_once, a_lost_grant_goes_elsewhere)
{
    request_simulation simulation({});
    drop_once(
        simulation,
        [](wire::Envelope const& envelope)
        {
            return envelope.has_grant();
        });
    auto const first = simulation.send_booking("entry-1", "", "osijek");
    EXPECT_EQ(answer_to(simulation, first).body, "done: osijek");
    simulation.run_for(milliseconds(3000));
    EXPECT_EQ(simulation.runs(), 1U);
    for (auto const& [name, agent] : simulation.agents)
    {
        EXPECT_TRUE(agent.requests.gate.running.empty());
    }
}

} // namespace foxtailvale::testing
