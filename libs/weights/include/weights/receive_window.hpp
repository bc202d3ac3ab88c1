#ifndef FOXTAILVALE_WEIGHTS_RECEIVE_WINDOW_HPP
#define FOXTAILVALE_WEIGHTS_RECEIVE_WINDOW_HPP

#include <base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::weights
{

// Limits how many chunks an agent fetches from other agents at a time, on links
// that are shared with live requests to engines. Three chunks keep a link busy
// without a pause and delay a request by at most 100 ms on a link of 7.6
// Mbit/s. A fetch that takes long does not count as one of the three while
// chunks from other agents arrive fast: it is held up at the sender by a
// narrowed link, that is, one with a fraction of its usual bandwidth, and does
// not fill the agent's own link.
//
// Failure: one machine in five had a narrowed link. Sooner or later all three
// places of an agent were taken by chunks from such machines, for two seconds
// and more each time, and added engines got their weights only after ten
// seconds.
//
// Chunks count as arriving fast from others only if one arrived after the slow
// fetch began; until then, one extra fetch at a time is tried. Failure: the
// agent's own link was narrowed to a twentieth. Because chunks had arrived fast
// in the two seconds before, ten more fetches filled the link for seven
// seconds, and requests behind them reached the engine after their callers had
// disconnected.
struct receive_window
{
    struct fetch
    {
        std::string agent;
        base::time_point begun;
    };
    // Running fetches by number, as returned by begin_fetch.
    std::map<std::uint64_t, fetch> running;
    std::uint64_t next_number = 0;
    // When a chunk last arrived at the speed of an unimpaired link, by source.
    std::map<std::string, base::time_point> last_fast;
    // No fetch begins before this time, because the agent's own link is
    // narrowed.
    base::time_point not_before;
    // The agent's own link is narrowed, and fetches run one at a time until a
    // chunk arrives fast.
    bool narrowed = false;
};

// Whether another fetch may begin.
bool may_fetch(receive_window const& window, base::time_point now);

// Records the start of a fetch from this agent and returns its number.
std::uint64_t begin_fetch(
    receive_window& window, std::string const& agent, base::time_point now);

// Records the end of a fetch. If it was slow and no chunk arrives fast from
// other agents, the agent's own link is narrowed: the next fetch begins only
// after a pause as long as this fetch, so that requests to the engine get half
// of the link.
void end_fetch(
    receive_window& window, std::uint64_t number, base::time_point now);

// Fetches that take long while chunks arrive fast from other agents: the
// source's link is narrowed, and the chunk arrives sooner from another source.
std::vector<std::uint64_t>
narrowed_fetches(receive_window const& window, base::time_point now);

} // namespace foxtailvale::weights

#endif
