#include <direct/placement.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

// Shares of one endpoint for routes with different regions.
namespace foxtailvale::direct
{

namespace
{

using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

std::vector<std::string> const domains{"d0", "d1", "d2", "d3"};

// The regions that each of the routes allows; all allow that of d0.
std::vector<std::set<std::string>> const routes{
    {"r0"}, {"r0", "r1", "r2"}, {"r0", "r1", "r3"}, {"r0", "r2", "r3"}};

// Domains in regions of their own, each with one endpoint and so many entries.
struct regional_fleet
{
    endpoint_table table;
    std::set<std::string> entries;
};

regional_fleet make_fleet(std::size_t entries_per_domain)
{
    regional_fleet fleet;
    for (auto const& domain : domains)
    {
        fleet.table.regions[domain] = "r" + domain.substr(1);
        endpoint_record record;
        record.id = "e-" + domain;
        record.service = "s";
        record.address = "10.0.0." + domain.substr(1) + ":80";
        record.failure_domain = domain;
        record.slots = 64;
        put(fleet.table, record);
        for (std::size_t number = 0; number < entries_per_domain; ++number)
        {
            auto const name = domain + "-" + std::to_string(number);
            fleet.entries.insert(name);
            fleet.table.domain_entries[domain].insert(name);
        }
    }
    return fleet;
}

// Returns how many entries would send to the endpoint of d0 at this time for
// one of the routes or another.
std::size_t senders_to_d0(
    regional_fleet const& fleet, rate_bound const& cold, base::time_point now)
{
    base::random_state random{1};
    std::set<std::string> senders;
    for (auto const& entry : fleet.entries)
    {
        for (auto const& regions : routes)
        {
            placement_query query;
            query.service = "s";
            query.regions = regions;
            query.tried = {"e-d1", "e-d2", "e-d3"};
            query.cold = cold;
            query.entries = entries_per_endpoint(fleet.entries.size(), cold);
            query.all_sharers = fleet.entries.size();
            query.all_entries = &fleet.entries;
            query.own_entry = entry;
            if (choose(fleet.table, query, now, random).chosen != nullptr)
            {
                senders.insert(entry);
            }
        }
    }
    return senders.size();
}

} // namespace

// Guards against entries that share a cold endpoint for one route and others
// that share it for another, which together send more requests in a second than
// it bears.
TEST(routes_shares, keep_to_the_sum_of_a_cold_endpoint)
{
    constexpr double per_second = 36;
    constexpr double tolerance = 5;
    auto const senders =
        senders_to_d0(make_fleet(50), {per_second, tolerance}, start);
    EXPECT_GE(senders, 20U);
    EXPECT_LE(static_cast<double>(senders), per_second + tolerance);
}

// Guards against the same at an endpoint that names a rate limit.
TEST(routes_shares, keep_to_the_excess_over_a_rate_limit)
{
    constexpr double per_second = 10;
    auto fleet = make_fleet(16);
    note_named(fleet.table.endpoints.at("e-d0").limit, per_second, start, true);
    // Late enough for each entry's first request, too early for an entry
    // without a share.
    auto const senders = senders_to_d0(fleet, {}, start + seconds(29));
    EXPECT_GE(senders, 10U);
    EXPECT_LE(static_cast<double>(senders), 0.5 * 4 * per_second + 5);
}

} // namespace foxtailvale::direct
