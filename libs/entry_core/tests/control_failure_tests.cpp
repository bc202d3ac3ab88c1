#include "control_rig.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A domain that was cut off has the news within this long of the cut's end.
constexpr milliseconds heal_limit{2000};
constexpr milliseconds in_force_limit{4000};

// Two failure domains of three entries and four agents each, in force.
control_rig make_rig(int entries = 3, int agents = 4)
{
    control_rig rig;
    for (auto const* const domain : {"split-a", "zagreb-a"})
    {
        for (int number = 1; number <= entries; ++number)
        {
            rig.add_entry(
                std::string(domain) + "-entry-" + std::to_string(number),
                domain);
        }
        for (int number = 1; number <= agents; ++number)
        {
            rig.add_agent(
                std::string(domain) + "-agent-" + std::to_string(number),
                domain);
        }
    }
    rig.accept(1);
    rig.run_for(seconds(12));
    return rig;
}

std::vector<std::uint64_t>
plan_versions(control_rig const& rig, std::string const& domain)
{
    std::vector<std::uint64_t> versions;
    auto const found = rig.platform.history.find(core::plan_path(domain));
    if (found == rig.platform.history.end())
    {
        return versions;
    }
    for (auto const& text : found->second)
    {
        versions.push_back(control::parse_plan(text).value().version);
    }
    return versions;
}

bool is_rising(std::vector<std::uint64_t> const& versions)
{
    return std::ranges::adjacent_find(versions, std::greater_equal<>()) ==
           versions.end();
}

} // namespace

// The whole path without a failure, so that the failures below start from
// something that works: note accepted, in force on all, planned, heard.
TEST(control_failures, without_a_failure_all_is_in_force)
{
    auto rig = make_rig();
    EXPECT_TRUE(rig.all_have(1));
    for (auto const& [name, entry] : rig.entries)
    {
        EXPECT_EQ(entry.control.plans.size(), 2U) << name;
        EXPECT_EQ(entry.control.endpoints.size(), 8U) << name;
        for (auto const& [agent, view] : entry.control.endpoints)
        {
            EXPECT_EQ(
                entry.control.members.members.at(agent).state,
                control::liveness::alive)
                << name << " sees " << agent;
        }
    }
    EXPECT_EQ(rig.watchers("split-a").size(), 2U);
    rig.accept(2);
    EXPECT_LT(
        rig.run_until(
            [&rig]
            {
                return rig.all_have(2);
            },
            in_force_limit),
        in_force_limit);
}

// The platform counts each call and its rates grow more slowly than the fleet.
// Were each process to call it, four times the fleet would make four times the
// calls and the platform would refuse claims, which are bookings refused.
TEST(control_failures, calls_do_not_grow_with_entries_or_agents)
{
    auto const calls_in_a_minute = [](int entries, int agents)
    {
        auto rig = make_rig(entries, agents);
        auto const before = rig.platform.calls;
        rig.run_for(minutes(1));
        return rig.platform.calls - before;
    };
    auto const small = calls_in_a_minute(3, 4);
    auto const large = calls_in_a_minute(12, 16);
    EXPECT_NEAR(
        static_cast<double>(large), static_cast<double>(small),
        static_cast<double>(small) / 10);
    // Two domains with two watchers each.
    EXPECT_LT(small, 60U * 8U);
}

// The platform's store is down for ten minutes. Callers must notice nothing:
// the configuration and the endpoints stay as they are, nobody is suspected
// for it, and a change accepted right after it is back is soon in force.
TEST(control_failures, store_down_for_ten_minutes)
{
    auto rig = make_rig();
    rig.platform.down = true;
    rig.run_for(minutes(10));
    EXPECT_TRUE(rig.all_have(1));
    for (auto const& [name, entry] : rig.entries)
    {
        EXPECT_EQ(entry.control.endpoints.size(), 8U);
    }
    rig.platform.down = false;
    rig.accept(2);
    EXPECT_LT(
        rig.run_until(
            [&rig]
            {
                return rig.all_have(2);
            },
            in_force_limit),
        in_force_limit);
    EXPECT_TRUE(rig.reverts.empty());
    EXPECT_TRUE(is_rising(plan_versions(rig, "split-a")));
}

