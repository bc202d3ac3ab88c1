#ifndef FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP
#define FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

// Which version an engine switches to, and when, while live traffic continues.
// From the switch order on, an engine accepts no new requests until its running
// requests have ended and the weights are loaded; shortly before, it is sent
// only requests that will have ended by then. A switch thus costs nearly a
// second of an engine's work. The engines of a failure domain therefore switch
// one after the other, spread over the time between the arrival of the chunks
// at each agent and the deadline, however late the chunks arrive.
namespace foxtailvale::weights
{

// A version that operators announced, and when that became known.
struct announced_target
{
    std::uint64_t version = 0;
    base::time_point named;
};

struct switch_context
{
    // Version that the engine serves; zero when it serves none.
    std::uint64_t serving = 0;
    // Sorted from the oldest to the newest.
    std::span<announced_target const> targets;
    // Time from the announcement of a version until no request may begin on an
    // older one.
    std::chrono::milliseconds bound{0};
    // Position among the agents of the failure domain, sorted by name.
    std::size_t rank = 0;
    // Number of agents in the failure domain.
    std::size_t agents = 1;
    // Time from a version's announcement until this agent held all its chunks,
    // as last observed.
    std::optional<std::chrono::milliseconds> arrival;
    // When this agent held, or is expected to hold, all chunks of a version.
    std::function<std::optional<base::time_point>(std::uint64_t)> whole;
};

// The version that the engine switches to next, usually the newest. When a
// version is announced soon after another, skipping the older one saves nearly
// a second of the engine's work; but if the newest is not there when the served
// version expires, the engine is idle while it waits. Engines of the later half
// by rank therefore skip a version when the next one arrives before waiting
// costs more than the switch. Engines of the earlier half do not skip, and
// serve the traffic meanwhile. If the newest version arrives early enough, all
// engines skip.
std::uint64_t choose_target(switch_context const& context);

// The version to switch to instead of the chosen one when the chosen one's
// chunks will not arrive before the served version expires: the newest version
// after the served one that this agent holds completely. Failures: the origin
// dies just after a second version was announced, and engines that skipped the
// first version serve no requests until the origin is back; the origin drops
// the chosen version before its chunks have arrived, and engines wait for it
// for ever. `chunks_to_come` returns how many chunks of a version are missing
// at this agent.
std::uint64_t choose_fallback_target(
    switch_context const& context,
    std::uint64_t chosen,
    std::function<std::size_t(std::uint64_t)> const& chunks_to_come,
    base::time_point now);

// Usual time between the arrivals of two missing chunks during a burst.
inline constexpr std::chrono::milliseconds chunk_interval{45};

// When the engine switches to the target, provided that the chunks are there.
// An engine that serves nothing switches at once. Running requests end first: a
// request that is cut off and continues on another engine has its prompt
// processed again, for which there is no spare capacity during a burst.
base::time_point
planned_switch_time(switch_context const& context, std::uint64_t target);

} // namespace foxtailvale::weights

#endif
