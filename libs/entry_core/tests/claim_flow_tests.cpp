#include "request_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::testing
{

namespace
{

using kind = base::error_kind;

// Drops one frame of this sort, once.
template <class Test>
void drop_once(request_world& world, Test test)
{
    world.on_frame = [test, dropped = false](
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

std::size_t claims_in(request_world const& world)
{
    std::size_t count = 0;
    for (auto const& [path, object] : world.objects)
    {
        count += path.starts_with(core::claims_prefix) ? 1 : 0;
    }
    return count;
}

// Waits for the answer to a call and returns it.
told answer_to(request_world& world, std::string const& request_id)
{
    EXPECT_TRUE(world.run_until(
        [&]
        {
            return world.is_answered(request_id);
        }));
    return world.is_answered(request_id) ? world.answers(request_id).front()
                                         : told{};
}

} // namespace

// A crew's connection drops after the booking was answered, and its phone
// sends the same booking again, to another entry. It gets the first answer and
// one van goes out.
TEST(at_most_once, a_second_send_gets_the_stored_answer)
{
    request_world world({});
    auto const first = world.book("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(world, first).body, "done: osijek");
    world.run_for(milliseconds(50));
    auto const second = world.book("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(world, second).body, "done: osijek");
    EXPECT_EQ(world.runs(), 1U);
    EXPECT_EQ(claims_in(world), 1U);
}

TEST(at_most_once, a_key_with_another_body_is_refused)
{
    request_world world({});
    answer_to(world, world.book("entry-1", "k", "osijek"));
    auto const other = world.book("entry-2", "k", "split");
    EXPECT_EQ(answer_to(world, other).error, kind::key_reused);
    EXPECT_EQ(world.runs(), 1U);
}

// The same booking reaches two entries at the same moment, since the balancer
// repeated it. One runs it; the other finds the claim.
TEST(at_most_once, of_two_entries_that_race_one_runs_it)
{
    request_world world({});
    auto const one = world.book("entry-1", "k", "osijek");
    auto const two = world.book("entry-2", "k", "osijek");
    auto const first = answer_to(world, one);
    auto const second = answer_to(world, two);
    EXPECT_EQ(world.runs(), 1U);
    EXPECT_TRUE(first.error || second.error);
    EXPECT_EQ(
        first.error ? *first.error : *second.error, kind::already_running);
}

// The entry dies at some moment of a booking and the caller sends it again
// elsewhere. Whatever the moment, it never runs twice, and the second send
// ends with the answer, or with the truth that the outcome is not known.
TEST(at_most_once, the_entry_may_die_at_any_moment)
{
    for (int after = 0; after <= 40; ++after)
    {
        request_world world({.seed = 3});
        world.book("entry-1", "k", "osijek");
        world.run_for(milliseconds(after));
        world.kill("entry-1");
        world.run_for(milliseconds(200));
        auto const again = world.book("entry-2", "k", "osijek");
        auto const answer = answer_to(world, again);
        EXPECT_LE(world.runs_of_key("k"), 1U) << after;
        if (answer.error)
        {
            // A slot that was granted and is still open: come back soon.
            EXPECT_EQ(*answer.error, kind::already_running) << after;
            world.run_for(milliseconds(3000));
            auto const third = world.book("entry-2", "k", "osijek");
            EXPECT_EQ(answer_to(world, third).body, "done: osijek") << after;
        }
        else
        {
            EXPECT_EQ(answer.body, "done: osijek") << after;
        }
        EXPECT_EQ(world.runs_of_key("k"), 1U) << after;
        EXPECT_TRUE(world.broken_promises().empty()) << after;
    }
}

// The endpoint's VM dies while it runs the booking. Whether a van was ordered
// nobody knows; a second send must not order another.
TEST(at_most_once, a_lost_agent_leaves_the_outcome_unknown)
{
    request_world world({.agents = 1});
    auto const first = world.book("entry-1", "k", "osijek");
    world.run_until(
        [&]
        {
            return world.runs() == 1;
        });
    world.kill("agent-1");
    world.restart("agent-1");
    EXPECT_EQ(answer_to(world, first).error, kind::outcome_unknown);
    world.run_for(milliseconds(2000));
    auto const second = world.book("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(world, second).error, kind::outcome_unknown);
    EXPECT_EQ(world.runs(), 1U);
}

// The platform's store is down. Without a claim a second send could run the
// booking again, so it is not begun; "not run" is certain.
TEST(at_most_once, without_the_store_nothing_is_begun)
{
    request_world world({});
    world.store.down = true;
    auto const first = world.book("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(world, first).error, kind::claim_unavailable);
    auto const unkeyed = world.book("entry-1", "", "split");
    EXPECT_EQ(answer_to(world, unkeyed).body, "done: split");
    EXPECT_EQ(world.runs_of(first), 0U);
    world.store.down = false;
    auto const second = world.book("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(world, second).body, "done: osijek");
}

// The claim's write takes effect and its answer is lost. Taken for another's
// claim, the booking would be refused for ever; taken for absent, it could run
// twice. The attempt's random id in the claim tells.
TEST(at_most_once, a_lost_answer_to_the_claim_is_read_back)
{
    request_world world({});
    world.store.lose_write = 1;
    auto const first = world.book("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(world, first).body, "done: osijek");
    EXPECT_EQ(world.runs(), 1U);
}

// The store is so slow that its answer comes after the call was given up as
// "not run", and the claim appears late. A second send must be able to run.
TEST(at_most_once, a_claim_that_appears_late_blocks_nobody)
{
    request_world world({});
    world.on_frame = [&world](
                         std::string const&, std::string const&,
                         wire::Envelope const& envelope)
    {
        if (envelope.has_grant())
        {
            world.store.delay = milliseconds(5000);
        }
        return true;
    };
    auto const first = world.book("entry-1", "k", "osijek");
    EXPECT_EQ(answer_to(world, first).error, kind::claim_unavailable);
    world.run_for(milliseconds(20'000));
    world.on_frame = nullptr;
    world.store.delay = milliseconds(2);
    world.run_for(milliseconds(6000));
    auto const second = world.book("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(world, second).body, "done: osijek");
    EXPECT_EQ(world.runs_of(first), 0U);
    EXPECT_TRUE(world.broken_promises().empty());
}

// The caller hangs up while its booking runs and sends it again. The first
// run's answer was kept for it.
TEST(at_most_once, a_caller_that_hung_up_finds_its_answer)
{
    request_world world({});
    auto const first = world.book("entry-1", "k", "osijek");
    world.run_until(
        [&]
        {
            return world.runs() == 1;
        });
    world.hang_up(first);
    auto const early = world.book("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(world, early).error, kind::already_running);
    world.run_for(milliseconds(100));
    auto const second = world.book("entry-2", "k", "osijek");
    EXPECT_EQ(answer_to(world, second).body, "done: osijek");
    EXPECT_EQ(world.runs(), 1U);
}

// A frame with a body is lost on its way. Without a key nobody can ever learn
// whether it arrived, so it is not sent again.
TEST(at_most_once, a_call_without_a_key_is_sent_once)
{
    request_world world({});
    drop_once(
        world,
        [](wire::Envelope const& envelope)
        {
            return envelope.has_run();
        });
    auto const first = world.book("entry-1", "", "osijek");
    EXPECT_EQ(answer_to(world, first).error, kind::deadline_passed);
    EXPECT_EQ(world.runs(), 0U);
}

// A gate's grant is lost. The body has not left, so another endpoint may run
// the booking; the slot that was granted runs out.
TEST(at_most_once, a_lost_grant_goes_elsewhere)
{
    request_world world({});
    drop_once(
        world,
        [](wire::Envelope const& envelope)
        {
            return envelope.has_grant();
        });
    auto const first = world.book("entry-1", "", "osijek");
    EXPECT_EQ(answer_to(world, first).body, "done: osijek");
    world.run_for(milliseconds(3000));
    EXPECT_EQ(world.runs(), 1U);
    for (auto const& [name, agent] : world.agents)
    {
        EXPECT_TRUE(agent.requests.gate.running.empty());
    }
}

} // namespace foxtailvale::testing
