#include <base/digest.hpp>
#include <weights/chunk_transfer.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};
constexpr std::uint32_t chunk_count = 64;

std::string bytes_of(std::uint32_t index, std::uint64_t version = 2)
{
    return "v" + std::to_string(version) + " chunk " + std::to_string(index);
}

std::vector<std::string> digests(std::uint64_t version = 2)
{
    std::vector<std::string> made;
    for (std::uint32_t index = 0; index < chunk_count; ++index)
    {
        made.push_back(base::sha256_hex(bytes_of(index, version)));
    }
    return made;
}

// Three failure domains of five agents a0..a4, b0.., c0...
plan_set fleet()
{
    plan_set plans;
    for (std::string const domain : {"a", "b", "c"})
    {
        auto& plan = plans[domain];
        plan.failure_domain = domain;
        plan.region = "all";
        for (auto number = 0; number < 5; ++number)
        {
            auto const name = domain + std::to_string(number);
            plan.endpoints.push_back({name, name + ":1", {{"m", "m@2"}}});
        }
    }
    return plans;
}

origin_fetch_schedule schedule()
{
    return plan_origin_fetches(fleet(), {}, 32768, start);
}

// The schedule of an agent that stands in no fleet.
origin_fetch_schedule schedule_alone(std::chrono::microseconds interval)
{
    return {{"z0"}, 1, 1, start, interval};
}

// What has become of a fleet that exchanges chunks.
struct exchange
{
    std::map<std::string, chunk_transfer> agents;
    std::map<std::string, source_table> books;
    std::uint32_t drawn = 0;
    std::uint32_t rounds = 0;
};

// Lets all agents ask and answer in rounds of 20 ms until all hold everything.
// Agents in `dead` never answer; the origin spoils every tenth chunk when told.
exchange run(std::set<std::string> const& dead, bool origin_spoils)
{
    exchange state;
    auto const plans = fleet();
    for (auto const& [domain, plan] : plans)
    {
        for (auto const& endpoint : plan.endpoints)
        {
            if (!dead.contains(endpoint.agent))
            {
                begin(state.agents[endpoint.agent], digests(), start);
            }
        }
    }
    auto now = start;
    auto const unfinished = [&]
    {
        return std::ranges::any_of(
            state.agents,
            [](auto const& entry)
            {
                return !is_complete(entry.second);
            });
    };
    while (unfinished() && state.rounds < 2000)
    {
        ++state.rounds;
        now += milliseconds(20);
        for (auto& [name, transfer] : state.agents)
        {
            auto& book = state.books[name];
            auto const asks = next_chunk_requests(
                transfer, book, plans, {name.substr(0, 1), name, "m@2"},
                schedule(), {}, now);
            for (auto const& wanted : asks)
            {
                auto const& source = wanted.source.agent;
                if (source.empty())
                {
                    ++state.drawn;
                    auto const spoilt = origin_spoils && state.drawn % 10 == 0;
                    deliver(
                        transfer, book, wanted.index,
                        spoilt ? "rubbish" : bytes_of(wanted.index), now);
                    continue;
                }
                if (dead.contains(source))
                {
                    lose(transfer, book, wanted.index, chunk_loss::failed, now);
                    continue;
                }
                auto const& held = state.agents[source].chunks[wanted.index];
                if (held)
                {
                    deliver(transfer, book, wanted.index, *held, now);
                }
                else
                {
                    lose(
                        transfer, book, wanted.index, chunk_loss::not_yet, now);
                }
            }
        }
    }
    return state;
}

} // namespace

TEST(chunk_transfer, one_copy_from_the_origin_serves_a_fleet)
{
    auto const state = run({}, false);
    for (auto const& [name, transfer] : state.agents)
    {
        EXPECT_TRUE(is_complete(transfer)) << name;
    }
    EXPECT_EQ(state.drawn, chunk_count);
}

// A third of the agents is dead when a version is named. The others wait for
// chunks that never come, or all of them turn to the origin.
TEST(chunk_transfer, dead_agents_cost_few_copies)
{
    auto const state = run({"a0", "a3", "b1", "c0", "c4"}, false);
    for (auto const& [name, transfer] : state.agents)
    {
        EXPECT_TRUE(is_complete(transfer)) << name;
    }
    EXPECT_LE(state.drawn, 2 * chunk_count);
}

TEST(chunk_transfer, a_failure_domain_alone_helps_itself)
{
    auto const state = run(
        {"a0", "a1", "a2", "a3", "a4", "c0", "c1", "c2", "c3", "c4"}, false);
    for (auto const& [name, transfer] : state.agents)
    {
        EXPECT_TRUE(is_complete(transfer)) << name;
    }
}

