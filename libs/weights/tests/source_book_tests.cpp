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

TEST(source_table, a_source_has_few_chunks_outstanding)
{
    source_table book;
    for (std::uint32_t asked = 0; asked < most_outstanding; ++asked)
    {
        EXPECT_TRUE(has_room(book, "p"));
        note_requested(book, "p", start);
    }
    EXPECT_FALSE(has_room(book, "p"));
    note_dropped(book, "p");
    EXPECT_TRUE(has_room(book, "p"));
}

// A source dies with requests in its list. Nothing at all comes from it any
// more; one that only waits itself still says so twice a second.
TEST(source_table, silence_is_told_from_waiting)
{
    source_table book;
    note_requested(book, "p", start);
    note_requested(book, "q", start);
    note_heard(book, "q", start + seconds(3));
    EXPECT_TRUE(is_silent(book, "p", start + milliseconds(3001)));
    EXPECT_FALSE(is_silent(book, "q", start + milliseconds(3001)));
    note_dropped(book, "p");
    EXPECT_FALSE(is_silent(book, "p", start + seconds(60)));
}

// A rack goes. After the first dead source the next ones are found out sooner,
// but not one that answers.
TEST(source_table, after_one_silence_others_are_found_out_sooner)
{
    source_table book;
    note_requested(book, "p", start);
    note_unresponsive(book, "p", start + seconds(4));
    note_requested(book, "q", start + seconds(4));
    note_requested(book, "r", start + seconds(4));
    note_heard(book, "r", start + milliseconds(4100));
    EXPECT_FALSE(is_silent(book, "q", start + seconds(5)));
    EXPECT_TRUE(is_silent(book, "q", start + milliseconds(5200)));
    EXPECT_FALSE(is_silent(book, "r", start + milliseconds(5300)));
    EXPECT_TRUE(is_silent(book, "r", start + milliseconds(7200)));
}

TEST(source_table, a_source_that_fails_again_is_avoided_for_longer)
{
    source_table book;
    avoid_after_failure(book, "p", start);
    EXPECT_FALSE(is_usable(book, "p", start + milliseconds(1999)));
    EXPECT_TRUE(is_usable(book, "p", start + milliseconds(2000)));
    avoid_after_failure(book, "p", start);
    EXPECT_FALSE(is_usable(book, "p", start + milliseconds(3999)));
    note_delivered(book, "p", chunk_bytes, seconds(1));
    avoid_after_failure(book, "p", start + seconds(10));
    EXPECT_TRUE(is_usable(book, "p", start + seconds(12)));
    blame(book, "p", start + seconds(20));
    EXPECT_FALSE(is_usable(book, "p", start + seconds(300)));
}

// Eight chunks of 256 KiB share a link of 20 Mbit/s: each takes 0.8 s, and a
// limit of one chunk's time would give up all of them. A fast source that
// stalls is given up much sooner.
TEST(source_table, the_limit_follows_the_measured_rate)
{
    source_table book;
    for (std::uint32_t asked = 0; asked < most_outstanding; ++asked)
    {
        note_requested(book, "slow", start);
        note_requested(book, "fast", start);
    }
    note_delivered(book, "slow", chunk_bytes, milliseconds(105));
    note_delivered(book, "fast", chunk_bytes, milliseconds(5));
    EXPECT_GT(delivery_timeout(book, "slow", chunk_bytes), milliseconds(3000));
    EXPECT_LT(delivery_timeout(book, "slow", chunk_bytes), milliseconds(4000));
    EXPECT_EQ(delivery_timeout(book, "fast", chunk_bytes), milliseconds(1500));
}

} // namespace foxtailvale::weights
