#include "load_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::time_point start{seconds(100)};
constexpr milliseconds spacing{20};
place_group const group{"s", 1};

place_query query(request_print request, milliseconds longest = seconds(2))
{
    return {request, group, spacing, longest};
}

} // namespace

TEST(returns, gives_places_at_the_rate_of_starts)
{
    return_book book;
    EXPECT_EQ(promise_return(book, query(1), start), milliseconds(400));
    EXPECT_EQ(promise_return(book, query(2), start), milliseconds(420));
    EXPECT_EQ(
        promise_return(book, query(3), start + milliseconds(10)),
        milliseconds(430));
}

// Guards against promises that the caller does not honour, as it has not the
// time.
TEST(returns, promises_nothing_beyond_the_longest_time)
{
    return_book book;
    EXPECT_FALSE(promise_return(book, query(1, milliseconds(399)), start));
    for (request_print request = 2; request < 200; ++request)
    {
        auto const told = promise_return(book, query(request), start);
        EXPECT_EQ(told.has_value(), request < 83);
    }
}

// Guards against callers that gain by returning early, and claims that are used
// again.
TEST(returns, honours_a_promise_once_and_not_early)
{
    return_book book;
    auto const due = start + *promise_return(book, query(1), start);
    EXPECT_EQ(
        claim_return(book, 1, due - milliseconds(51)), return_claim::early);
    // Its caller has shown that it does not wait as told.
    EXPECT_FALSE(promise_return(book, query(1), due - milliseconds(51)));
    EXPECT_EQ(
        claim_return(book, 1, due - milliseconds(50)), return_claim::kept);
    EXPECT_EQ(claim_return(book, 1, due), return_claim::none);
    EXPECT_EQ(claim_return(book, 2, due), return_claim::none);
}

TEST(returns, expire_after_their_retention)
{
    return_book book;
    auto const due = start + *promise_return(book, query(1), start);
    EXPECT_EQ(
        claim_return(book, 1, due + milliseconds(1001)), return_claim::none);
    expire(book, due + milliseconds(1001));
    EXPECT_TRUE(book.promises.empty());
    EXPECT_TRUE(book.order.empty());
}

// Guards against claims from before the suspension of a VM, during which the
// steady clock stands still.
TEST(returns, are_dropped_if_their_time_passed_in_a_suspension)
{
    return_book book;
    promise_return(book, query(1), start);
    note_suspended(book, seconds(60));
    EXPECT_EQ(claim_return(book, 1, start), return_claim::none);
    EXPECT_EQ(promise_return(book, query(2), start), milliseconds(400));
}

// Guards against malformed notices that create claims.
TEST(returns, ignore_invalid_notices)
{
    return_book book;
    EXPECT_EQ(
        note_promise(book, {0, 1, 1, seconds(1)}, start),
        promise_fault::no_request);
    EXPECT_EQ(
        note_promise(book, {1, 1, 1, std::chrono::hours(1)}, start),
        promise_fault::due_too_late);
    EXPECT_TRUE(book.promises.empty());
}

// Guards against a table that grows without bound, and against promises that
// push out others.
TEST(returns, promise_nothing_when_the_table_is_full)
{
    return_book book;
    for (request_print request = 1; request <= max_promises; ++request)
    {
        EXPECT_FALSE(note_promise(book, {request, 1, 1, seconds(1)}, start));
    }
    EXPECT_EQ(
        note_promise(book, {9999, 1, 1, seconds(1)}, start),
        promise_fault::table_full);
    EXPECT_FALSE(promise_return(book, query(9999), start));
    EXPECT_EQ(claim_return(book, 1, start + seconds(1)), return_claim::kept);
}