// After an outage the platform answers from an old copy. An entry is replaced
// at that moment; trusting the copy it would bring a withdrawn configuration
// back for its callers. Its peers know better and answer first.
TEST(control_failures, a_restarted_entry_asks_its_peers_first)
{
    auto rig = make_rig();
    rig.platform.stale[core::release_path] =
        rig.platform.objects[core::release_path];
    rig.accept(2);
    // The others learned of 2 before the copy was put in place.
    auto const old = rig.platform.stale;
    rig.platform.stale.clear();
    rig.run_for(seconds(2));
    ASSERT_TRUE(rig.all_have(2));
    rig.platform.stale = old;
    auto const name = rig.watchers("split-a").front();
    rig.restart_entry(name);
    std::set<std::uint64_t> seen;
    for (int round = 0; round < 200; ++round)
    {
        rig.run_for(milliseconds(20));
        seen.insert(rig.entries[name].control.configuration.generation);
    }
    EXPECT_EQ(seen, (std::set<std::uint64_t>{0, 2}));
}

// The whole domain's entries are replaced while the platform is down. Without
// a list or a configuration they would refuse every caller until it is back;
// the other domain's entries know both and still greet them.
TEST(control_failures, all_entries_restart_during_an_outage)
{
    auto rig = make_rig();
    rig.platform.down = true;
    rig.run_for(seconds(5));
    for (int number = 1; number <= 3; ++number)
    {
        rig.restart_entry("split-a-entry-" + std::to_string(number));
    }
    EXPECT_LT(
        rig.run_until(
            [&rig]
            {
                return rig.all_have(1);
            },
            seconds(10)),
        seconds(10));
    rig.run_for(seconds(8));
    for (int number = 1; number <= 3; ++number)
    {
        auto const& entry =
            rig.entries["split-a-entry-" + std::to_string(number)];
        EXPECT_EQ(entry.control.endpoints.size(), 8U) << number;
    }
}

// The planner's VM stops for 20 seconds, as a paused machine does, and then
// goes on where it was, believing that it holds the lease. If its late plan
// were obeyed, endpoints would be ordered back and forth by two planners.
TEST(control_failures, a_paused_planner_wakes_after_its_lease)
{
    auto rig = make_rig();
    auto const first = rig.planner("split-a");
    ASSERT_FALSE(first.empty());
    rig.paused.insert(first);
    rig.run_for(seconds(20));
    auto const second = rig.planner("split-a");
    EXPECT_FALSE(second.empty());
    EXPECT_NE(second, first);
    rig.accept(2, 3);
    rig.run_for(seconds(2));
    rig.paused.erase(first);
    rig.run_for(seconds(10));
    EXPECT_TRUE(is_rising(plan_versions(rig, "split-a")));
    EXPECT_TRUE(rig.all_have(2));
    // One truth: every agent has the plan that the platform has.
    auto const versions = plan_versions(rig, "split-a");
    for (auto const& [name, agent] : rig.agents)
    {
        EXPECT_EQ(agent.control.plans.at("split-a").version, versions.back())
            << name;
    }
}

// The answer to a plan's write is lost after the write took effect. Written
// again blindly, the planner would lose against its own write for ever and the
// new model would never start; reading back settles it.
TEST(control_failures, an_answer_to_a_plan_write_is_lost)
{
    auto rig = make_rig();
    rig.platform.lost_answers = 3;
    rig.accept(2, 3);
    rig.run_for(seconds(20));
    auto const versions = plan_versions(rig, "split-a");
    EXPECT_TRUE(is_rising(versions));
    auto const& plan = rig.entries["split-a-entry-1"].control.plans["split-a"];
    EXPECT_EQ(plan.generation, 2U);
    EXPECT_EQ(plan.version, versions.back());
    EXPECT_FALSE(rig.planner("split-a").empty());
}

