#include "load_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests of one service at 1.7 times the capacity; every fourth entry has
// four times as many callers as another.
class overloaded_fleet : public testing::TestWithParam<std::size_t>
{
protected:
    static std::chrono::microseconds offered_per_step(std::size_t entry)
    {
        return milliseconds(entry % 4 == 0 ? 40 : 10);
    }

    // Fraction that the entry admits, by what it knows.
    static double level(load_fleet const& fleet, std::size_t entry)
    {
        constexpr double overload = 1.7;
        std::chrono::microseconds all{0};
        for (std::size_t next = 0; next < fleet.entries.size(); ++next)
        {
            all += offered_per_step(next) * (load_window / fleet_step);
        }
        auto const known = totals(fleet.entries[entry].load, fleet.now);
        auto const offered = known.ranks.at(0).offered;
        return std::min(
            1.0, static_cast<double>(all.count()) / overload /
                     static_cast<double>(offered.count()));
    }

    static void overload(load_fleet& fleet, milliseconds time)
    {
        fleet.run(
            time,
            [&fleet](std::size_t entry)
            {
                auto& load = fleet.entries[entry].load;
                note_offered(load, 0, 7, offered_per_step(entry), fleet.now);
            });
    }

    // Difference between the largest and the least level of these entries.
    static double spread(load_fleet const& fleet, std::size_t first = 0)
    {
        auto least = 1.0;
        auto largest = 0.0;
        for (auto entry = first; entry < fleet.entries.size(); ++entry)
        {
            auto const own = level(fleet, entry);
            least = std::min(least, own);
            largest = std::max(largest, own);
        }
        return largest - least;
    }

    static constexpr double most = 0.1;
};

INSTANTIATE_TEST_SUITE_P(
    sizes, overloaded_fleet, testing::Values(2, 8, 40, 150));

} // namespace

// Guards against one entry that refuses what another admits.
TEST_P(overloaded_fleet, reaches_common_levels_in_a_second)
{
    load_fleet fleet(GetParam(), {});
    overload(fleet, seconds(1));
    EXPECT_LT(spread(fleet), most);
}

// Guards against levels that drift apart by lost, doubled and late summaries.
TEST_P(overloaded_fleet, keeps_common_levels_on_a_bad_network)
{
    load_fleet fleet(GetParam(), {0.3, 0.3, milliseconds(300)});
    overload(fleet, seconds(2));
    EXPECT_LT(spread(fleet), most);
}

// Guards against a process that has just started and admits everything.
TEST_P(overloaded_fleet, brings_a_restarted_entry_to_the_common_level)
{
    load_fleet fleet(GetParam(), {});
    overload(fleet, seconds(2));
    fleet.restart(0);
    overload(fleet, seconds(1));
    EXPECT_LT(spread(fleet), most);
}

// Guards against an entry that was cut off and still counts at the others.
TEST_P(overloaded_fleet, forgets_an_entry_that_is_cut_off)
{
    load_fleet fleet(GetParam(), {});
    overload(fleet, seconds(2));
    fleet.entries[0].is_cut_off = true;
    overload(fleet, summary_full_weight + summary_decay + milliseconds(100));
    EXPECT_LT(spread(fleet, 1), most);
    EXPECT_EQ(
        totals(fleet.entries[0].load, fleet.now),
        summarize(fleet.entries[0].load, fleet.now));
    EXPECT_FALSE(fleet.entries[1].load.others.contains("0"));
}

} // namespace foxtailvale::scheduling
