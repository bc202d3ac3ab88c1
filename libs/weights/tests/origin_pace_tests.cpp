#include <weights/origin_pace.hpp>

#include <gtest/gtest.h>

#include <set>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};
constexpr std::uint32_t chunk_bytes = 1000;

// Ten chunks a second.
origin_pace narrow_pace()
{
    origin_pace pace;
    pace.bytes_per_second = 10'000;
    return pace;
}

import_slot turn_of(std::uint32_t index, std::uint32_t missing_before)
{
    import_slot turn;
    turn.started = start;
    turn.index = index;
    turn.chunk_bytes = chunk_bytes;
    turn.missing_before = missing_before;
    turn.last_chunk = start;
    return turn;
}

} // namespace

// If importers fetched as much as possible at once over a link shared with
// callers, responses to callers would wait behind megabytes of weights. Each
// chunk has its own time slot.
TEST(origin_pace, each_chunk_is_fetched_in_its_own_slot)
{
    auto const pace = narrow_pace();
    EXPECT_TRUE(may_fetch_from_origin(pace, turn_of(0, 0), start));
    EXPECT_FALSE(
        may_fetch_from_origin(pace, turn_of(5, 2), start + milliseconds(499)));
    EXPECT_TRUE(
        may_fetch_from_origin(pace, turn_of(5, 2), start + milliseconds(500)));
}

TEST(origin_pace, transfers_share_the_link)
{
    auto const pace = narrow_pace();
    auto turn = turn_of(5, 2);
    turn.transfers = 2;
    EXPECT_FALSE(may_fetch_from_origin(pace, turn, start + milliseconds(999)));
    EXPECT_TRUE(may_fetch_from_origin(pace, turn, start + milliseconds(1000)));
}

// Live requests take more of the link than planned. Chunks arrive later, and
// fetches must slow down as well instead of piling up.
TEST(origin_pace, fetches_slow_down_with_the_link)
{
    auto const pace = narrow_pace();
    auto turn = turn_of(20, 8);
    turn.last_chunk = start + seconds(9);
    EXPECT_FALSE(may_fetch_from_origin(pace, turn, start + seconds(10)));
    turn.missing_before = 7;
    EXPECT_TRUE(may_fetch_from_origin(pace, turn, start + seconds(10)));
}

// The importers of earlier chunks are dead. Waiting for these chunks would
// block all later ones.
TEST(origin_pace, stuck_chunks_do_not_hold_up_later_ones)
{
    auto const pace = narrow_pace();
    auto const turn = turn_of(20, 8);
    EXPECT_FALSE(may_fetch_from_origin(pace, turn, start + milliseconds(1400)));
    EXPECT_TRUE(may_fetch_from_origin(pace, turn, start + milliseconds(2100)));
}

// The weight store refuses reads. Agents that all retried after the same pause
// would be refused together again.
TEST(origin_pace, refusals_lead_to_longer_and_different_pauses)
{
    std::set<base::time_point> first;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        origin_pace pace;
        base::random_state random{seed};
        note_origin_fetch_started(pace);
        note_origin_fetch_ended(
            pace, origin_fetch_outcome::failed, random, start);
        auto const pause = pace.not_before - start;
        EXPECT_GE(pause, milliseconds(250));
        EXPECT_LT(pause, milliseconds(500));
        first.insert(pace.not_before);
        EXPECT_FALSE(may_fetch_from_origin(
            pace, turn_of(0, 0), start + milliseconds(249)));
        note_origin_fetch_ended(
            pace, origin_fetch_outcome::failed, random, start);
        EXPECT_GE(pace.not_before - start, milliseconds(500));
        for (int more = 0; more < 20; ++more)
        {
            note_origin_fetch_ended(
                pace, origin_fetch_outcome::failed, random, start);
        }
        EXPECT_LE(pace.not_before - start, seconds(32));
        EXPECT_GE(pace.not_before - start, seconds(16));
        note_origin_fetch_ended(
            pace, origin_fetch_outcome::refused, random, start);
        EXPECT_LE(pace.not_before - start, seconds(2));
    }
    EXPECT_GT(first.size(), 30U);
}

// While the origin fails, only one fetch at a time tries it.
TEST(origin_pace, a_failing_origin_is_tried_with_one_fetch)
{
    origin_pace pace;
    base::random_state random{1};
    note_origin_fetch_started(pace);
    note_origin_fetch_started(pace);
    EXPECT_FALSE(may_fetch_from_origin(pace, turn_of(0, 0), start));
    note_origin_fetch_ended(pace, origin_fetch_outcome::failed, random, start);
    EXPECT_FALSE(
        may_fetch_from_origin(pace, turn_of(0, 0), start + seconds(1)));
    note_origin_fetch_ended(pace, origin_fetch_outcome::failed, random, start);
    EXPECT_TRUE(may_fetch_from_origin(pace, turn_of(0, 0), start + seconds(2)));
    EXPECT_TRUE(suspects_origin(pace, start + seconds(2)));
    note_origin_fetch_ended(
        pace, origin_fetch_outcome::good, random, start + seconds(2));
    EXPECT_FALSE(suspects_origin(pace, start + seconds(2)));
}

} // namespace foxtailvale::weights