// Guards against kept returns whose starts give further places, until all
// capacity goes to them.
TEST(returns, follow_the_starts_of_new_requests)
{
    return_book book;
    service_load load;
    EXPECT_FALSE(place_spacing(book, load, group, milliseconds(10), start));
    note_started(load, group.rank, 7, milliseconds(500), start);
    EXPECT_EQ(
        place_spacing(book, load, group, milliseconds(10), start),
        milliseconds(20));
    note_return_started(book, group, milliseconds(250), start);
    EXPECT_EQ(
        place_spacing(book, load, group, milliseconds(10), start),
        milliseconds(40));
    // An entry that starts nothing has an equal part.
    service_load idle;
    note_summary(idle, "b", summarize(load, start), start);
    EXPECT_EQ(
        place_spacing({}, idle, group, milliseconds(10), start),
        milliseconds(40));
}

namespace
{

// Callers of a fleet that starts a fixed number of requests a second, and those
// that were refused come back to any entry.
class returning_callers
{
public:
    returning_callers(std::size_t size, fleet_faults faults)
        : fleet(size, faults), credit(size)
    {
    }

    // Offers this many times the capacity.
    void offer(double times, milliseconds time)
    {
        this->fleet.run(
            time,
            [this, times](std::size_t entry)
            {
                this->step(entry, times);
            });
    }

    load_fleet fleet;
    // Part of the refused callers that come back at once.
    double hasty = 0;
    std::size_t promised = 0;
    std::size_t kept = 0;
    std::size_t hasty_kept = 0;
    std::size_t broken = 0;

private:
    struct comeback
    {
        request_print request = 0;
        bool is_hasty = false;
        bool was_promised = false;
    };

    static constexpr milliseconds cost{10};
    // Of the fleet: 1,200 in a second.
    static constexpr double starts_per_step = 12;

    void step(std::size_t entry, double times)
    {
        auto const starts =
            starts_per_step / static_cast<double>(this->credit.size());
        this->credit[entry] = std::min(this->credit[entry] + starts, 2.0);
        // Every entry's callers that are due come to it with those of others.
        while (!this->away.empty() &&
               this->away.begin()->first <= this->fleet.now)
        {
            auto const back = this->away.begin()->second;
            this->away.erase(this->away.begin());
            this->arrive(this->fleet.any_entry(), back);
        }
        for (auto left = times * starts; left > 0; left -= 1)
        {
            if (left >= 1 || this->fleet.fraction() < left)
            {
                this->arrive(entry, {++this->requests});
            }
        }
    }

    void arrive(std::size_t entry, comeback const& caller)
    {
        auto const now = this->fleet.now;
        auto& own = this->fleet.entries[entry];
        auto const claim = claim_return(own.book, caller.request, now);
        auto const is_return = caller.is_hasty || caller.was_promised;
        this->kept += claim == return_claim::kept ? 1 : 0;
        this->hasty_kept +=
            claim == return_claim::kept && caller.is_hasty ? 1 : 0;
        this->broken +=
            claim != return_claim::kept && caller.was_promised ? 1 : 0;
        if (claim == return_claim::kept)
        {
            note_return_started(own.book, group, cost, now);
            this->credit[entry] -= 1;
        }
        else if (this->credit[entry] >= 1)
        {
            this->credit[entry] -= 1;
        }
        else
        {
            if (!is_return)
            {
                this->refuse(own, caller.request);
            }
            return;
        }
        note_started(own.load, group.rank, 7, cost, now);
    }

    void refuse(fleet_entry& own, request_print request)
    {
        auto const now = this->fleet.now;
        auto const apart = place_spacing(own.book, own.load, group, cost, now);
        auto const told =
            apart ? promise_return(
                        own.book, {request, group, *apart, seconds(2)}, now)
                  : std::nullopt;
        this->promised += told ? 1 : 0;
        if (this->fleet.fraction() < this->hasty)
        {
            this->away.emplace(now + fleet_step, comeback{request, true});
        }
        else if (told)
        {
            this->away.emplace(now + *told, comeback{request, false, true});
        }
    }

    std::vector<double> credit;
    std::multimap<base::time_point, comeback> away;
    request_print requests = 0;
};

class returning_fleet : public testing::TestWithParam<std::size_t>
{
};

INSTANTIATE_TEST_SUITE_P(sizes, returning_fleet, testing::Values(8, 40, 150));

} // namespace