// A domain loses the platform but not the other domain. Operators change the
// configuration; callers there must see it as soon as everyone else.
TEST(control_failures, a_domain_without_the_platform_hears_from_the_other)
{
    auto rig = make_rig();
    rig.cut_platform("split-a");
    rig.run_for(seconds(15));
    rig.accept(2);
    EXPECT_LT(
        rig.run_until(
            [&rig]
            {
                return rig.all_have(2);
            },
            in_force_limit),
        in_force_limit);
}

// A domain is cut off from everything for five minutes, in which operators
// accept two changes, and both sides go on planning. After the cut it must
// catch up within two seconds and never show the older configuration again.
TEST(control_failures, a_cut_off_domain_catches_up)
{
    auto rig = make_rig();
    rig.cut_domains("split-a", "zagreb-a");
    rig.cut_platform("split-a");
    rig.run_for(minutes(2));
    rig.accept(2);
    rig.run_for(minutes(2));
    rig.accept(3);
    rig.run_for(minutes(1));
    for (auto const& [name, agent] : rig.agents)
    {
        auto const is_cut_off = agent.self.failure_domain == "split-a";
        EXPECT_EQ(agent.control.configuration.generation, is_cut_off ? 1U : 3U);
    }
    // Inside, all endpoints stayed in use.
    for (int number = 1; number <= 4; ++number)
    {
        EXPECT_EQ(
            rig.entries["split-a-entry-1"]
                .control.members.members
                .at("split-a-agent-" + std::to_string(number))
                .state,
            control::liveness::alive);
    }
    rig.heal();
    EXPECT_LE(
        rig.run_until(
            [&rig]
            {
                return rig.all_have(3);
            },
            seconds(10)),
        heal_limit);
    EXPECT_TRUE(rig.reverts.empty());
    rig.run_for(seconds(10));
    EXPECT_TRUE(is_rising(plan_versions(rig, "split-a")));
}

// The line from an agent to the entry that reports it is cut one way. If the
// report were believed alone, the whole domain would lose a healthy endpoint.
TEST(control_failures, one_way_cut_between_an_agent_and_its_reporter)
{
    auto rig = make_rig(5, 4);
    std::string const agent = "split-a-agent-1";
    std::string reporter;
    for (auto const& [name, entry] : rig.entries)
    {
        if (entry.control.gossip.reported.contains(agent))
        {
            reporter = name;
        }
    }
    rig.cut(agent, reporter);
    rig.run_for(seconds(10));
    auto alive = 0;
    for (auto const& [name, entry] : rig.entries)
    {
        if (entry.self.failure_domain == "split-a" && name != reporter)
        {
            alive += entry.control.members.members.at(agent).state ==
                             control::liveness::alive
                         ? 1
                         : 0;
        }
    }
    EXPECT_EQ(alive, 4);
}

// A watcher's VM dies without a word. Until another entry watches in its place
// the domain hangs on one watch alone.
TEST(control_failures, a_dead_watcher_is_succeeded)
{
    auto rig = make_rig();
    rig.paused.insert(rig.watchers("split-a").front());
    rig.run_for(seconds(6));
    EXPECT_EQ(rig.watchers("split-a").size(), 2U);
}

// A VM dies while the list shows it for another minute. New work must stop
// going there within seconds on every entry, and its replicas are planned
// elsewhere, without waiting for the list.
TEST(control_failures, the_list_lags_a_minute_behind_a_death)
{
    auto rig = make_rig();
    std::string const dead = "split-a-agent-1";
    rig.agents.erase(dead);
    rig.run_for(seconds(6));
    for (auto const& [name, entry] : rig.entries)
    {
        if (entry.self.failure_domain == "split-a")
        {
            EXPECT_EQ(
                entry.control.members.members.at(dead).state,
                control::liveness::suspected)
                << name;
        }
    }
}

// An agent announces that it leaves. Entries that do not hear it at first hand
// would go on sending new work there for as long as the list lags.
TEST(control_failures, a_leaving_agent_is_known_everywhere_within_two_seconds)
{
    auto rig = make_rig(5, 4);
    std::string const leaver = "split-a-agent-2";
    rig.agents[leaver].control.stopping = true;
    rig.agents[leaver].requests.gate.leaving = true;
    rig.agents[leaver].control.heartbeat_due = true;
    rig.run_for(seconds(2));
    for (auto const& [name, entry] : rig.entries)
    {
        if (entry.self.failure_domain == "split-a")
        {
            EXPECT_TRUE(entry.control.endpoints.at(leaver).leaving) << name;
        }
    }
}

