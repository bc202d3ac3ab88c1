#ifndef FOXTAILVALE_WEIGHTS_RECEIVE_LINE_HPP
#define FOXTAILVALE_WEIGHTS_RECEIVE_LINE_HPP

#include <base/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::weights
{

// Chunks that are on their way to an agent from others. Made for links that
// engines' live requests share: three chunks fill a link without a pause, and a
// request stands behind them for 100 ms at most on a link of 7.6 Mbit/s. One
// that takes long does not count as one of the three while chunks from others
// come fast: it waits at a squeezed link elsewhere and fills nothing here.
//
// Failure: one machine in five had a squeezed link. Sooner or later all three
// places of an agent were taken by chunks from such machines, for two seconds
// and more each time, and added engines were filled after ten seconds.
//
// That chunks from others come fast is proven by one that came after the slow
// one was begun; until then one more is tried at a time. Failure: the own link
// was squeezed to a twentieth, the fast chunks of the two seconds before let
// ten more fill it for seven seconds, and requests behind them reached the
// engine after their callers had left.
struct receive_window
{
    struct fetch
    {
        std::string agent;
        base::time_point begun;
    };
    // By a number that the fetch was given.
    std::map<std::uint64_t, fetch> running;
    std::uint64_t next_number = 0;
    // When a chunk last came at the speed of an unharmed link, by source.
    std::map<std::string, base::time_point> last_fast;
    // No chunk is fetched before then: the own link is squeezed.
    base::time_point not_before;
    // It is squeezed until a chunk comes fast; one is fetched at a time.
    bool squeezed = false;
};

// Whether one more chunk may be fetched.
bool may_fetch(receive_window const& line, base::time_point now);

// Begins a fetch from this agent; the number names it.
std::uint64_t begin_fetch(
    receive_window& line, std::string const& agent, base::time_point now);

// Ends the fetch. When it was slow and nothing comes fast from others, the own
// link is squeezed: as much time passes before the next one, so that requests
// to the engine have half of the link.
void end_fetch(
    receive_window& line, std::uint64_t number, base::time_point now);

// Fetches that take long while chunks come fast from others: the source's link
// is squeezed, and the same chunk comes sooner from elsewhere.
std::vector<std::uint64_t>
squeezed_fetches(receive_window const& line, base::time_point now);

} // namespace foxtailvale::weights

#endif
