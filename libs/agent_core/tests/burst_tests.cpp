#include "fake_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int chunks = 32;
std::vector<std::uint64_t> const seeds{1, 2, 3, 4, 5};

std::vector<fake_domain> const three_regions{
    {"a", "ra", 8}, {"b", "rb", 8}, {"c", "rc", 8}};

// A fleet in which the transfer of one version to all agents has begun.
struct burst
{
    fake_version version = make_version('x', chunks);
    fake_fleet fleet;
    std::uint64_t number;

    burst(std::vector<fake_domain> const& domains, std::uint64_t seed)
        : fleet(domains, seed), number(seed)
    {
        this->fleet.offer(this->version);
        this->fleet.assign({{"m", this->version.digest}});
    }

    bool finishes_within(milliseconds time)
    {
        auto const finished = this->fleet.run(
            time,
            [this]
            {
                return this->fleet.all_hold(this->version.digest);
            });
        // docs/design/weights.md takes its figures from these properties,
        // through --gtest_output=json.
        auto const seed = std::to_string(this->number);
        testing::Test::RecordProperty(
            "virtual_ms_" + seed,
            std::to_string(this->fleet.elapsed().count()));
        testing::Test::RecordProperty(
            "draws_" + seed,
            std::to_string(this->fleet.chunk_fetches[this->version.digest]));
        return finished;
    }

    double origin_copies()
    {
        return static_cast<double>(
                   this->fleet.chunk_fetches[this->version.digest]) /
               chunks;
    }
};

} // namespace

TEST(bursts, one_copy_per_region_without_faults)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        ASSERT_TRUE(test.finishes_within(seconds(10))) << seed;
        EXPECT_EQ(test.origin_copies(), 3) << seed;
        // A request and a reply for each chunk, and a few progress messages.
        EXPECT_LT(test.fleet.messages, 24U * chunks * 3) << seed;
    }
    burst two({{"a", "r", 4}, {"b", "r", 4}, {"c", "r", 4}, {"d", "s", 6}}, 1);
    ASSERT_TRUE(two.finishes_within(seconds(10)));
    EXPECT_EQ(two.origin_copies(), 2);
}

// Four domains of a region get each other's plans a second late. Until then
// each could consider itself the only one, and the origin would send a copy per
// domain.
TEST(bursts, late_plans_of_other_domains_cost_no_copies)
{
    for (auto const seed : seeds)
    {
        burst test(
            {{"a", "r", 4}, {"b", "r", 4}, {"c", "r", 4}, {"d", "r", 4}}, seed);
        test.fleet.foreign_plan_delay = seconds(1);
        test.fleet.origin_chunk_time = milliseconds(5);
        for (auto const& name : test.fleet.names())
        {
            auto& release = test.fleet.core(name).control.configuration;
            release.models["m"].digest = test.version.digest;
            for (auto const* const domain : {"a", "b", "c", "d"})
            {
                release.models["m"].replicas[domain] = 4;
                release.domains[domain].region = "r";
                release.domains[domain].in = true;
            }
        }
        ASSERT_TRUE(test.finishes_within(seconds(10))) << seed;
        EXPECT_EQ(test.origin_copies(), 1) << seed;
    }
}

// The agent that fetches some chunks from the origin dies during a fetch. The
// agents that wait for it must notice that it is unresponsive, and one other
// agent fetches its chunks.
TEST(bursts, an_origin_fetcher_dies_mid_chunk)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(700));
        test.fleet.kill(test.fleet.agent_at(test.version.digest, 12, 0));
        ASSERT_TRUE(test.finishes_within(seconds(30))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// Half the VMs that relay chunks die at once, as when a rack fails. The others
// must switch to live sources; the origin's link, which can carry four copies,
// must not be asked for dozens.
TEST(bursts, half_the_relaying_agents_die)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(600));
        for (auto const* const name :
             {"a100", "a102", "a104", "a106", "b101", "b103", "b105", "b107"})
        {
            test.fleet.kill(name);
        }
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.5) << seed;
    }
}

