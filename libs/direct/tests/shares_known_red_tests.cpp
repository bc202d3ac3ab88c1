#include <direct/shares.hpp>

#include <gtest/gtest.h>

// Bounds that did not hold over every span of their length; KNOWN-RED.txt lists
// them.
namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

} // namespace

// Endpoints fail twice, 9.1 s apart. Repeats were counted by whole seconds, and
// those of the first time dropped out of the count when the tenth second began:
// both times all repeats of ten seconds were spent, within ten seconds.
TEST(retry_share, no_ten_seconds_have_more_repeats_than_allowed)
{
    retry_bound const bound{0, seconds(10), 100};
    for (auto first = milliseconds(0); first < seconds(1);
         first += milliseconds(50))
    {
        for (auto between = milliseconds(8000); between < seconds(10);
             between += milliseconds(50))
        {
            retry_window window;
            auto spent = 0;
            for (auto const at : {first, first + between})
            {
                while (spend_repeat(window, bound, 1, start + at))
                {
                    ++spent;
                }
            }
            ASSERT_LE(spent, 100) << first.count() << " ms and "
                                  << between.count() << " ms later";
        }
    }
}

} // namespace foxtailvale::direct
