#include <direct/platform_outage.hpp>

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

} // namespace

// Failure: the platform is down for 8 s, and operators announce a version
// meanwhile. When it is back, the entries consider the older version retired
// and refuse all requests, and the new weights arrive 4 s later.
TEST(platform_outage, a_version_named_meanwhile_counts_from_its_end)
{
    platform_outage outage;
    for (auto since = milliseconds(0); since <= seconds(8); since += seconds(1))
    {
        note_failure(outage, at(since));
    }
    note_answer(outage);
    EXPECT_EQ(accepted_since(outage, at(milliseconds(-500))), at(seconds(8)));
}

// A process is paused for 6 s. Its four pending calls, all begun before, have
// failed when it resumes. The platform was available: other processes count the
// version from its announcement, and so must this one.
TEST(platform_outage, calls_that_failed_together_prove_nothing)
{
    platform_outage outage;
    note_failure(outage, at(milliseconds(0)));
    note_failure(outage, at(milliseconds(200)));
    note_failure(outage, at(milliseconds(400)));
    note_failure(outage, at(milliseconds(900)));
    EXPECT_EQ(
        accepted_since(outage, at(milliseconds(-100))), at(milliseconds(-100)));
}

// One connection fails, then the next one. Other kinds of objects are read in
// between, so the platform was available.
TEST(platform_outage, failures_with_answers_in_between_prove_nothing)
{
    platform_outage outage;
    for (auto since = milliseconds(0); since <= seconds(8); since += seconds(1))
    {
        note_failure(outage, at(since));
        note_answer(outage);
    }
    EXPECT_EQ(accepted_since(outage, at(milliseconds(0))), at(milliseconds(0)));
}

// After an outage that ended long ago, the latest confirmation counts for the
// next version.
TEST(platform_outage, a_later_confirmation_goes_before_an_earlier_outage)
{
    platform_outage outage;
    for (auto since = milliseconds(0); since <= seconds(4); since += seconds(1))
    {
        note_failure(outage, at(since));
    }
    note_answer(outage);
    EXPECT_EQ(accepted_since(outage, at(seconds(20))), at(seconds(20)));
}

// Failure: an entry restarts late in a long bound and uses the older version
// beyond its end.
TEST(platform_outage, an_older_version_is_retired_in_time_after_a_restart)
{
    for (auto const bound :
         {milliseconds(2000), milliseconds(8000), milliseconds(10300)})
    {
        for (auto age = milliseconds(0); age <= bound; age += milliseconds(100))
        {
            // The version was accepted this long before the start.
            auto const retired = bound - unseen_age(bound);
            auto const allowed = std::max(bound - age, startup_grace);
            EXPECT_LE(retired, allowed) << bound.count() << " " << age.count();
        }
    }
}

} // namespace foxtailvale::direct
