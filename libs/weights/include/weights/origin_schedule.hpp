#ifndef FOXTAILVALE_WEIGHTS_ORIGIN_SCHEDULE_HPP
#define FOXTAILVALE_WEIGHTS_ORIGIN_SCHEDULE_HPP

#include <base/ids.hpp>
#include <weights/forest.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Which agents of a fleet draw which chunks of a version from the origin, and
// when. Made for a burst at any number of agents: the origin accepts a few
// dozen connections and its link carries a few copies, so a few agents draw,
// each over one connection that it keeps, and all others are handed the chunks.
// All agents work this out alike from the same list and talk to nobody about
// it.
//
// Failure: each of 64 chunks was drawn by another of 88 agents. Each kept its
// connection, the origin accepts 48, and those that came later were reset and
// backed off while the origin was about to die for six seconds. Seen as a fleet
// that missed its first copy, although the origin's link needs 1.7 s for one.
namespace foxtailvale::weights
{

// What the configuration says of the origin.
struct origin_limits
{
    // Bytes a second of its link; zero if not said.
    double bytes_per_second = 0;
    // Connections that it accepts from all together; zero if not said.
    std::uint32_t connections = 0;
};

// One version's draws.
struct origin_fetch_schedule
{
    // All agents that want the version, the failure domains by turns, so that
    // the first few stand in all of them.
    std::vector<std::string> order;
    // So many of them draw at first.
    std::size_t fetchers = 1;
    // So many failure domains want the version.
    std::size_t domains = 1;
    // The draws begin then, each chunk one interval after the one before.
    base::time_point start;
    std::chrono::microseconds interval{0};
};

// Agents that draw at first: a quarter of the connections that the origin
// accepts, which leaves room for those who stand in, for connections that are
// not closed yet and for whoever else asks the origin; sixteen at the most,
// since each then hands on so few chunks first that its own link keeps up.
std::size_t count_drawers(origin_limits const& origin, std::size_t agents);

// The schedule of a version that was named at `start`.
origin_fetch_schedule plan_origin_fetches(
    plan_set const& fleet,
    origin_limits const& origin,
    std::uint32_t chunk_bytes,
    base::time_point start);

// The agent that draws the chunk first; empty in an empty fleet.
std::string
origin_fetcher_of(origin_fetch_schedule const& schedule, std::uint32_t chunk);

// How many others draw the chunk before this agent does; zero for its drawer.
// Nothing for an agent that the schedule does not know.
std::optional<std::size_t> turn_of(
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    std::uint32_t chunk);

// When the agent draws the chunk if it has not come by then: its drawer in the
// chunk's own time slot, each later one a second after the one before it,
// counted from when the agent itself began, so that an agent that starts late
// waits for the others as long. Failure: the drawer is cut off from the origin,
// dead or slow to start.
base::time_point origin_fetch_time(
    origin_fetch_schedule const& schedule,
    std::size_t turn,
    std::uint32_t chunk,
    base::time_point begun);

// Agents whose turn comes before this one's, the drawer first.
std::vector<std::string> earlier_fetchers(
    origin_fetch_schedule const& schedule,
    std::size_t turn,
    std::uint32_t chunk);

// Whether the agent may ask the origin for the version's manifest by now: the
// first of each failure domain at once, the other fetchers half a second later,
// of the others as many more every other second. Failure: with all fetchers at
// once, the last of their manifests stood behind the first ones' chunks.
bool may_request_manifest(
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    base::time_point begun,
    base::time_point now);

// How long a draw may take before it is given up, after so many failures in a
// row: four times what it takes when all fetchers draw at once, and twice as
// much after each failure. Failure: the origin loses power and answers nothing;
// a draw that waits for it goes on waiting after it is back.
std::chrono::milliseconds origin_fetch_timeout(
    origin_fetch_schedule const& schedule, std::uint32_t failures);

} // namespace foxtailvale::weights

#endif