// Guards against callers that waited as told and whose promise is unknown at
// the entry they reach, at a burst of 1.7 for 3 s.
TEST_P(returning_fleet, knows_every_promise_after_a_burst)
{
    returning_callers callers(GetParam(), {});
    callers.offer(0.9, seconds(1));
    callers.offer(1.7, seconds(3));
    callers.offer(0, seconds(3));
    EXPECT_GT(callers.promised, GetParam());
    EXPECT_EQ(callers.kept, callers.promised);
    EXPECT_EQ(callers.broken, 0U);
}

// Guards against callers that gain by coming back at once, as a third does.
TEST_P(returning_fleet, gives_hasty_callers_no_claim)
{
    returning_callers callers(GetParam(), {});
    callers.hasty = 1.0 / 3;
    callers.offer(0.9, seconds(1));
    callers.offer(1.7, seconds(3));
    callers.offer(0, seconds(3));
    EXPECT_GT(callers.kept, GetParam());
    EXPECT_EQ(callers.hasty_kept, 0U);
    EXPECT_EQ(callers.broken, 0U);
}

// Guards against one place for several callers when many send the same request,
// as with one hot key.
TEST_P(returning_fleet, gives_one_hot_request_one_place_at_an_entry)
{
    load_fleet fleet(GetParam(), {});
    auto& book = fleet.entries[0].book;
    auto const told = promise_return(book, query(1), fleet.now);
    fleet.run(milliseconds(200), [](std::size_t) {});
    auto kept = 0;
    for (auto& entry : fleet.entries)
    {
        EXPECT_FALSE(promise_return(entry.book, query(1), fleet.now));
    }
    fleet.run(*told - milliseconds(200), [](std::size_t) {});
    for (auto again = 0; again < 5; ++again)
    {
        kept += claim_return(book, 1, fleet.now) == return_claim::kept ? 1 : 0;
    }
    EXPECT_EQ(kept, 1);
    fleet.run(milliseconds(200), [](std::size_t) {});
    for (auto& entry : fleet.entries)
    {
        EXPECT_EQ(claim_return(entry.book, 1, fleet.now), return_claim::none);
    }
}

// Guards against places that are given to two callers and promises that an
// entry honours twice, over random series of refusals, returns, restarts, lost,
// doubled and late notices.
TEST_P(returning_fleet, gives_no_place_twice)
{
    load_fleet fleet(GetParam(), {0.2, 0.2, milliseconds(500)});
    // Due times by entry since its start, and promises used at an entry.
    std::vector<std::set<base::time_point>> places(GetParam());
    std::set<std::pair<std::size_t, promise_key>> used;
    auto const step = [&](std::size_t entry)
    {
        auto& own = fleet.entries[entry];
        auto const request = 1 + 100 * entry / GetParam() +
                             static_cast<request_print>(fleet.fraction() * 50);
        // Twelve times in a step of the fleet.
        if (fleet.any_entry() >= 12)
        {
            return;
        }
        auto const chance = fleet.fraction();
        if (chance < 0.01)
        {
            fleet.restart(entry);
            places[entry].clear();
            std::erase_if(
                used,
                [entry](auto const& use)
                {
                    return use.first == entry;
                });
        }
        else if (chance < 0.3)
        {
            if (auto const told =
                    promise_return(own.book, query(request), fleet.now))
            {
                EXPECT_TRUE(places[entry].insert(fleet.now + *told).second);
            }
        }
        else if (
            claim_return(own.book, request, fleet.now) == return_claim::kept)
        {
            EXPECT_TRUE(used.emplace(entry, own.book.unsent.back()).second);
        }
        EXPECT_LE(own.book.promises.size(), max_promises);
        EXPECT_EQ(own.book.promises.size(), own.book.order.size());
    };
    fleet.run(seconds(5), step);
    for (auto const& given : places)
    {
        auto const close = std::ranges::adjacent_find(
            given,
            [](auto left, auto right)
            {
                // Times are told in whole milliseconds.
                return right - left < spacing - milliseconds(1);
            });
        EXPECT_EQ(close, given.end());
    }
    EXPECT_FALSE(used.empty());
}

} // namespace foxtailvale::scheduling
