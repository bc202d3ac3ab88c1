#include <weights/receive_line.hpp>
#include <weights/send_line.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

base::time_point const start{std::chrono::hours(1)};

} // namespace

// One machine in five has a squeezed link. The places for chunks on their way
// here are all taken by chunks from such machines, and nothing comes for
// seconds although the other machines would send at once.
TEST(receive_line, squeezed_sources_do_not_take_all_places)
{
    receive_line line;
    auto now = start;
    auto const fast = begin_fetch(line, "sound", now);
    now += milliseconds(100);
    end_fetch(line, fast, now);
    for (int number = 0; number < 3; ++number)
    {
        ASSERT_TRUE(may_fetch(line, now));
        begin_fetch(line, "squeezed" + std::to_string(number), now);
    }
    EXPECT_FALSE(may_fetch(line, now));
    now += milliseconds(300);
    EXPECT_TRUE(may_fetch(line, now));
    EXPECT_EQ(squeezed_fetches(line, now).size(), 3U);
}

// The agent's own link is squeezed: everything is slow. Callers' requests to
// the engine need the link too.
TEST(receive_line, a_squeezed_link_of_its_own_is_left_to_requests_by_half)
{
    receive_line line;
    auto now = start;
    auto const first = begin_fetch(line, "one", now);
    begin_fetch(line, "two", now);
    begin_fetch(line, "three", now);
    now += milliseconds(900);
    EXPECT_FALSE(may_fetch(line, now));
    EXPECT_TRUE(squeezed_fetches(line, now).empty());
    end_fetch(line, first, now);
    EXPECT_FALSE(may_fetch(line, now + milliseconds(800)));
    EXPECT_TRUE(may_fetch(line, now + milliseconds(1000)));
}

// Many agents are filled at once and ask the same few. Told yes, a dozen of
// them wait for one link, and each takes its own link for squeezed.
TEST(send_line, no_more_is_promised_than_is_sent_soon)
{
    send_line line;
    int promised = 0;
    for (int asked = 0; asked < 12; ++asked)
    {
        if (may_promise(line, start))
        {
            note_promised(line, start);
            ++promised;
        }
    }
    // Four chunks leave a link of 7.6 Mbit/s in 138 ms.
    EXPECT_EQ(promised, 4);
    note_called_in(line, start);
    EXPECT_FALSE(may_promise(line, start));
    note_left(line);
    EXPECT_TRUE(may_promise(line, start));
}

// Whoever was promised a chunk fetches it elsewhere, or is gone.
TEST(send_line, a_promise_that_is_not_called_in_is_not_waited_for)
{
    send_line line;
    for (int asked = 0; asked < 4; ++asked)
    {
        note_promised(line, start);
    }
    EXPECT_FALSE(may_promise(line, start + milliseconds(100)));
    EXPECT_TRUE(may_promise(line, start + milliseconds(200)));
}

} // namespace foxtailvale::weights
