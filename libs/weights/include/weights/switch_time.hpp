#ifndef FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP
#define FOXTAILVALE_WEIGHTS_SWITCH_TIME_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

// Which version an engine goes to, and when. Made for live traffic during a
// burst: from the order on an engine takes nothing new until its running
// requests have ended and the weights are loaded, and shortly before it is sent
// only what will have ended by then. That costs nearly a second of its work, so
// the engines of a failure domain go one after the other over all the time
// between the chunks' arrival at each and the bound, however late they arrive.
namespace foxtailvale::weights
{

// A version that operators named, and when that became known.
struct announced_target
{
    std::uint64_t version = 0;
    base::time_point named;
};

struct switch_context
{
    // Version that the engine serves; zero when it serves none.
    std::uint64_t serving = 0;
    // Oldest first.
    std::span<announced_target const> targets;
    // From a version's naming until nothing may begin on an older one.
    std::chrono::milliseconds bound{0};
    // Place among the agents of the failure domain, in order of name.
    std::size_t rank = 0;
    // Agents of the failure domain.
    std::size_t agents = 1;
    // Time from a version's naming until it was whole here, as last seen.
    std::optional<std::chrono::milliseconds> arrival;
    // When a version was whole here, or is expected to be.
    std::function<std::optional<base::time_point>(std::uint64_t)> whole;
};

// The version that the engine goes to next. Usually the newest. Where one is
// named soon after another, a switch that is left out saves nearly a second of
// the engine's work; while it waits for the newest past the end of what it
// serves it is idle. So engines of the later half skip a version when the next
// one is there before that costs more than the switch, and those of the earlier
// half go there and carry the traffic meanwhile. If the newest comes early
// enough, all skip.
std::uint64_t choose_target(switch_context const& ask);

// The version to go to instead of the chosen one, when its chunks will not come
// before the version in use has ended: the newest of those between that is
// whole at this agent. Failure: the origin dies just after a second version was
// named, and engines that skipped the first serve nobody until it is back.
// `chunks_to_come` counts what is missing of a version here.
std::uint64_t choose_fallback_target(
    switch_context const& ask,
    std::uint64_t chosen,
    std::function<std::size_t(std::uint64_t)> const& chunks_to_come,
    base::time_point now);

// How long a missing chunk takes to come during a burst.
inline constexpr std::chrono::milliseconds chunk_interval{45};

// When the engine switches to the target, if the chunks are there. An engine
// that serves nothing does so at once. What runs there ends first: whatever is
// cut to go on elsewhere has its prompt read again, where there is no room to
// spare.
base::time_point
planned_switch_time(switch_context const& ask, std::uint64_t target);

} // namespace foxtailvale::weights

#endif