// Chunks arrive corrupted. One that is kept, or handed on, ends in an engine
// that answers callers from broken weights.
TEST(chunk_transfer, spoilt_chunks_are_never_kept)
{
    auto const state = run({}, true);
    for (auto const& [name, transfer] : state.agents)
    {
        ASSERT_TRUE(is_complete(transfer)) << name;
        for (std::uint32_t index = 0; index < chunk_count; ++index)
        {
            EXPECT_EQ(*transfer.chunks[index], bytes_of(index));
        }
    }
}

// Engines are added while the origin is away. Each waits for others that have
// just come, or for the origin, although their neighbours serve the version.
TEST(chunk_transfer, whoever_comes_later_asks_those_that_serve)
{
    chunk_transfer state;
    begin(state, digests(), start);
    source_table book;
    transfer_requester const place{
        "a", "a4", "m@2", {{"a0", "a0:1"}, {"a1", "a1:1"}, {"a2", "a2:1"}}};
    std::map<std::string, int> asked;
    for (auto now = start; !is_complete(state) && now < start + seconds(5);
         now += milliseconds(20))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, book, fleet(), place, schedule(), {}, now))
        {
            ++asked[wanted.source.agent];
            deliver(state, book, wanted.index, bytes_of(wanted.index), now);
        }
    }
    EXPECT_TRUE(is_complete(state));
    EXPECT_EQ(asked.size(), 3U);
    EXPECT_EQ(asked[""], 0);
    EXPECT_GT(asked["a0"], 10);
}

// The importer of a chunk ends in the middle of a burst, the origin dies, and
// one agent that stands behind has the chunk. Everybody asks those before.
TEST(chunk_transfer, a_chunk_is_found_at_whoever_holds_it)
{
    chunk_transfer state;
    begin(state, digests(), start);
    source_table book;
    transfer_requester const place{"a", "a2", "m@2", {}};
    note_holdings(state, {"c3", "c3:1"}, std::string(chunk_count, '1'), start);
    auto now = start;
    for (; !is_complete(state) && now < start + seconds(60);
         now += milliseconds(50))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, book, fleet(), place, schedule(), {}, now))
        {
            auto const& source = wanted.source.agent;
            if (source == "c3")
            {
                deliver(state, book, wanted.index, bytes_of(wanted.index), now);
                continue;
            }
            lose(
                state, book, wanted.index,
                source.empty() ? chunk_loss::failed : chunk_loss::not_yet, now);
        }
    }
    EXPECT_LE(now, start + seconds(4));
}

// The origin dies in the middle of a burst and is back six seconds later. The
// fleet leaves it alone for ten more, while every engine's version is past its
// time and all callers are refused.
TEST(chunk_transfer, an_origin_that_was_away_is_asked_again_soon)
{
    chunk_transfer state;
    begin(state, digests(), start);
    source_table book;
    transfer_requester const alone{"z", "z0", "m@2"};
    auto const back = start + seconds(6);
    auto now = start;
    for (; !is_complete(state) && now < start + seconds(60);
         now += milliseconds(50))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, book, {}, alone, schedule_alone({}), {}, now))
        {
            if (now < back)
            {
                lose(state, book, wanted.index, chunk_loss::failed, now);
                continue;
            }
            deliver(state, book, wanted.index, bytes_of(wanted.index), now);
        }
    }
    EXPECT_LE(now, back + seconds(4));
}

TEST(chunk_transfer, unchanged_chunks_are_kept_between_versions)
{
    chunk_transfer earlier;
    begin(earlier, digests(1), start);
    ASSERT_TRUE(offer(earlier, 5, bytes_of(5, 1)));
    auto changed = digests(2);
    changed[7] = earlier.digests[5];
    chunk_transfer next;
    begin(next, changed, start);
    reuse(next, earlier);
    EXPECT_EQ(next.held, 1U);
    ASSERT_TRUE(next.chunks[7]);
    EXPECT_EQ(*next.chunks[7], bytes_of(5, 1));
}

TEST(chunk_transfer, bytes_of_another_chunk_are_refused)
{
    chunk_transfer state;
    begin(state, digests(), start);
    EXPECT_FALSE(offer(state, 3, bytes_of(4)));
    EXPECT_FALSE(offer(state, chunk_count, bytes_of(4)));
    EXPECT_EQ(state.held, 0U);
}

