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
    note_answered(list, 1);
    note_crash(list, 1, "b", {});
    EXPECT_FALSE(is_suspect(list, 1));
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
