#ifndef FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP
#define FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

// Which version an engine goes to, and when. Made for live traffic during a
// burst: from the order on an engine takes nothing new until its running
// requests have ended and the weights are loaded. An engine that switches is
// lost for one to three seconds, so the engines of a failure domain take turns
// in four waves over the time between the chunks' arrival and the bound.
namespace foxtailvale::weights
{

// A version that operators named, and when that became known.
struct named_target
{
    std::uint64_t version = 0;
    base::time_point named;
};

struct switch_ask
{
    // Version that the engine serves; zero when it serves none.
    std::uint64_t serving = 0;
    // Oldest first.
    std::span<named_target const> targets;
    // From a version's naming until nothing may begin on an older one.
    std::chrono::milliseconds bound{0};
    // Place among the agents of the failure domain, in order of name.
    std::size_t rank = 0;
    // Agents of the failure domain that has most.
    std::size_t most_agents = 1;
};

// The version that the engine goes to next. Usually the newest. Where one is
// named soon after another, every switch that is left out saves capacity: the
// engines of the later two waves keep what they serve until the newest has
// come and skip the one between, while those of the first two waves go there
// and carry the traffic meanwhile. If the newest comes early enough, all skip.
std::uint64_t choose_target(switch_ask const& ask);

// The version to go to instead of the chosen one, when its chunks will not come
// before the version in use has ended: the newest of those between that is
// whole at this agent. Failure: the origin dies just after a second version was
// named, and engines that skipped the first serve nobody until it is back.
// `chunks_to_come` counts what is missing of a version here.
std::uint64_t fall_back(
    switch_ask const& ask,
    std::uint64_t chosen,
    std::function<std::size_t(std::uint64_t)> const& chunks_to_come,
    base::time_point now);

// How long a missing chunk takes to come during a burst, as measured: 64 chunks
// over links of 7.6 Mbit/s in 2.9 s.
inline constexpr std::chrono::milliseconds chunk_time{45};

struct switch_plan
{
    // The order is given at this time, if the chunks are there.
    base::time_point at;
    // Streams that still run are cut and go on at other engines of the same
    // version; there are some that will not be cut themselves. Otherwise they
    // run to their end first.
    bool cuts = false;
};

// When and how the engine switches to the target. An engine that serves
// nothing does so at once.
switch_plan plan_switch(switch_ask const& ask, std::uint64_t target);

} // namespace foxtailvale::weights

#endif