// An importer's questions to others fill its window, and the chunks that it
// alone is to draw come last. The origin dies before, and the whole fleet
// misses two.
TEST(chunk_transfer, draws_from_the_origin_do_not_wait_for_other_chunks)
{
    chunk_transfer state;
    begin(state, digests(), start);
    source_table book;
    std::uint32_t drawn = 0;
    for (auto now = start; now < start + milliseconds(1000);
         now += milliseconds(20))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, book, fleet(), {"a", "a1", "m@2", {}}, schedule(), {},
                 now))
        {
            // Others never answer in this time.
            if (wanted.source.agent.empty())
            {
                ++drawn;
                deliver(state, book, wanted.index, bytes_of(wanted.index), now);
            }
        }
    }
    // Its part of 64 chunks among eight agents that draw.
    EXPECT_GE(drawn, 8U);
}

// All agents ask a slow origin for all chunks at once. They all end at the
// same late time, and nobody has anything to hand on before.
TEST(chunk_transfer, the_origin_is_asked_at_the_rate_of_its_link)
{
    chunk_transfer state;
    begin(state, digests(), start);
    source_table book;
    transfer_limits limits;
    limits.origin = chunk_count;
    limits.total = chunk_count;
    auto const paced = schedule_alone(std::chrono::microseconds(25000));
    transfer_requester const alone{"z", "z0", "m@2"};
    EXPECT_EQ(
        next_chunk_requests(state, book, {}, alone, paced, limits, start)
            .size(),
        1U);
    auto const later = start + milliseconds(250);
    EXPECT_EQ(
        next_chunk_requests(state, book, {}, alone, paced, limits, later)
            .size(),
        10U);
}

namespace
{

// The first agent that stands in for the drawer of chunk 0, at a moment at
// which it may ask whether that drawer lives.
struct standing_in
{
    standing_in()
    {
        begin(this->transfer, digests(), start);
    }

    std::vector<chunk_source> checks(base::time_point now)
    {
        return next_liveness_checks(
            this->transfer, fleet(), this->place, this->draws, now);
    }

    bool draws_first_chunk(base::time_point now)
    {
        transfer_limits limits;
        limits.origin = chunk_count;
        auto const asks = next_chunk_requests(
            this->transfer, this->book, fleet(), this->place, this->draws,
            limits, now);
        return std::ranges::any_of(
            asks,
            [](wanted_chunk const& wanted)
            {
                return wanted.index == 0 && wanted.source.agent.empty();
            });
    }

    origin_fetch_schedule draws = schedule();
    std::string drawer = origin_fetcher_of(this->draws, 0);
    transfer_requester place{
        this->draws.order[1].substr(0, 1), this->draws.order[1], "m@2", {}};
    chunk_transfer transfer;
    source_table book;
};

constexpr milliseconds may_check{400};

} // namespace

TEST(chunk_transfer, who_stands_in_asks_once_whether_the_drawer_lives)
{
    standing_in agent;
    EXPECT_TRUE(agent.checks(start + may_check - milliseconds(1)).empty());
    auto const asked = agent.checks(start + may_check);
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(asked.front().agent, agent.drawer);
    EXPECT_TRUE(agent.checks(start + may_check + milliseconds(1)).empty());
}

// Guards against chunks of a drawer that ended being drawn after more than a
// second each.
TEST(chunk_transfer, chunks_of_a_silent_drawer_are_drawn_at_once)
{
    standing_in agent;
    agent.checks(start + may_check);
    auto const answered = start + may_check + liveness_check_timeout;
    note_liveness_check(agent.transfer, agent.drawer, false);
    EXPECT_TRUE(agent.draws_first_chunk(answered));
}

// Guards against a second copy of what a drawer that lives is about to have.
TEST(chunk_transfer, chunks_of_a_drawer_that_lives_are_left_to_it)
{
    standing_in agent;
    agent.checks(start + may_check);
    note_liveness_check(agent.transfer, agent.drawer, true);
    EXPECT_FALSE(
        agent.draws_first_chunk(start + may_check + liveness_check_timeout));
}

// Guards against fetchers that ask each other for their own chunks while the
// origin is away, and then draw later ones first, which nobody asks for yet.
TEST(chunk_transfer, own_chunks_are_asked_of_others_behind_all_the_rest)
{
    chunk_transfer transfer;
    begin(transfer, digests(), start);
    source_table book;
    auto const draws = schedule();
    auto const& agent = draws.order.front();
    auto const now = start + seconds(3);
    avoid_briefly(book, {}, now);
    auto const asks = next_chunk_requests(
        transfer, book, fleet(), {agent.substr(0, 1), agent, "m@2", {}}, draws,
        {}, now);
    EXPECT_EQ(asks.size(), transfer_limits{}.total);
    for (auto const& wanted : asks)
    {
        EXPECT_NE(origin_fetcher_of(draws, wanted.index), agent)
            << wanted.index;
    }
}

} // namespace foxtailvale::weights
