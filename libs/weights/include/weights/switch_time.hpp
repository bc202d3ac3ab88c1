#ifndef FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP
#define FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>

namespace foxtailvale::weights
{

// An agent's place among those that switch to the same version.
struct switch_place
{
    // Place among the agents of its failure domain, in order of name.
    std::size_t rank = 0;
    // The engine serves another version now, and not serving it costs
    // capacity.
    bool serves = false;
};

// When the engine may be ordered to switch to a version that was named at this
// moment and must be in use everywhere after the bound. Made for live traffic
// during a burst: an engine takes nothing new from the order until its running
// requests have ended and the weights are loaded, a second or two. Engines
// that serve take turns in three waves, a fixed time apart, so that two thirds
// of each failure domain go on; the last wave begins early enough for its
// longest requests to end within the bound. An engine without weights switches
// at once.
base::time_point switch_time(
    switch_place const& place,
    base::time_point named,
    std::chrono::milliseconds bound);

} // namespace foxtailvale::weights

#endif
