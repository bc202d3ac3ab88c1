#include <weights/origin_schedule.hpp>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};
constexpr std::uint32_t chunk_count = 64;
constexpr std::uint32_t chunk_bytes = 32768;
origin_limits const origin{9.9e6 / 8, 48};

plan_set fleet_of(std::size_t agents)
{
    plan_set fleet;
    std::vector<std::string> const domains{"a", "b", "c"};
    for (std::size_t number = 0; number < agents; ++number)
    {
        auto const& domain = domains[number % domains.size()];
        auto const name = domain + std::to_string(1000 + number);
        fleet[domain].failure_domain = domain;
        fleet[domain].region = "all";
        fleet[domain].endpoints.push_back({name, name, {}});
    }
    return fleet;
}

origin_fetch_schedule schedule_of(std::size_t agents)
{
    return plan_origin_fetches(fleet_of(agents), origin, chunk_bytes, start);
}

} // namespace

// Each of many agents fetches a chunk of its own and keeps its connection. The
// origin accepts 48, and the rest of the fleet misses the first copy.
TEST(origin_schedule, few_agents_fetch_from_the_origin_for_any_fleet_size)
{
    for (std::size_t const agents : {1UL, 3UL, 24UL, 88UL, 300UL, 1500UL})
    {
        auto const schedule = schedule_of(agents);
        std::set<std::string> fetchers;
        for (std::uint32_t chunk = 0; chunk < chunk_count; ++chunk)
        {
            fetchers.insert(origin_fetcher_of(schedule, chunk));
        }
        EXPECT_LE(fetchers.size() * 4, origin.connections);
        EXPECT_GE(fetchers.size() * 4, std::min<std::size_t>(agents, 48));
    }
}

TEST(origin_schedule, fetchers_cover_all_failure_domains)
{
    auto const schedule = schedule_of(88);
    std::map<char, int> by_domain;
    for (std::uint32_t chunk = 0; chunk < schedule.fetchers; ++chunk)
    {
        ++by_domain[origin_fetcher_of(schedule, chunk).front()];
    }
    EXPECT_EQ(by_domain.size(), 3U);
    EXPECT_EQ(by_domain['a'], by_domain['c']);
}

// The fetcher is dead, cut off or slow to start. Its chunks must not wait for
// it, and the whole fleet must not fall back to the origin.
TEST(origin_schedule, substitutes_fetch_one_after_the_other)
{
    auto const schedule = schedule_of(88);
    for (std::uint32_t chunk = 0; chunk < chunk_count; ++chunk)
    {
        std::map<std::size_t, int> turns;
        std::set<std::string> within;
        for (auto const& agent : schedule.order)
        {
            auto const turn = turn_of(schedule, agent, chunk);
            ASSERT_TRUE(turn);
            ++turns[*turn];
            auto const slot = start + chunk * schedule.interval;
            if (origin_fetch_time(schedule, *turn, chunk, start) <=
                slot + seconds(6))
            {
                within.insert(agent);
            }
        }
        EXPECT_EQ(turns.size(), schedule.order.size());
        EXPECT_EQ(within.size(), 7U);
    }
}

TEST(origin_schedule, a_full_copy_takes_the_time_of_the_origins_link)
{
    auto const schedule = schedule_of(88);
    auto const last = origin_fetch_time(schedule, 0, chunk_count - 1, start);
    EXPECT_LE(last, start + milliseconds(1700));
    EXPECT_GE(last, start + milliseconds(1500));
}

// An agent starts late, during an outage of the origin or after a loss of
// power. It must leave the others as much time as if all had just begun.
TEST(origin_schedule, an_agent_that_begins_late_gives_the_others_time)
{
    auto const schedule = schedule_of(24);
    auto const late = start + seconds(20);
    EXPECT_EQ(origin_fetch_time(schedule, 1, 5, late), late + seconds(1));
    EXPECT_LT(origin_fetch_time(schedule, 0, 5, late), late);
}

TEST(origin_schedule, few_agents_request_the_manifest_at_first)
{
    auto const schedule = schedule_of(88);
    std::size_t at_once = 0;
    std::size_t eventually = 0;
    for (auto const& agent : schedule.order)
    {
        at_once += may_request_manifest(schedule, agent, start, start);
        eventually +=
            may_request_manifest(schedule, agent, start, start + seconds(20));
    }
    EXPECT_EQ(at_once, schedule.domains);
    EXPECT_EQ(eventually, 88U);
}

TEST(origin_schedule, a_stalled_fetch_times_out_and_then_gets_more_time)
{
    auto const schedule = schedule_of(88);
    EXPECT_LE(origin_fetch_timeout(schedule, 0), milliseconds(1300));
    EXPECT_GE(origin_fetch_timeout(schedule, 0), milliseconds(800));
    EXPECT_EQ(
        origin_fetch_timeout(schedule, 1),
        2 * origin_fetch_timeout(schedule, 0));
    EXPECT_LE(origin_fetch_timeout(schedule, 9), milliseconds(4000));
}

TEST(origin_schedule, an_agent_outside_the_schedule_has_no_turn)
{
    EXPECT_FALSE(turn_of(schedule_of(24), "z", 3));
    EXPECT_TRUE(origin_fetcher_of({}, 3).empty());
}

} // namespace foxtailvale::weights