// A process is stopped for an hour and its machine's clock with it, then goes
// on. All its leases and its view of peers are old; it must not order anything
// by them.
TEST(control_failures, time_jumps_ahead_by_an_hour)
{
    auto rig = make_rig();
    auto const first = rig.planner("split-a");
    auto const before = plan_versions(rig, "split-a");
    rig.now += std::chrono::hours(1);
    EXPECT_TRUE(rig.planner("split-a").empty());
    rig.run_for(seconds(15));
    EXPECT_FALSE(rig.planner("split-a").empty());
    EXPECT_TRUE(is_rising(plan_versions(rig, "split-a")));
    EXPECT_TRUE(rig.all_have(1));
    EXPECT_FALSE(first.empty());
    EXPECT_FALSE(before.empty());
}

// An entry is stopped and still finishes long answers when operators accept a
// change. Left out of the pushes, it would go on under the older one.
TEST(control_failures, a_leaving_entry_still_gets_changes)
{
    auto rig = make_rig(5, 4);
    // The last in the order, whom no other domain's entry greets.
    auto const leaver =
        rig.entries["split-a-entry-1"].control.gossip.order.back();
    // The platform, which it might turn to by itself, does not answer it.
    rig.cut(leaver, "");
    rig.stop_entry(leaver);
    rig.run_for(seconds(1));
    rig.accept(2);
    EXPECT_LT(
        rig.run_until(
            [&rig]
            {
                return rig.all_have(2);
            },
            in_force_limit),
        in_force_limit);
}

// A VM is silent for ten seconds, time and again. Were its replicas moved each
// time, other VMs would load weights and drop them again all day, and the
// narrow lines would carry nothing else.
TEST(control_failures, a_flapping_agent_keeps_its_replicas)
{
    auto rig = make_rig();
    auto const before = plan_versions(rig, "split-a").size();
    for (int round = 0; round < 4; ++round)
    {
        rig.paused.insert("split-a-agent-1");
        rig.run_for(seconds(10));
        rig.paused.erase("split-a-agent-1");
        rig.run_for(seconds(10));
    }
    EXPECT_EQ(plan_versions(rig, "split-a").size(), before);
}

// A VM dies for good while the list still shows it. Its replicas must be
// planned on another one without an operator, or the model stays short of one.
TEST(control_failures, replicas_of_a_dead_agent_move_in_time)
{
    auto rig = make_rig();
    rig.accept(2, 3);
    rig.run_for(seconds(5));
    auto const holders = [&rig]
    {
        std::set<std::string> names;
        for (auto const* const endpoint : control::holders(
                 rig.entries["split-a-entry-1"].control.plans.at("split-a"),
                 std::string(64, 'a')))
        {
            names.insert(endpoint->agent);
        }
        return names;
    };
    auto const before = holders();
    ASSERT_EQ(before.size(), 3U);
    auto const dead = *before.begin();
    rig.agents.erase(dead);
    rig.run_for(control::replica_move_delay + seconds(6));
    EXPECT_EQ(holders().size(), 3U);
    EXPECT_FALSE(holders().contains(dead));
}

// All entries of a domain are replaced at once while an agent is cut off for a
// moment. The new planner has never heard it; planning for those it has heard
// only, it would order that engine to drop its model and load it again later.
TEST(control_failures, a_new_planner_moves_nothing)
{
    auto rig = make_rig();
    auto const before = plan_versions(rig, "split-a").size();
    for (int number = 1; number <= 3; ++number)
    {
        rig.restart_entry("split-a-entry-" + std::to_string(number));
    }
    rig.paused.insert("split-a-agent-1");
    rig.run_for(seconds(20));
    rig.paused.erase("split-a-agent-1");
    rig.run_for(seconds(10));
    EXPECT_FALSE(rig.planner("split-a").empty());
    EXPECT_EQ(plan_versions(rig, "split-a").size(), before);
}

} // namespace foxtailvale::entry_core
