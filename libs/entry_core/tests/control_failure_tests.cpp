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

// A failure domain that was cut off has the changes within this time after the
// cut ends.
constexpr milliseconds heal_limit{2000};
constexpr milliseconds in_force_limit{4000};

// Two failure domains, by default of three entries and four agents each, with
// the first configuration in force.
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

bool is_strictly_increasing(std::vector<std::uint64_t> const& versions)
{
    return std::ranges::adjacent_find(versions, std::greater_equal<>()) ==
           versions.end();
}

} // namespace

// The complete path without a failure, as a baseline for the failures below:
// the configuration is accepted, in force everywhere and planned, and all
// agents are heard.
TEST(control_failures, without_a_failure_all_is_in_force)
{
    auto rig = make_rig();
    EXPECT_TRUE(rig.all_have_generation(1));
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
                return rig.all_have_generation(2);
            },
            in_force_limit),
        in_force_limit);
}

// Failure: each process calls the platform, so that four times the fleet makes
// four times the calls. The platform's call rates grow more slowly than the
// fleet; it would refuse writes of claims, and bookings would be refused with
// them.
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
    // Two failure domains with two watchers each.
    EXPECT_LT(small, 60U * 8U);
}

// The platform's store is down for ten minutes. Callers must not notice: the
// configuration and the endpoints stay as they are, no member is suspected
// because of it, and a change accepted right after the outage is soon in force.
TEST(control_failures, store_down_for_ten_minutes)
{
    auto rig = make_rig();
    rig.platform.down = true;
    rig.run_for(minutes(10));
    EXPECT_TRUE(rig.all_have_generation(1));
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
                return rig.all_have_generation(2);
            },
            in_force_limit),
        in_force_limit);
    EXPECT_TRUE(rig.reverts.empty());
    EXPECT_TRUE(is_strictly_increasing(plan_versions(rig, "split-a")));
}

// Failure: after an outage the platform answers from an old copy while an entry
// is restarted. If the entry trusted the copy, a withdrawn configuration would
// be in force again for its callers. Its peers have the current one and must be
// heard first.
TEST(control_failures, a_restarted_entry_asks_its_peers_first)
{
    auto rig = make_rig();
    rig.platform.stale[core::release_path] =
        rig.platform.objects[core::release_path];
    rig.accept(2);
    // The other entries learn of generation 2 before the old copy is put in
    // place.
    auto const old = rig.platform.stale;
    rig.platform.stale.clear();
    rig.run_for(seconds(2));
    ASSERT_TRUE(rig.all_have_generation(2));
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

// Failure: all entries of a failure domain are restarted while the platform is
// down. Without a list of VMs or a configuration they would refuse every caller
// until it is back. The entries of the other failure domain have both and still
// greet them.
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
                return rig.all_have_generation(1);
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

// Failure: the planner's VM is paused for 20 seconds and then continues in the
// belief that it holds the lease. If its late plan were obeyed, two planners
// would give the endpoints conflicting orders in turn.
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
    EXPECT_TRUE(is_strictly_increasing(plan_versions(rig, "split-a")));
    EXPECT_TRUE(rig.all_have_generation(2));
    // Every agent has the plan that the platform has.
    auto const versions = plan_versions(rig, "split-a");
    for (auto const& [name, agent] : rig.agents)
    {
        EXPECT_EQ(agent.control.plans.at("split-a").version, versions.back())
            << name;
    }
}

// Failure: the answer to the write of a plan is lost after the write took
// effect. If the planner repeated the write blindly, it would conflict with its
// own write for ever and the new model would never start. So it must read the
// plan back.
TEST(control_failures, an_answer_to_a_plan_write_is_lost)
{
    auto rig = make_rig();
    rig.platform.lost_answers = 3;
    rig.accept(2, 3);
    rig.run_for(seconds(20));
    auto const versions = plan_versions(rig, "split-a");
    EXPECT_TRUE(is_strictly_increasing(versions));
    auto const& plan = rig.entries["split-a-entry-1"].control.plans["split-a"];
    EXPECT_EQ(plan.generation, 2U);
    EXPECT_EQ(plan.version, versions.back());
    EXPECT_FALSE(rig.planner("split-a").empty());
}

// A failure domain loses the platform but not the other failure domain. A
// change of the configuration must be in force there as soon as everywhere
// else.
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
                return rig.all_have_generation(2);
            },
            in_force_limit),
        in_force_limit);
}

