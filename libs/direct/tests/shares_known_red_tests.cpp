#include <direct/shares.hpp>

#include <gtest/gtest.h>

#include <set>
#include <string>

// Faults that are known and not mended; KNOWN-RED.txt lists them.
namespace foxtailvale::direct
{

namespace
{

base::time_point const start{std::chrono::hours(1)};

} // namespace

// All processes of 45 entries start together, and no agent's report reaches any
// of them for longer than an entry counts as new. Each takes itself for one of
// 16 and sends what one of 16 may to the same cold endpoint.
TEST(cold_share, entries_that_heard_no_agent_stay_below_the_bound)
{
    cold_bound const bound{33, 5};
    std::size_t sent = 0;
    for (auto entry = 0; entry < 45; ++entry)
    {
        auto const own = "10.0.0." + std::to_string(entry);
        std::set<std::string> const known{own};
        std::deque<base::time_point> recent;
        while (
            has_part(known, {}, own, "i-1", bound) &&
            may_send_within_part(recent, bound, sharers(entry_count{}), start))
        {
            recent.push_back(start);
            ++sent;
        }
    }
    EXPECT_LE(sent, 38U);
}

} // namespace foxtailvale::direct