// One VM's uplink is so slow that each chunk takes seconds. The agents that get
// chunks from it must not wait for all of them.
TEST(bursts, a_slow_source_is_replaced)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.slow["a103"] = seconds(20);
        ASSERT_TRUE(test.finishes_within(seconds(30))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// Frames with chunks from one VM no longer arrive, small frames do: its link is
// stalled. The VM looks alive, so only the missing deliveries reveal the fault.
TEST(bursts, a_source_with_a_stalled_link_is_replaced)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.dropping_chunks = {"a102"};
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A VM has faulty memory and corrupts every chunk it relays. No agent may store
// such a chunk or go on requesting chunks from it.
TEST(bursts, a_corrupting_peer_is_blamed_and_avoided)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.corrupting = {"a102"};
        ASSERT_TRUE(test.finishes_within(seconds(30))) << seed;
        auto const refused = std::ranges::count(
            test.fleet.errors, base::error_kind::bad_digest,
            &base::error::kind);
        EXPECT_GT(refused, 0) << seed;
        // At most the requests that were outstanding when each of the other
        // agents detected the fault.
        EXPECT_LE(refused, 7 * 8) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A VM claims to hold all chunks and delivers none.
TEST(bursts, a_peer_that_claims_chunks_falsely_is_replaced)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.claiming_all = {"b105"};
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// Two chunks arrive corrupted from the origin. Each is fetched once more.
TEST(bursts, chunks_corrupted_in_transit_are_fetched_again)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.corrupt_fetches_left = 2;
        ASSERT_TRUE(test.finishes_within(seconds(20))) << seed;
        EXPECT_EQ(
            test.fleet.chunk_fetches[test.version.digest], 3 * chunks + 2);
    }
}

// The origin sends sixty damaged chunks in a row and then recovers. An agent
// that fetched three of them within 30 ms abandoned the version for good, and
// its replicas never became available.
TEST(bursts, a_transient_origin_fault_refuses_nothing)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        constexpr std::uint32_t damaged = 60;
        test.fleet.corrupt_fetches_left = damaged;
        ASSERT_TRUE(test.finishes_within(minutes(2))) << seed;
        // One copy per region, the damaged fetches, and at most one more copy
        // while agents fetch chunks in place of each other.
        EXPECT_LE(
            test.fleet.chunk_fetches[test.version.digest], 4 * chunks + damaged)
            << seed;
    }
}

// The origin's copy is damaged. Fetching it for ever would fill the link. The
// version must be refused with a clear error, and no engine may load it.
TEST(bursts, a_damaged_origin_has_the_version_refused)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.corrupt_fetches_left = 1'000'000;
        test.fleet.run(minutes(5));
        for (auto const& name : test.fleet.names())
        {
            auto const& transfers = test.fleet.core(name).weights.transfers;
            ASSERT_TRUE(transfers.contains(test.version.digest));
            EXPECT_TRUE(transfers.at(test.version.digest).refused) << name;
            EXPECT_EQ(test.fleet.engines[name].orders, 0) << name;
        }
        EXPECT_LE(test.origin_copies(), 4.5) << seed;
    }
}

// The origin's manifest is damaged, so no chunk can be identified by it. The
// version must be refused after a few calls instead of being requested without
// end.
TEST(bursts, a_damaged_manifest_has_the_version_refused)
{
    burst test(three_regions, 1);
    test.fleet.corrupt_manifests = true;
    test.fleet.run(minutes(5));
    for (auto const& name : test.fleet.names())
    {
        auto const& transfers = test.fleet.core(name).weights.transfers;
        EXPECT_TRUE(transfers.at(test.version.digest).refused) << name;
    }
    EXPECT_LE(test.fleet.origin_calls, 24U * 3U);
}

// Another version replaces the first during its burst. The rest of the first
// must not take link time from the second.
TEST(bursts, a_replaced_version_stops)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(500));
        auto const next = make_version('y', chunks);
        test.fleet.offer(next);
        test.fleet.assign({{"m", next.digest}});
        test.fleet.run(milliseconds(200));
        auto const fetched = test.fleet.chunk_fetches[test.version.digest];
        ASSERT_TRUE(test.fleet.run(
            seconds(10),
            [&]
            {
                return test.fleet.all_hold(next.digest);
            }));
        EXPECT_EQ(test.fleet.chunk_fetches[test.version.digest], fetched)
            << seed;
        test.fleet.run(seconds(5));
        for (auto const& name : test.fleet.names())
        {
            EXPECT_EQ(test.fleet.core(name).weights.store.versions.size(), 1U);
        }
    }
}

