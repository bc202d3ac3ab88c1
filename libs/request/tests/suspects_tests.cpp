#include <request/suspects.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

TEST(suspects, two_crashed_endpoints_make_one_and_time_or_release_ends_it)
{
    suspect_list list;
    base::time_point now{};
    EXPECT_FALSE(note_crash(list, 7, "a", now));
    EXPECT_FALSE(note_crash(list, 7, "a", now));
    EXPECT_FALSE(is_suspect(list, 7));
    EXPECT_TRUE(note_crash(list, 7, "b", now));
    EXPECT_TRUE(is_suspect(list, 7));
    EXPECT_FALSE(note_crash(list, 7, "c", now));
    expire(list, now + suspect_length - std::chrono::seconds(1));
    EXPECT_TRUE(is_suspect(list, 7));
    expire(list, now + suspect_length);
    EXPECT_FALSE(is_suspect(list, 7));
    note_crash(list, 7, "a", now);
    note_crash(list, 7, "b", now);
    EXPECT_TRUE(release(list, 7));
    EXPECT_FALSE(is_suspect(list, 7));
}

// A popular prompt runs beside the culprit on two endpoints. It must go on
// being answered for everybody else.
TEST(suspects, a_request_that_ends_well_is_not_condemned_by_coincidence)
{
    suspect_list list;
    note_crash(list, 1, "a", {});
    note_answered(list, 1);
    note_crash(list, 1, "b", {});
    EXPECT_FALSE(is_suspect(list, 1));
}

TEST(suspects, the_list_is_bounded)
{
    suspect_list list;
    for (fingerprint request = 0; request < 2 * most_crash_records; ++request)
    {
        note_crash(list, request, "a", {});
    }
    EXPECT_EQ(list.records.size(), most_crash_records);
}

} // namespace foxtailvale::request