// A failure domain is cut off from everything for five minutes, in which two
// changes are accepted and both sides continue planning. After the cut ends it
// must catch up within two seconds and never return to the older configuration.
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
    // Within the failure domain, all endpoints stayed in use.
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
                return rig.all_have_generation(3);
            },
            seconds(10)),
        heal_limit);
    EXPECT_TRUE(rig.reverts.empty());
    rig.run_for(seconds(10));
    EXPECT_TRUE(is_strictly_increasing(plan_versions(rig, "split-a")));
}

// Failure: the link from an agent to the entry that reports it is cut in one
// direction. If that report alone were believed, the complete failure domain
// would lose a healthy endpoint.
TEST(control_failures, one_way_cut_between_an_agent_and_its_reporter)
{
    auto rig = make_rig(5, 4);
    std::string const agent = "split-a-agent-1";
    std::string reporter;
    for (auto const& [name, entry] : rig.entries)
    {
        if (entry.control.gossip.reported_agents.contains(agent))
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

// A watcher's VM dies without announcing it. Another entry must take its place;
// until then the failure domain depends on a single watch.
TEST(control_failures, a_dead_watcher_is_succeeded)
{
    auto rig = make_rig();
    rig.paused.insert(rig.watchers("split-a").front());
    rig.run_for(seconds(6));
    EXPECT_EQ(rig.watchers("split-a").size(), 2U);
}

// A VM dies while the list shows it for another minute. Every entry must stop
// sending it new work within seconds, and its replicas must be planned
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

// Failure: an agent announces that it leaves, and entries that do not receive
// its heartbeats themselves keep sending new work there for as long as the list
// lags.
TEST(control_failures, a_leaving_agent_is_known_everywhere_within_two_seconds)
{
    auto rig = make_rig(5, 4);
    std::string const leaving_name = "split-a-agent-2";
    rig.agents[leaving_name].control.stopping = true;
    rig.agents[leaving_name].requests.gate.leaving = true;
    rig.agents[leaving_name].control.heartbeat_due = true;
    rig.run_for(seconds(2));
    for (auto const& [name, entry] : rig.entries)
    {
        if (entry.self.failure_domain == "split-a")
        {
            EXPECT_TRUE(entry.control.endpoints.at(leaving_name).leaving)
                << name;
        }
    }
}

// All processes are paused while time advances by an hour, and then continue.
// Their leases and their views of peers are out of date, and they must not give
// any orders based on them.
TEST(control_failures, time_jumps_ahead_by_an_hour)
{
    auto rig = make_rig();
    auto const first = rig.planner("split-a");
    auto const before = plan_versions(rig, "split-a");
    rig.now += std::chrono::hours(1);
    EXPECT_TRUE(rig.planner("split-a").empty());
    rig.run_for(seconds(15));
    EXPECT_FALSE(rig.planner("split-a").empty());
    EXPECT_TRUE(is_strictly_increasing(plan_versions(rig, "split-a")));
    EXPECT_TRUE(rig.all_have_generation(1));
    EXPECT_FALSE(first.empty());
    EXPECT_FALSE(before.empty());
}

// Failure: an entry is stopped and still finishes long answers when a change is
// accepted. If it were left out of the pushes, it would continue under the
// older configuration.
TEST(control_failures, a_leaving_entry_still_gets_changes)
{
    auto rig = make_rig(5, 4);
    // The last entry in the order, which no entry of the other failure domain
    // greets.
    auto const leaving_name =
        rig.entries["split-a-entry-1"].control.gossip.order.back();
    // It cannot read the change from the platform either.
    rig.cut(leaving_name, "");
    rig.stop_entry(leaving_name);
    rig.run_for(seconds(1));
    rig.accept(2);
    EXPECT_LT(
        rig.run_until(
            [&rig]
            {
                return rig.all_have_generation(2);
            },
            in_force_limit),
        in_force_limit);
}

// Failure: a VM is unresponsive for ten seconds again and again, and its
// replicas are moved each time. Other VMs would load and drop weights all day,
// and the narrow links would carry nothing else.
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

// A VM dies permanently while the list still shows it. Its replicas must be
// planned on another VM without an operator; otherwise the model remains short
// of a replica.
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

// Failure: all entries of a failure domain are restarted at once while an agent
// is briefly cut off, so the new planner has never heard from it. If it planned
// only for agents it has heard from, it would order that engine to drop its
// model and load it again later.
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
