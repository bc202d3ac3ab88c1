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

std::vector<std::string> chunk_digests(std::uint64_t version = 2)
{
    std::vector<std::string> made;
    for (std::uint32_t index = 0; index < chunk_count; ++index)
    {
        made.push_back(base::sha256_hex(bytes_of(index, version)));
    }
    return made;
}

// Three failure domains of five agents each: a0..a4, b0..b4, c0..c4.
plan_set make_fleet()
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

origin_fetch_schedule make_schedule()
{
    return plan_origin_fetches(make_fleet(), {}, 32768, start);
}

// The schedule of a single agent outside the fleet.
origin_fetch_schedule single_agent_schedule(std::chrono::microseconds interval)
{
    return {{"z0"}, 1, 1, start, interval};
}

// State of a simulated fleet that exchanges chunks.
struct exchange
{
    std::map<std::string, chunk_transfer> agents;
    std::map<std::string, source_table> tables;
    std::uint32_t origin_fetches = 0;
    std::uint32_t rounds = 0;
};

// Lets all agents send and answer requests in rounds of 20 ms until all are
// complete. Agents in `dead` never respond; the origin corrupts every tenth
// chunk if `origin_corrupts` is set.
exchange run_exchange(std::set<std::string> const& dead, bool origin_corrupts)
{
    exchange state;
    auto const plans = make_fleet();
    for (auto const& [domain, plan] : plans)
    {
        for (auto const& endpoint : plan.endpoints)
        {
            if (!dead.contains(endpoint.agent))
            {
                begin(state.agents[endpoint.agent], chunk_digests(), start);
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
            auto& table = state.tables[name];
            auto const wanted_chunks = next_chunk_requests(
                transfer, table, plans, {name.substr(0, 1), name, "m@2"},
                make_schedule(), {}, now);
            for (auto const& wanted : wanted_chunks)
            {
                auto const& source = wanted.source.agent;
                if (source.empty())
                {
                    ++state.origin_fetches;
                    auto const corrupt =
                        origin_corrupts && state.origin_fetches % 10 == 0;
                    deliver(
                        transfer, table, wanted.index,
                        corrupt ? "rubbish" : bytes_of(wanted.index), now);
                    continue;
                }
                if (dead.contains(source))
                {
                    lose(
                        transfer, table, wanted.index, chunk_loss::failed, now);
                    continue;
                }
                auto const& held = state.agents[source].chunks[wanted.index];
                if (held)
                {
                    deliver(transfer, table, wanted.index, *held, now);
                }
                else
                {
                    lose(
                        transfer, table, wanted.index, chunk_loss::not_yet,
                        now);
                }
            }
        }
    }
    return state;
}

} // namespace

TEST(chunk_transfer, one_copy_from_the_origin_serves_a_fleet)
{
    auto const state = run_exchange({}, false);
    for (auto const& [name, transfer] : state.agents)
    {
        EXPECT_TRUE(is_complete(transfer)) << name;
    }
    EXPECT_EQ(state.origin_fetches, chunk_count);
}

// A third of the agents is dead when a version is announced. The other agents
// must neither wait for chunks that never arrive nor all fall back to the
// origin.
TEST(chunk_transfer, dead_agents_cost_few_copies)
{
    auto const state = run_exchange({"a0", "a3", "b1", "c0", "c4"}, false);
    for (auto const& [name, transfer] : state.agents)
    {
        EXPECT_TRUE(is_complete(transfer)) << name;
    }
    EXPECT_LE(state.origin_fetches, 2 * chunk_count);
}

TEST(chunk_transfer, a_single_failure_domain_completes_without_the_others)
{
    auto const state = run_exchange(
        {"a0", "a1", "a2", "a3", "a4", "c0", "c1", "c2", "c3", "c4"}, false);
    for (auto const& [name, transfer] : state.agents)
    {
        EXPECT_TRUE(is_complete(transfer)) << name;
    }
}

// Chunks arrive corrupted. If one were stored or passed on, an engine would
// answer callers from broken weights.
TEST(chunk_transfer, corrupted_chunks_are_never_stored)
{
    auto const state = run_exchange({}, true);
    for (auto const& [name, transfer] : state.agents)
    {
        ASSERT_TRUE(is_complete(transfer)) << name;
        for (std::uint32_t index = 0; index < chunk_count; ++index)
        {
            EXPECT_EQ(*transfer.chunks[index], bytes_of(index));
        }
    }
}

