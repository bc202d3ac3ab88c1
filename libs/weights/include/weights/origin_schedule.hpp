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

// Which agents of a fleet fetch which chunks of a version from the origin, and
// when. The origin accepts a few dozen connections and its link can carry a few
// copies, whatever the size of the fleet. Therefore a few agents fetch, each
// over one persistent connection, and all others get the chunks from agents.
// All agents compute the same schedule from the same list, without
// communication.
//
// Failure: each of 64 chunks was fetched by another of 88 agents, and each
// agent kept its connection. The origin accepts 48 connections; later ones were
// reset and their agents backed off, and then the origin was down for six
// seconds. The fleet lacked its first copy, although the origin's link needs
// only 1.7 s to send one.
namespace foxtailvale::weights
{

// Limits of the origin, from the configuration.
struct origin_limits
{
    // Bandwidth of its link in bytes a second; zero if unknown.
    double bytes_per_second = 0;
    // Connections that it accepts in total; zero if unknown.
    std::uint32_t connections = 0;
};

// Schedule of the fetches of one version from the origin.
struct origin_fetch_schedule
{
    // All agents that need the version. The failure domains alternate, so that
    // the first few agents cover all domains.
    std::vector<std::string> order;
    // Number of agents, from the front of `order`, that fetch at first.
    std::size_t fetchers = 1;
    // Number of failure domains that need the version.
    std::size_t domains = 1;
    // Time slot of the first chunk; each further chunk follows one interval
    // later.
    base::time_point start;
    std::chrono::microseconds interval{0};
};

// Number of agents that fetch at first: a quarter of the connections that the
// origin accepts, which leaves room for substitutes, for connections that are
// not closed yet and for other clients of the origin. At most sixteen, so that
// an agent's own link can keep up with passing on the chunks that it fetches.
std::size_t count_fetchers(origin_limits const& origin, std::size_t agents);

// The schedule of a version that was announced at `start`.
origin_fetch_schedule plan_origin_fetches(
    plan_set const& fleet,
    origin_limits const& origin,
    std::uint32_t chunk_bytes,
    base::time_point start);

// The agent that is first to fetch the chunk; empty in an empty fleet.
std::string
origin_fetcher_of(origin_fetch_schedule const& schedule, std::uint32_t chunk);

// How many other agents fetch the chunk before this agent does; zero for the
// chunk's own fetcher. Nothing for an agent that is not in the schedule.
std::optional<std::size_t> turn_of(
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    std::uint32_t chunk);

// When the agent with this turn fetches the chunk if it has not arrived by
// then. The chunk's own fetcher does so in the chunk's time slot, each
// substitute one second after the one before it. Substitutes count from when
// they themselves began, so that an agent that starts late waits just as long
// for the others. Failure: the fetcher is cut off from the origin, dead or slow
// to start.
base::time_point origin_fetch_time(
    origin_fetch_schedule const& schedule,
    std::size_t turn,
    std::uint32_t chunk,
    base::time_point begun);

// Agents whose turn at the chunk precedes this one, the chunk's own fetcher
// first.
std::vector<std::string> earlier_fetchers(
    origin_fetch_schedule const& schedule,
    std::size_t turn,
    std::uint32_t chunk);

// Whether the agent may request the version's manifest from the origin yet. The
// first agent of each failure domain may do so at once, the other fetchers half
// a second later, and the remaining agents in groups of that size every two
// seconds. Failure: when all fetchers requested the manifest at once, the last
// responses were queued behind the first chunks.
bool may_request_manifest(
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    base::time_point begun,
    base::time_point now);

// Time-out of a fetch from the origin after this many consecutive failures:
// four times the duration when all fetchers fetch at once, doubled after each
// failure. Failure: the origin loses power and does not respond; a fetch
// without a time-out keeps waiting after the origin is back.
std::chrono::milliseconds origin_fetch_timeout(
    origin_fetch_schedule const& schedule, std::uint32_t failures);

} // namespace foxtailvale::weights

#endif
