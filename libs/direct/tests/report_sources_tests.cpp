#include <direct/report_sources.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

std::string domain_name(std::size_t number)
{
    return "d" + std::to_string(number);
}

// Returns this many entries, spread evenly over the failure domains, by domain.
std::map<std::string, std::set<std::string>>
fleet_of(std::size_t entries, std::size_t domains)
{
    std::map<std::string, std::set<std::string>> made;
    for (std::size_t entry = 0; entry < entries; ++entry)
    {
        made[domain_name(entry % domains)].insert(
            "10.0." + std::to_string(entry / 250) + "." +
            std::to_string(entry % 250));
    }
    return made;
}

std::set<std::string> names(std::size_t count)
{
    return fleet_of(count, 1).at("d0");
}

using asked_times = std::map<std::string, std::size_t>;

// Returns for each entry the number of entries of other domains that ask it.
asked_times askers_of(std::map<std::string, std::set<std::string>> const& fleet)
{
    asked_times askers;
    for (auto const& [own_domain, own_entries] : fleet)
    {
        for (auto const& own : own_entries)
        {
            report_sources state{own, {}};
            for (auto const& [domain, entries] : fleet)
            {
                if (domain == own_domain)
                {
                    continue;
                }
                for (auto const& source :
                     choose_sources(state, domain, entries, start))
                {
                    ++askers[source];
                }
            }
        }
    }
    return askers;
}

} // namespace

// Failure: the messages that an entry sends and receives grow with the fleet.
TEST(report_sources, work_of_an_entry_does_not_grow_with_the_fleet)
{
    constexpr std::size_t domains = 5;
    for (std::size_t const entries : {10UL, 40UL, 148UL, 410UL})
    {
        auto const askers = askers_of(fleet_of(entries, domains));
        std::size_t most = 0;
        std::size_t all = 0;
        for (auto const& [entry, count] : askers)
        {
            most = std::max(most, count);
            all += count;
        }
        EXPECT_EQ(all, entries * (domains - 1) * sources_per_domain);
        // Each entry asks eight; none is asked by more than three times as
        // many.
        EXPECT_LE(most, 3 * (domains - 1) * sources_per_domain)
            << entries << " entries";
    }
}

TEST(report_sources, the_same_are_asked_while_they_pass_reports_on)
{
    report_sources state{"own", {}};
    auto const entries = names(30);
    auto const first = choose_sources(state, "d1", entries, start);
    ASSERT_EQ(first.size(), sources_per_domain);
    for (auto now = start; now < start + seconds(20); now += relay_interval)
    {
        EXPECT_EQ(choose_sources(state, "d1", entries, now), first);
        for (auto const& source : first)
        {
            note_relayed(state, "d1", source, now);
        }
        EXPECT_FALSE(must_poll_agents(state, "d1", now));
    }
}

// Failure: no reports of a domain arrive because one of the entries asked is
// lost.
TEST(report_sources, a_lost_entry_is_replaced_and_the_other_goes_on)
{
    report_sources state{"own", {}};
    auto const entries = names(30);
    auto const first = choose_sources(state, "d1", entries, start);
    std::vector<std::string> asked = first;
    for (auto now = start; now < start + seconds(3); now += relay_interval)
    {
        asked = choose_sources(state, "d1", entries, now);
        EXPECT_NE(std::ranges::find(asked, first[1]), asked.end());
        for (auto const& source : asked)
        {
            if (source != first[0])
            {
                note_relayed(state, "d1", source, now);
            }
        }
        EXPECT_FALSE(must_poll_agents(state, "d1", now));
    }
    EXPECT_EQ(std::ranges::find(asked, first[0]), asked.end());
    EXPECT_EQ(asked.size(), sources_per_domain);
}

// Failure: all entries of a domain are lost while its engines are alive.
TEST(report_sources, agents_are_asked_when_no_entry_passes_reports_on)
{
    report_sources state{"own", {}};
    auto const entries = names(3);
    EXPECT_FALSE(must_poll_agents(state, "d1", start));
    choose_sources(state, "d1", entries, start);
    EXPECT_FALSE(must_poll_agents(state, "d1", start + seconds(1)));
    EXPECT_TRUE(must_poll_agents(state, "d1", start + milliseconds(1300)));
    choose_sources(state, "d1", entries, start + milliseconds(1600));
    note_relayed(state, "d1", *entries.begin(), start + milliseconds(2000));
    EXPECT_FALSE(must_poll_agents(state, "d1", start + milliseconds(2100)));
}

// Failure: restarted entries are never asked again.
TEST(report_sources, one_that_fell_silent_is_asked_again_after_a_rest)
{
    report_sources state{"own", {}};
    auto const entries = names(2);
    std::set<std::string> asked;
    for (auto now = start; now < start + seconds(9); now += relay_interval)
    {
        auto const chosen = choose_sources(state, "d1", entries, now);
        if (now > start + seconds(3) && !chosen.empty())
        {
            asked.insert(chosen.begin(), chosen.end());
        }
    }
    EXPECT_EQ(asked, entries);
}

} // namespace foxtailvale::direct
