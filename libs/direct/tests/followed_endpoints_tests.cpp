#include <direct/followed_endpoints.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t domains = 5;
constexpr base::time_point now{std::chrono::seconds(100)};
constexpr rate_bound engine_bound{21, 5};

std::string domain_name(std::size_t number)
{
    return "domain-" + std::to_string(number % domains);
}

std::string address_of(char const* network, std::size_t number)
{
    return network + std::to_string(number / 250) + "." +
           std::to_string(number % 250);
}

std::string entry_name(std::size_t number)
{
    return address_of("10.1.", number);
}

// A fleet with as many engines as entries, spread over the failure domains.
struct fleet
{
    endpoint_table table;
    std::set<std::string> entries;

    explicit fleet(std::size_t size)
    {
        for (std::size_t number = 0; number < size; ++number)
        {
            auto const domain = domain_name(number);
            this->entries.insert(entry_name(number));
            this->table.domain_entries[domain].insert(entry_name(number));
            endpoint_record record;
            record.id = "engine-" + std::to_string(number);
            record.service = "chat";
            record.address = address_of("10.2.", number) + ":8000";
            record.failure_domain = domain;
            record.slots = 8;
            put(this->table, record);
        }
    }

    placement_query query(std::size_t entry) const
    {
        placement_query asked;
        asked.service = "chat";
        asked.own_domain = domain_name(entry);
        asked.own_entry = entry_name(entry);
        asked.all_entries = &this->entries;
        asked.cold = engine_bound;
        asked.entries =
            entries_per_endpoint(this->entries.size(), engine_bound);
        return asked;
    }

    std::set<std::string> followed_by(std::size_t entry) const
    {
        return followed_endpoints(this->table, this->query(entry));
    }
};

std::set<std::string> in_domain(
    endpoint_table const& table,
    std::set<std::string> const& ids,
    std::string const& domain)
{
    std::set<std::string> found;
    for (auto const& id : ids)
    {
        if (table.endpoints.at(id).listed.failure_domain == domain)
        {
            found.insert(id);
        }
    }
    return found;
}

} // namespace

// Failure: what an entry receives grows with entries times engines.
TEST(followed_endpoints, their_number_does_not_grow_with_the_fleet)
{
    for (auto const size : {150UL, 500UL, 1000UL})
    {
        fleet const known(size);
        std::size_t all = 0;
        constexpr std::size_t step = 10;
        for (std::size_t entry = 0; entry < size; entry += step)
        {
            auto const followed = known.followed_by(entry);
            all += followed.size();
            EXPECT_LE(followed.size(), 60U) << size << " entries";
            EXPECT_GE(
                in_domain(known.table, followed, domain_name(entry)).size(), 3U)
                << size << " entries";
        }
        EXPECT_LE(all / (size / step), 24U) << size << " entries";
    }
}

// Failure: a small fleet loses sight of engines that it could use.
TEST(followed_endpoints, small_fleets_follow_all)
{
    for (auto const size : {8UL, 20UL})
    {
        fleet const known(size);
        EXPECT_EQ(known.followed_by(0).size(), size);
    }
}

// Failure: engines that no entry follows get no requests.
TEST(followed_endpoints, every_engine_is_followed_by_several_entries)
{
    for (auto const size : {40UL, 150UL, 500UL})
    {
        fleet const known(size);
        std::map<std::string, std::size_t> followers;
        for (std::size_t entry = 0; entry < size; ++entry)
        {
            for (auto const& id : known.followed_by(entry))
            {
                ++followers[id];
            }
        }
        ASSERT_EQ(followers.size(), size);
        for (auto const& [id, count] : followers)
        {
            EXPECT_GE(count, 10U) << id << ", " << size << " entries";
            EXPECT_LE(count, 20U) << id << ", " << size << " entries";
        }
    }
}

// Failure: an entry loses its connections and reports when another engine
// leaves.
TEST(followed_endpoints, they_stay_when_other_engines_leave)
{
    fleet known(500);
    auto before = known.followed_by(7);
    remove(known.table, "engine-8", false, now);
    before.erase("engine-8");
    EXPECT_EQ(known.followed_by(7), before);
}

// Failure: the entries of a domain whose engines are all gone follow hardly any
// engine of other domains.
TEST(followed_endpoints, entries_without_engines_follow_more_of_other_domains)
{
    fleet known(500);
    auto const before = known.followed_by(0);
    auto const own = in_domain(known.table, before, domain_name(0));
    known.table.domains_out.insert(domain_name(0));
    auto const after = known.followed_by(0);
    auto const kept = in_domain(known.table, after, domain_name(0));
    EXPECT_GE(after.size() - kept.size(), 2 * (before.size() - own.size()));
}

// Failure: each of 500 entries counts as a sender to every engine, so that one
// request of its own makes an engine appear full and few entries may use free
// slots.
TEST(followed_endpoints, a_free_engine_is_open_to_the_entries_that_share_it)
{
    fleet known(500);
    load_report const idle;
    for (auto const& id : known.followed_by(0))
    {
        auto const address = known.table.endpoints.at(id).listed.address;
        note_report(
            known.table, address.substr(0, address.find(':')), idle, now);
    }
    base::random_state random{1};
    for (auto const at :
         {now, now + milliseconds(100), now + milliseconds(200)})
    {
        std::size_t open = 0;
        auto query = known.query(0);
        while (choose(known.table, query, at, random).chosen != nullptr)
        {
            auto const* chosen = choose(known.table, query, at, random).chosen;
            query.tried.insert(chosen->listed.id);
            ++open;
        }
        EXPECT_GE(open * 2, known.followed_by(0).size());
    }
}

// Failure: an engine that is followed again counts as unresponsive because of
// a report from before.
TEST(followed_endpoints, reports_of_other_endpoints_are_discarded)
{
    fleet known(10);
    for (std::size_t number = 0; number < 10; ++number)
    {
        note_report(
            known.table, address_of("10.2.", number), load_report{}, now);
    }
    discard_other_reports(known.table, "chat", {"engine-3"});
    EXPECT_TRUE(known.table.endpoints.at("engine-3").report.has_value());
    EXPECT_FALSE(known.table.endpoints.at("engine-4").report.has_value());
}

// Failure: entries announce themselves at other agents than those that others
// ask, and never hear of each other.
TEST(directory, all_entries_choose_the_same_agents)
{
    std::vector<std::string> agents;
    for (std::size_t number = 0; number < 96; ++number)
    {
        agents.push_back(address_of("10.2.", number));
    }
    auto const chosen = choose_directory(agents);
    EXPECT_EQ(chosen.size(), directory_agents);
    EXPECT_EQ(choose_directory({agents.rbegin(), agents.rend()}), chosen);
    // When one of them leaves, the others stay.
    std::erase(agents, chosen.front());
    auto const later = choose_directory(agents);
    EXPECT_TRUE(std::equal(chosen.begin() + 1, chosen.end(), later.begin()));
    EXPECT_EQ(choose_directory({agents.front()}).size(), 1U);
}

} // namespace foxtailvale::direct
