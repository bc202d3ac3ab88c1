#include "burst_world.hpp"

#include <gtest/gtest.h>

// Tests of known faults that are not fixed yet; listed in KNOWN-RED.txt.
namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

} // namespace

// The origin dies half a second after an announcement, before most of its copy
// was sent. After its return the whole transfer is still to be done, within the
// same time as after any other outage.
TEST(burst, an_origin_that_dies_at_once_is_made_up_for_after_its_return)
{
    for (std::size_t const agents : {24UL, 88UL})
    {
        burst_scenario scenario;
        scenario.agents = agents;
        auto const back = milliseconds(6500);
        scenario.origin_down = {{milliseconds(500), back}};
        auto const outcome = run_burst(scenario);
        ASSERT_TRUE(outcome.completed_after);
        EXPECT_LE(*outcome.completed_after, back + milliseconds(3000))
            << agents;
    }
}

} // namespace foxtailvale::weights