// Engines are added while the origin is away. Their agents must not wait for
// other new agents or for the origin while neighbours serve the version.
TEST(chunk_transfer, whoever_comes_later_asks_those_that_serve)
{
    chunk_transfer state;
    begin(state, chunk_digests(), start);
    source_table table;
    transfer_requester const requester{
        "a", "a4", "m@2", {{"a0", "a0:1"}, {"a1", "a1:1"}, {"a2", "a2:1"}}};
    std::map<std::string, int> requested;
    for (auto now = start; !is_complete(state) && now < start + seconds(5);
         now += milliseconds(20))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, table, make_fleet(), requester, make_schedule(), {},
                 now))
        {
            ++requested[wanted.source.agent];
            deliver(state, table, wanted.index, bytes_of(wanted.index), now);
        }
    }
    EXPECT_TRUE(is_complete(state));
    EXPECT_EQ(requested.size(), 3U);
    EXPECT_EQ(requested[""], 0);
    EXPECT_GT(requested["a0"], 10);
}

// The importer of a chunk dies in the middle of a burst, the origin dies too,
// and only an agent later in the order holds the chunk. Requests must not go to
// preceding agents alone.
TEST(chunk_transfer, a_chunk_is_requested_from_any_known_holder)
{
    chunk_transfer state;
    begin(state, chunk_digests(), start);
    source_table table;
    transfer_requester const requester{"a", "a2", "m@2", {}};
    note_holdings(state, {"c3", "c3:1"}, std::string(chunk_count, '1'), start);
    auto now = start;
    for (; !is_complete(state) && now < start + seconds(60);
         now += milliseconds(50))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, table, make_fleet(), requester, make_schedule(), {},
                 now))
        {
            auto const& source = wanted.source.agent;
            if (source == "c3")
            {
                deliver(
                    state, table, wanted.index, bytes_of(wanted.index), now);
                continue;
            }
            lose(
                state, table, wanted.index,
                source.empty() ? chunk_loss::failed : chunk_loss::not_yet, now);
        }
    }
    EXPECT_LE(now, start + seconds(4));
}

// The origin dies in the middle of a burst and returns six seconds later. If
// the fleet avoided it for ten more, all versions in use would expire and
// callers would be refused.
TEST(chunk_transfer, an_origin_that_was_down_is_retried_soon)
{
    chunk_transfer state;
    begin(state, chunk_digests(), start);
    source_table table;
    transfer_requester const single_requester{"z", "z0", "m@2"};
    auto const back = start + seconds(6);
    auto now = start;
    for (; !is_complete(state) && now < start + seconds(60);
         now += milliseconds(50))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, table, {}, single_requester, single_agent_schedule({}),
                 {}, now))
        {
            if (now < back)
            {
                lose(state, table, wanted.index, chunk_loss::failed, now);
                continue;
            }
            deliver(state, table, wanted.index, bytes_of(wanted.index), now);
        }
    }
    EXPECT_LE(now, back + seconds(4));
}

TEST(chunk_transfer, unchanged_chunks_are_kept_between_versions)
{
    chunk_transfer earlier;
    begin(earlier, chunk_digests(1), start);
    ASSERT_TRUE(offer(earlier, 5, bytes_of(5, 1)));
    auto changed = chunk_digests(2);
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
    begin(state, chunk_digests(), start);
    EXPECT_FALSE(offer(state, 3, bytes_of(4)));
    EXPECT_FALSE(offer(state, chunk_count, bytes_of(4)));
    EXPECT_EQ(state.held, 0U);
}

// An importer's requests to other agents fill its window, and the chunks that
// only it is to fetch come last. The origin dies before that, and the whole
// fleet lacks two chunks.
TEST(chunk_transfer, origin_fetches_do_not_wait_for_other_chunks)
{
    chunk_transfer state;
    begin(state, chunk_digests(), start);
    source_table table;
    std::uint32_t origin_fetches = 0;
    for (auto now = start; now < start + milliseconds(1000);
         now += milliseconds(20))
    {
        for (auto const& wanted : next_chunk_requests(
                 state, table, make_fleet(), {"a", "a1", "m@2", {}},
                 make_schedule(), {}, now))
        {
            // Other agents never respond in this time.
            if (wanted.source.agent.empty())
            {
                ++origin_fetches;
                deliver(
                    state, table, wanted.index, bytes_of(wanted.index), now);
            }
        }
    }
    // The agent's share of 64 chunks among eight fetchers.
    EXPECT_GE(origin_fetches, 8U);
}

