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

// A fleet in which a burst of one version has begun.
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
        // docs/design/weights.md reads these with --gtest_output=json.
        auto const seed = std::to_string(this->number);
        testing::Test::RecordProperty(
            "virtual_ms_" + seed,
            std::to_string(this->fleet.elapsed().count()));
        testing::Test::RecordProperty(
            "draws_" + seed,
            std::to_string(this->fleet.draws[this->version.digest]));
        return finished;
    }

    double origin_copies()
    {
        return static_cast<double>(this->fleet.draws[this->version.digest]) /
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
        // A request and a reply for each chunk, and a few notes.
        EXPECT_LT(test.fleet.messages, 24U * chunks * 3) << seed;
    }
    burst two({{"a", "r", 4}, {"b", "r", 4}, {"c", "r", 4}, {"d", "s", 6}}, 1);
    ASSERT_TRUE(two.finishes_within(seconds(10)));
    EXPECT_EQ(two.origin_copies(), 2);
}

// Four domains of a region hear of each other's plans a second late. Until
// then each could take itself for the only one, and the origin's link would
// carry a copy for each domain.
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

// The importer of some chunks dies with draws under way. Those below it would
// wait for ever; they notice its silence, and one other draws its chunks.
TEST(bursts, an_importer_dies_mid_chunk)
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

// Half the VMs that pass a chunk on die at once, as when a rack goes. The
// others find living sources before them; the origin's link, which carries
// four copies, must not be asked for dozens.
TEST(bursts, half_the_inner_agents_die)
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

// One VM's uplink is so slow that each of its chunks takes seconds. Those
// below it must not wait for all of them.
TEST(bursts, a_slow_parent_is_left_for_others)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.slow["a103"] = seconds(20);
        ASSERT_TRUE(test.finishes_within(seconds(30))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// Frames with chunks from one VM no longer arrive, small ones do: its link is
// stalled. It looks alive, so only the missing deliveries tell.
TEST(bursts, a_stalled_link_is_left_for_others)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.mute_chunks = {"a102"};
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A VM's memory is bad and every chunk that it passes on is wrong. Nobody may
// keep one, and nobody may go on asking it.
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
        // At most what was outstanding when each of the others found out.
        EXPECT_LE(refused, 7 * 8) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A VM says that it holds all chunks and delivers none.
TEST(bursts, a_lying_peer_is_left_for_others)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.lying = {"b105"};
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// Two chunks come corrupted from the origin. They are drawn once more each.
TEST(bursts, chunks_corrupted_on_the_way_are_drawn_again)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.corrupt_draws = 2;
        ASSERT_TRUE(test.finishes_within(seconds(20))) << seed;
        EXPECT_EQ(test.fleet.draws[test.version.digest], 3 * chunks + 2);
    }
}

// The origin sends sixty damaged chunks in a row and is whole again. An agent
// that had drawn three of them within 30 ms gave the version up for good, and
// its replicas never came.
TEST(bursts, a_passing_fault_of_the_origin_refuses_nothing)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        constexpr std::uint32_t damaged = 60;
        test.fleet.corrupt_draws = damaged;
        ASSERT_TRUE(test.finishes_within(minutes(2))) << seed;
        // One copy a region, the damaged draws, and no more than one copy
        // beside them while agents take each other's turns.
        EXPECT_LE(test.fleet.draws[test.version.digest], 4 * chunks + damaged)
            << seed;
    }
}

// The origin's copy itself is damaged. Drawing it for ever would fill the
// link; the version is refused, with a clear error, and no engine loads it.
TEST(bursts, a_damaged_origin_has_the_version_refused)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.corrupt_draws = 1'000'000;
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

// The origin's manifest itself is damaged. No chunk can be named by it; the
// version is refused after a few calls rather than asked for without end.
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

// Another version replaces the first in the middle of its burst. What is left
// of the first must not take the link's time from the second.
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
        auto const drawn = test.fleet.draws[test.version.digest];
        ASSERT_TRUE(test.fleet.run(
            seconds(10),
            [&]
            {
                return test.fleet.all_hold(next.digest);
            }));
        EXPECT_EQ(test.fleet.draws[test.version.digest], drawn) << seed;
        test.fleet.run(seconds(5));
        for (auto const& name : test.fleet.names())
        {
            EXPECT_EQ(test.fleet.core(name).weights.store.versions.size(), 1U);
        }
    }
}

// The origin is down for two minutes in mid-burst and comes back. Hundreds of
// VMs must neither hammer it meanwhile nor all draw when it is back.
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
        // Each of 24 agents at most about every eight seconds on average.
        EXPECT_LT(test.fleet.origin_calls - calls, 24U * 12U) << seed;
        test.fleet.origin_down = false;
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// The weight store gives ten chunks a second to the whole fleet and refuses the
// rest. Agents must fit in with it: neither starve, nor spend the store's calls
// on refusals, nor draw in each other's place because of them.
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

// One importer alone cannot reach the origin. It must hand its chunks on, or
// its whole region would wait for as long as its way is closed.
TEST(bursts, an_importer_without_a_way_to_the_origin_hands_on)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        test.fleet.cut_from_origin = {"a103"};
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A region is cut off from the origin for half a minute in mid-burst. The
// others finish meanwhile, and it finishes after, from what it holds.
TEST(bursts, a_region_is_cut_and_healed)
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
            auto const whole = weights::is_complete(
                test.fleet.core(name).weights.store, test.version.digest);
            EXPECT_EQ(whole, !name.starts_with("b")) << name;
        }
        test.fleet.cut_from_origin.clear();
        ASSERT_TRUE(test.finishes_within(seconds(60))) << seed;
        EXPECT_LE(test.origin_copies(), 4.0) << seed;
    }
}

// A VM is replaced after the burst and begins empty. It stands first for some
// chunks, but its neighbours hold them all: the origin gives nothing.
TEST(bursts, a_restarted_agent_draws_from_its_neighbours)
{
    for (auto const seed : seeds)
    {
        burst test(three_regions, seed);
        ASSERT_TRUE(test.finishes_within(seconds(10))) << seed;
        auto const drawn = test.fleet.draws[test.version.digest];
        test.fleet.restart("a103");
        ASSERT_FALSE(test.fleet.all_hold(test.version.digest));
        ASSERT_TRUE(test.finishes_within(seconds(10))) << seed;
        EXPECT_EQ(test.fleet.draws[test.version.digest], drawn) << seed;
    }
}

// The same in mid-burst: those below it lose their place in its list.
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

// A small adapter is released while a large model is on its way. It must not
// wait for the whole of it.
TEST(bursts, two_releases_share_the_way)
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
