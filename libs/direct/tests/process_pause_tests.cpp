#include <direct/process_pause.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::boot_time at(milliseconds since)
{
    return {seconds(100) + since};
}

process_pause running_until(milliseconds end)
{
    process_pause state;
    for (auto since = milliseconds(0); since <= end; since += milliseconds(20))
    {
        note_tick(state, at(since));
    }
    return state;
}

} // namespace

TEST(process_pause, a_running_process_reads_what_has_just_arrived)
{
    auto const state = running_until(seconds(2));
    auto const now = at(seconds(2) + milliseconds(100));
    EXPECT_EQ(earliest_arrival(state, now), now);
}

// A version is announced while an entry is frozen. When the entry resumes, it
// reads the announcement before its own timers run.
TEST(process_pause, news_read_before_the_first_tick_may_be_as_old_as_the_pause)
{
    auto const state = running_until(seconds(2));
    EXPECT_EQ(earliest_arrival(state, at(seconds(8))), at(seconds(2)));
}

// The same, but the timers run first and the announcement is read a moment
// later.
TEST(process_pause, news_read_after_the_first_tick_may_be_as_old_as_the_pause)
{
    auto state = running_until(seconds(2));
    note_tick(state, at(seconds(8)));
    note_tick(state, at(seconds(8) + milliseconds(20)));
    EXPECT_EQ(
        earliest_arrival(state, at(seconds(8) + milliseconds(30))),
        at(seconds(2)));
}

TEST(process_pause, a_pause_is_over_once_what_lay_unread_was_read)
{
    auto state = running_until(seconds(2));
    for (auto since = seconds(8) + milliseconds(0); since <= seconds(11);
         since += milliseconds(20))
    {
        note_tick(state, at(since));
    }
    EXPECT_EQ(earliest_arrival(state, at(seconds(11))), at(seconds(11)));
}

} // namespace foxtailvale::direct