// The origin is down for two minutes during a burst. Hundreds of VMs must
// neither flood it with calls meanwhile nor all fetch from it when it is back.
TEST(bursts, the_origin_is_down_for_minutes)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(500));
        test.fleet.origin_down = true;
        test.fleet.run(seconds(20));
        auto const calls = test.fleet.origin_calls;
        test.fleet.run(seconds(100));
        // Each of the 24 agents calls at most about every eight seconds on
        // average.
        EXPECT_LT(test.fleet.origin_calls - calls, 24U * 12U) << seed;
        test.fleet.origin_down = false;
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// The weight store serves ten chunks a second to the whole fleet and refuses
// the rest. Agents must adapt: not starve, not spend the store's calls on
// refusals, and not fetch in place of each other because of refusals.
TEST(bursts, a_rate_limited_store_is_respected)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.store_interval = milliseconds(100);
        ASSERT_TRUE(test.finishes_within(seconds(120))) << seed;
        EXPECT_LE(test.origin_copies(), 3.2) << seed;
        EXPECT_LE(test.fleet.origin_refusals, 3U * 3U * chunks) << seed;
    }
}

// One agent that should fetch chunks cannot reach the origin. It must hand its
// chunks on; otherwise its whole region would wait for as long as its
// connection to the origin is down.
TEST(bursts, an_agent_cut_off_from_the_origin_hands_its_chunks_on)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.cut_from_origin = {"a103"};
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A region is cut off from the origin for half a minute during a burst. The
// others must finish meanwhile, and the region afterwards, reusing what it
// holds.
TEST(bursts, a_region_recovers_after_a_cut_from_the_origin)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(500));
        for (auto const& name : test.fleet.names())
        {
            if (name.starts_with("b"))
            {
                test.fleet.cut_from_origin.insert(name);
            }
        }
        test.fleet.run(seconds(30));
        for (auto const& name : test.fleet.names())
        {
            auto const complete = weights::is_complete(
                test.fleet.core(name).weights.store, test.version.digest);
            EXPECT_EQ(complete, !name.starts_with("b")) << name;
        }
        test.fleet.cut_from_origin.clear();
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A VM is replaced after the burst and starts empty. It is first in the order
// of some chunks, but its neighbours hold them all, so nothing may be fetched
// from the origin.
TEST(bursts, a_restarted_agent_fetches_from_its_neighbours)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        ASSERT_TRUE(test.finishes_within(seconds(10))) << seed;
        auto const fetched = test.fleet.chunk_fetches[test.version.digest];
        test.fleet.restart("a103");
        ASSERT_FALSE(test.fleet.all_hold(test.version.digest));
        ASSERT_TRUE(test.finishes_within(seconds(10))) << seed;
        EXPECT_EQ(test.fleet.chunk_fetches[test.version.digest], fetched)
            << seed;
    }
}

// A VM is replaced during the burst. The agents that wait for it lose their
// place in its queue.
TEST(bursts, an_agent_restarts_in_mid_burst)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(700));
        test.fleet.restart("a100");
        ASSERT_TRUE(test.finishes_within(seconds(30))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A small adapter is released while a large model is in transfer. It must not
// wait until that transfer is complete.
TEST(bursts, two_releases_share_the_link)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.run(milliseconds(300));
        auto const adapter = make_version('z', 2);
        test.fleet.offer(adapter);
        test.fleet.assign(
            {{"m", test.version.digest}, {"adapter", adapter.digest}});
        ASSERT_TRUE(test.fleet.run(
            seconds(20),
            [&]
            {
                return test.fleet.all_hold(adapter.digest);
            }));
        EXPECT_FALSE(test.fleet.all_hold(test.version.digest)) << seed;
        ASSERT_TRUE(test.finishes_within(seconds(20))) << seed;
        EXPECT_LE(test.origin_copies(), 3.2) << seed;
    }
}

} // namespace foxtailvale::agent_core