// All agents request all chunks from a slow origin at once. All chunks arrive
// equally late, and no agent has anything to pass on before.
TEST(chunk_transfer, origin_requests_follow_the_rate_of_its_link)
{
    chunk_transfer state;
    begin(state, chunk_digests(), start);
    source_table table;
    transfer_limits limits;
    limits.origin = chunk_count;
    limits.total = chunk_count;
    auto const paced = single_agent_schedule(std::chrono::microseconds(25000));
    transfer_requester const single_requester{"z", "z0", "m@2"};
    EXPECT_EQ(
        next_chunk_requests(
            state, table, {}, single_requester, paced, limits, start)
            .size(),
        1U);
    auto const later = start + milliseconds(250);
    EXPECT_EQ(
        next_chunk_requests(
            state, table, {}, single_requester, paced, limits, later)
            .size(),
        10U);
}

namespace
{

// The first substitute for the fetcher of chunk 0, and its liveness checks.
struct substitute
{
    substitute()
    {
        begin(this->transfer, chunk_digests(), start);
    }

    std::vector<chunk_source> checks(base::time_point now)
    {
        return next_liveness_checks(
            this->transfer, make_fleet(), this->requester, this->fetch_schedule,
            now);
    }

    bool fetches_first_chunk(base::time_point now)
    {
        transfer_limits limits;
        limits.origin = chunk_count;
        auto const wanted_chunks = next_chunk_requests(
            this->transfer, this->table, make_fleet(), this->requester,
            this->fetch_schedule, limits, now);
        return std::ranges::any_of(
            wanted_chunks,
            [](wanted_chunk const& wanted)
            {
                return wanted.index == 0 && wanted.source.agent.empty();
            });
    }

    origin_fetch_schedule fetch_schedule = make_schedule();
    std::string fetcher = origin_fetcher_of(this->fetch_schedule, 0);
    transfer_requester requester{
        this->fetch_schedule.order[1].substr(0, 1),
        this->fetch_schedule.order[1],
        "m@2",
        {}};
    chunk_transfer transfer;
    source_table table;
};

constexpr milliseconds check_delay{400};

} // namespace

TEST(chunk_transfer, a_substitute_checks_once_whether_the_fetcher_is_alive)
{
    substitute agent;
    EXPECT_TRUE(agent.checks(start + check_delay - milliseconds(1)).empty());
    auto const requested = agent.checks(start + check_delay);
    ASSERT_EQ(requested.size(), 1U);
    EXPECT_EQ(requested.front().agent, agent.fetcher);
    EXPECT_TRUE(agent.checks(start + check_delay + milliseconds(1)).empty());
}

// Guards against chunks of a dead fetcher taking more than a second each until
// a substitute fetches them.
TEST(chunk_transfer, chunks_of_an_unresponsive_fetcher_are_fetched_at_once)
{
    substitute agent;
    agent.checks(start + check_delay);
    auto const answered = start + check_delay + liveness_check_timeout;
    note_liveness_check(agent.transfer, agent.fetcher, false);
    EXPECT_TRUE(agent.fetches_first_chunk(answered));
}

// Guards against a second copy of a chunk that a live fetcher is about to have.
TEST(chunk_transfer, chunks_of_a_live_fetcher_are_left_to_it)
{
    substitute agent;
    agent.checks(start + check_delay);
    note_liveness_check(agent.transfer, agent.fetcher, true);
    EXPECT_FALSE(agent.fetches_first_chunk(
        start + check_delay + liveness_check_timeout));
}

// Guards against fetchers that request their own chunks from each other while
// the origin is away, and after its return first fetch later chunks that no
// other agent is requesting yet.
TEST(chunk_transfer, own_chunks_are_requested_from_others_last)
{
    chunk_transfer transfer;
    begin(transfer, chunk_digests(), start);
    source_table table;
    auto const fetch_schedule = make_schedule();
    auto const& agent = fetch_schedule.order.front();
    auto const now = start + seconds(3);
    avoid_briefly(table, {}, now);
    auto const wanted_chunks = next_chunk_requests(
        transfer, table, make_fleet(), {agent.substr(0, 1), agent, "m@2", {}},
        fetch_schedule, {}, now);
    EXPECT_EQ(wanted_chunks.size(), transfer_limits{}.total);
    for (auto const& wanted : wanted_chunks)
    {
        EXPECT_NE(origin_fetcher_of(fetch_schedule, wanted.index), agent)
            << wanted.index;
    }
}

} // namespace foxtailvale::weights
