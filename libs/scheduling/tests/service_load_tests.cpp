#include <gtest/gtest.h>
#include <scheduling/service_load.hpp>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};

load_summary with_offered(microseconds cost)
{
    load_summary summary;
    summary.ranks[0].offered = cost;
    summary.waiting = 10;
    return summary;
}

} // namespace

// Guards against load that counts for longer than it lasts.
TEST(service_load, counts_the_last_second)
{
    service_load load;
    note_offered(load, 1, 7, milliseconds(30), start);
    note_refused(load, 1, 7, milliseconds(30), start);
    note_offered(load, 0, 8, milliseconds(20), start + milliseconds(600));
    note_started(load, 0, 8, milliseconds(20), start + milliseconds(600));
    note_waiting(load, 3);

    auto const all = totals(load, start + milliseconds(900));
    EXPECT_EQ(all.ranks.at(1).refused, milliseconds(30));
    EXPECT_EQ(all.ranks.at(0).started, milliseconds(20));
    EXPECT_EQ(all.workspaces.at(7), milliseconds(30));
    EXPECT_EQ(all.waiting, 3);

    auto const later = totals(load, start + milliseconds(1100));
    EXPECT_FALSE(later.ranks.contains(1));
    EXPECT_EQ(later.ranks.at(0).offered, milliseconds(20));
}

// Guards against summaries that exceed a datagram, and against cost that is
// lost from them.
TEST(service_load, bounds_its_summary)
{
    service_load load;
    for (std::uint32_t number = 0; number < 20; ++number)
    {
        note_offered(load, number, number, milliseconds(number + 1), start);
    }
    auto const summary = summarize(load, start);
    EXPECT_FALSE(find_fault(summary));
    EXPECT_EQ(summary.ranks.size(), max_summary_ranks);
    microseconds offered{0};
    for (auto const& [rank, counts] : summary.ranks)
    {
        offered += counts.offered;
    }
    EXPECT_EQ(offered, milliseconds(210));
    EXPECT_EQ(summary.workspaces.begin()->first, 12);
}

// Guards against an entry that died, or was cut off, and stays in the totals.
TEST(service_load, ages_the_summary_of_an_entry_that_fell_silent)
{
    service_load load;
    note_summary(load, "b", with_offered(seconds(1)), start);
    auto const offered = [&load](milliseconds after)
    {
        auto const sum = totals(load, start + after);
        return sum.ranks.empty() ? microseconds(0) : sum.ranks.at(0).offered;
    };
    EXPECT_EQ(offered(milliseconds(1000)), seconds(1));
    EXPECT_EQ(offered(milliseconds(1250)), milliseconds(500));
    EXPECT_EQ(offered(milliseconds(1500)), seconds(0));
    EXPECT_FALSE(has_summary(load, start + milliseconds(1500)));
}

// Guards against doubled datagrams, and those of an entry that restarted, being
// added up.
TEST(service_load, keeps_one_summary_of_each_entry)
{
    service_load load;
    note_summary(load, "b", with_offered(seconds(1)), start);
    note_summary(load, "b", with_offered(seconds(1)), start);
    note_summary(load, "c", with_offered(seconds(2)), start);
    EXPECT_EQ(totals(load, start).ranks.at(0).offered, seconds(3));
    EXPECT_EQ(totals(load, start).waiting, 20);
    note_summary(load, "b", {}, start + milliseconds(10));
    EXPECT_EQ(totals(load, start).ranks.at(0).offered, seconds(2));
}

// Guards against a faulty entry that makes the others refuse all requests.
TEST(service_load, drops_invalid_summaries)
{
    service_load load;
    load_summary many_ranks;
    load_summary many_workspaces;
    for (std::uint32_t number = 0; number < 9; ++number)
    {
        many_ranks.ranks[number] = {};
        many_workspaces.workspaces[number] = {};
    }
    EXPECT_EQ(
        note_summary(load, "b", many_ranks, start),
        summary_fault::too_many_ranks);
    EXPECT_EQ(
        note_summary(load, "b", many_workspaces, start),
        summary_fault::too_many_workspaces);
    EXPECT_EQ(
        note_summary(load, "b", with_offered(seconds(3601)), start),
        summary_fault::implausible_cost);
    EXPECT_EQ(
        note_summary(load, "b", with_offered(seconds(-1)), start),
        summary_fault::implausible_cost);
    load_summary many_waiting;
    many_waiting.waiting = max_plausible_waiting + 1;
    EXPECT_EQ(
        note_summary(load, "b", many_waiting, start),
        summary_fault::implausible_waiting);
    EXPECT_EQ(totals(load, start), load_summary{});
}

// Guards against load from before the suspension of a VM that counts as
// current, as the steady clock stands still meanwhile.
TEST(service_load, ages_by_the_time_of_a_suspension)
{
    service_load load;
    note_offered(load, 0, 7, milliseconds(30), start);
    note_summary(load, "b", with_offered(seconds(1)), start);
    note_suspended(load, seconds(60));
    EXPECT_EQ(totals(load, start), load_summary{});
}

} // namespace foxtailvale::scheduling
