#include <request/suspects.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

TEST(suspects, two_crashed_endpoints_make_a_suspect_until_expiry_or_release)
{
    suspect_list list;
    base::time_point now{};
    EXPECT_FALSE(note_crash(list, 7, "a", now));
    EXPECT_FALSE(note_crash(list, 7, "a", now));
    EXPECT_FALSE(is_suspect(list, 7));
    EXPECT_TRUE(note_crash(list, 7, "b", now));
    EXPECT_TRUE(is_suspect(list, 7));
    EXPECT_FALSE(note_crash(list, 7, "c", now));
    expire(list, now + suspect_duration - std::chrono::seconds(1));
    EXPECT_TRUE(is_suspect(list, 7));
    expire(list, now + suspect_duration);
    EXPECT_FALSE(is_suspect(list, 7));
    note_crash(list, 7, "a", now);
    note_crash(list, 7, "b", now);
    EXPECT_TRUE(release(list, 7));
    EXPECT_FALSE(is_suspect(list, 7));
}

// A popular prompt happens to run beside the crashing request on two endpoints.
// It was answered in between, so it must not be refused for its other callers.
TEST(suspects, an_answered_request_does_not_become_suspect)
{
    suspect_list list;
    note_crash(list, 1, "a", {});
    note_answered(list, 1, {});
    note_crash(list, 1, "b", {});
    EXPECT_FALSE(is_suspect(list, 1));
}

// Guards against a suspect that is forgotten, and crashes endpoints again,
// since crashes of whole batches filled the list with requests that ran beside
// it.
TEST(suspects, a_suspect_outlasts_records_of_other_requests)
{
    suspect_list list;
    base::time_point now{};
    note_crash(list, 0, "a", now);
    note_crash(list, 0, "b", now);
    for (fingerprint request = 1; request < 2 * max_crash_records; ++request)
    {
        now += std::chrono::milliseconds(1);
        note_crash(list, request, "c", now);
    }
    EXPECT_TRUE(is_suspect(list, 0));
    EXPECT_EQ(list.records.size(), max_crash_records);
}

// Guards against a common prompt that is refused because it ran at two
// endpoints whose crashes have nothing in common, hours apart.
TEST(suspects, crashes_far_apart_do_not_make_a_suspect)
{
    suspect_list list;
    note_crash(list, 1, "a", {});
    auto const later = base::time_point{} + suspect_duration;
    EXPECT_FALSE(note_crash(list, 1, "b", later));
    EXPECT_FALSE(is_suspect(list, 1));
    EXPECT_TRUE(note_crash(list, 1, "c", later + std::chrono::seconds(1)));
}

// Guards against a request that was answered, and becomes suspect again by the
// records of an entry that did not hear of the answer.
TEST(suspects, older_crashes_do_not_outweigh_an_answer)
{
    using std::chrono::seconds;
    suspect_list list;
    base::time_point const now{seconds(100)};
    EXPECT_TRUE(note_relayed_crash(list, 1, "a", now - seconds(9), now));
    EXPECT_FALSE(note_relayed_crash(list, 1, "a", now - seconds(8), now));
    note_answered(list, 1, now - seconds(2));
    EXPECT_FALSE(note_relayed_crash(list, 1, "a", now - seconds(9), now));
    EXPECT_FALSE(note_relayed_crash(list, 1, "b", now - seconds(3), now));
    EXPECT_FALSE(has_crash_record(list, 1));
    EXPECT_TRUE(note_relayed_crash(list, 1, "c", now - seconds(1), now));
    EXPECT_TRUE(note_relayed_crash(list, 1, "d", now, now));
    EXPECT_TRUE(is_suspect(list, 1));
}

TEST(suspects, the_number_of_records_is_bounded)
{
    suspect_list list;
    for (fingerprint request = 0; request < 2 * max_crash_records; ++request)
    {
        note_crash(list, request, "a", {});
    }
    EXPECT_EQ(list.records.size(), max_crash_records);
}

} // namespace foxtailvale::request
