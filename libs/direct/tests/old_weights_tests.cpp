#include "engine_world.hpp"

#include <gtest/gtest.h>

// Nothing begins on an older version after its time, whatever the entries
// expected of the engines.
namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

// Some engines get their chunks so late that they still serve the old version
// when its time ends.
fleet_course late_fleet(double load)
{
    fleet_course course;
    course.load = load;
    course.late_chunks = {0, 4, 8, 12};
    course.chunk_delay = milliseconds(9000);
    return course;
}

// These engines also turn slow just before the time of their version ends.
fleet_course late_and_slow_fleet()
{
    auto course = late_fleet(1.1);
    course.slow = {
        {course.late_chunks, {milliseconds(9000), milliseconds(12000)}}};
    return course;
}

// The promise: nothing begins on a version 8 s after the next one was named.
void expect_kept(fleet_course course, std::vector<std::uint64_t> const& seeds)
{
    for (auto const seed : seeds)
    {
        course.seed = seed;
        auto const outcome = run_fleet(course);
        EXPECT_GT(outcome.begun_on_older, 100U) << "seed " << seed;
        EXPECT_TRUE(outcome.late.empty())
            << "seed " << seed << ": " << to_text(outcome);
    }
}

} // namespace

// A request began on older weights a tenth of a second after their time had
// ended. It was sent 0.9 s before that, to an engine with a free slot by a
// report that had just come, and stood in the engine's line for a second. Here:
// full load, engines whose chunks come late and, over the same full links,
// reports 0.3 s late. Cause: the bound stood on the entry's estimate of the
// wait, and the engine was handed the caller's deadline. Proved by this course:
// the first seed breaks the bound where the deadline is the caller's and what
// has not begun is not closed, the others did so before requests that will not
// be done in time were kept from such engines.
TEST(old_weights, a_free_slot_by_the_report_is_a_second_in_the_line)
{
    auto course = late_fleet(1.2);
    course.chunk_delay = milliseconds(5000);
    course.late_reports = {
        {course.late_chunks, {milliseconds(7000), milliseconds(14000)}}};
    expect_kept(course, {2, 21, 24, 32, 33});
}

// An engine works four times slower than published just before the time of its
// version ends; what stands in its line begins up to 0.6 s after that.
TEST(old_weights, an_engine_turns_slow)
{
    expect_kept(late_and_slow_fleet(), {3, 4, 5, 10, 14, 22, 40});
}

// The same where engines go on with requests whose callers closed the
// connection: what an entry has given up still begins, unless its deadline has
// ended with the version.
TEST(old_weights, an_engine_ignores_that_its_caller_left)
{
    auto course = late_and_slow_fleet();
    course.ignores_close = true;
    expect_kept(course, {4, 5, 6, 11, 18, 24, 25, 31});
}

// Engines stand still across the end of their version's time. They read at
// their return what was sent to them before, and count its deadline from then;
// what the entry has closed meanwhile they do not begin. Without the closing,
// these courses began requests 0.6 s after the end.
TEST(old_weights, an_engine_stands_still)
{
    auto course = late_fleet(1.1);
    course.engine_pauses = {
        {course.late_chunks, {milliseconds(8500), milliseconds(10500)}}};
    expect_kept(course, {2, 7, 22, 34});
}

// Each entry takes the others for fewer than they are, as after a cut; they
// send more on one report than the entry allows for.
TEST(old_weights, more_entries_send_than_are_counted)
{
    auto course = late_fleet(1.1);
    course.entries = 34;
    course.counted_entries = 8;
    expect_kept(course, {3, 26, 31});
}

// The same in a fleet of 52 engines with 12 slots each.
TEST(old_weights, more_entries_send_than_are_counted_in_a_large_fleet)
{
    auto course = late_fleet(1.3);
    course.entries = 34;
    course.engines = 52;
    course.slots = 12;
    course.late_chunks = {0, 4, 8, 12, 16, 20, 24, 28, 32, 36, 40, 44, 48};
    course.counted_entries = 8;
    expect_kept(course, {4, 7, 17});
}

// Agents stand still for two seconds. Entries go by the platform's list and by
// their own requests, which say nothing of the other entries'.
TEST(old_weights, agents_fall_silent)
{
    auto course = late_fleet(1.1);
    course.agent_pauses = {
        {course.late_chunks, {milliseconds(8000), milliseconds(10000)}}};
    expect_kept(course, {17, 22, 24, 26});
}

// Requests are written up to 0.4 s after the entry has decided, as when a
// connection has to be opened first.
TEST(old_weights, requests_are_written_late)
{
    auto course = late_fleet(1.3);
    course.one_late_write_in = 1;
    expect_kept(course, {4, 17, 29, 38});
}

// Guards against requests that outlast a version and are held by the closing
// alone: engines ten times slower than published that go on with what was
// closed begin them after the version's end.
TEST(old_weights, a_slow_engine_ignores_that_the_entry_closed_at_the_end)
{
    for (std::uint64_t const seed : {1UL, 24UL, 37UL, 38UL})
    {
        fleet_course course;
        course.seed = seed;
        course.load = 1.1;
        course.late_chunks = {0, 4, 8, 12};
        course.chunk_delay = milliseconds(9000);
        course.slowness = 10;
        course.slow = {
            {course.late_chunks, {milliseconds(6000), milliseconds(14000)}}};
        course.ignores_close = true;
        auto const outcome = run_fleet(course);
        EXPECT_GT(outcome.begun_on_older, 100U) << "seed " << seed;
        EXPECT_TRUE(outcome.late.empty())
            << "seed " << seed << ": " << to_text(outcome);
    }
}

} // namespace foxtailvale::direct
