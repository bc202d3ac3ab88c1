#include <weights/source_table.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};
constexpr std::uint32_t chunk_bytes = 256 * 1024;

} // namespace

TEST(source_book, a_source_has_few_chunks_outstanding)
{
    source_table table;
    for (std::uint32_t requests = 0; requests < max_outstanding; ++requests)
    {
        EXPECT_TRUE(has_room(table, "p"));
        note_requested(table, "p", start);
    }
    EXPECT_FALSE(has_room(table, "p"));
    note_dropped(table, "p");
    EXPECT_TRUE(has_room(table, "p"));
}

// A source dies with requests pending. Nothing at all arrives from it any more,
// whereas a live source that still waits for a chunk itself reports that twice
// a second.
TEST(source_book, an_unresponsive_source_is_told_from_a_waiting_one)
{
    source_table table;
    note_requested(table, "p", start);
    note_requested(table, "q", start);
    note_heard(table, "q", start + seconds(3));
    EXPECT_TRUE(is_silent(table, "p", start + milliseconds(3001)));
    EXPECT_FALSE(is_silent(table, "q", start + milliseconds(3001)));
    note_dropped(table, "p");
    EXPECT_FALSE(is_silent(table, "p", start + seconds(60)));
}

// A rack fails. After the first dead source was found, further dead ones must
// be found sooner, but a source that responds must not be taken for dead.
TEST(source_book, after_one_unresponsive_source_others_are_detected_sooner)
{
    source_table table;
    note_requested(table, "p", start);
    note_unresponsive(table, "p", start + seconds(4));
    note_requested(table, "q", start + seconds(4));
    note_requested(table, "r", start + seconds(4));
    note_heard(table, "r", start + milliseconds(4100));
    EXPECT_FALSE(is_silent(table, "q", start + seconds(5)));
    EXPECT_TRUE(is_silent(table, "q", start + milliseconds(5200)));
    EXPECT_FALSE(is_silent(table, "r", start + milliseconds(5300)));
    EXPECT_TRUE(is_silent(table, "r", start + milliseconds(7200)));
}

TEST(source_book, a_source_that_fails_again_is_avoided_for_longer)
{
    source_table table;
    avoid_after_failure(table, "p", start);
    EXPECT_FALSE(is_usable(table, "p", start + milliseconds(1999)));
    EXPECT_TRUE(is_usable(table, "p", start + milliseconds(2000)));
    avoid_after_failure(table, "p", start);
    EXPECT_FALSE(is_usable(table, "p", start + milliseconds(3999)));
    note_delivered(table, "p", chunk_bytes, seconds(1));
    avoid_after_failure(table, "p", start + seconds(10));
    EXPECT_TRUE(is_usable(table, "p", start + seconds(12)));
    blame(table, "p", start + seconds(20));
    EXPECT_FALSE(is_usable(table, "p", start + seconds(300)));
}

// Eight chunks of 256 KiB share a link of 20 Mbit/s and take 0.8 s each. A
// time-out based on one chunk alone would abandon all of them. A fast source
// that stalls must be abandoned much sooner.
TEST(source_book, the_timeout_follows_the_measured_rate)
{
    source_table table;
    for (std::uint32_t requests = 0; requests < max_outstanding; ++requests)
    {
        note_requested(table, "slow", start);
        note_requested(table, "fast", start);
    }
    note_delivered(table, "slow", chunk_bytes, milliseconds(105));
    note_delivered(table, "fast", chunk_bytes, milliseconds(5));
    EXPECT_GT(delivery_timeout(table, "slow", chunk_bytes), milliseconds(3000));
    EXPECT_LT(delivery_timeout(table, "slow", chunk_bytes), milliseconds(4000));
    EXPECT_EQ(delivery_timeout(table, "fast", chunk_bytes), milliseconds(1500));
}

} // namespace foxtailvale::weights
