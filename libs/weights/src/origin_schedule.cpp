#include <weights/origin_schedule.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t connection_share = 4;
constexpr std::size_t most_drawers = 16;

// Where the origin does not say how many connections it accepts.
constexpr std::uint32_t unsaid_connections = 32;

// Between the turns of a chunk's fetchers. A chunk is with its drawer a tenth
// of a second after its slot; the rest covers a drawer that learns of the
// version half a second late.
constexpr milliseconds turn_time{1000};

// Between the agents that may ask for the manifest and the next as many.
constexpr milliseconds manifest_turn_time{2000};
constexpr milliseconds other_drawers_time{500};

// Slightly faster than the link, so that it is never idle.
constexpr double haste = 0.95;

constexpr int draw_slack = 4;
constexpr milliseconds shortest_limit{800};
constexpr milliseconds longest_limit{4000};
constexpr std::uint32_t most_doublings = 3;

std::size_t
place_of(origin_fetch_schedule const& schedule, std::string const& agent)
{
    auto const found = std::ranges::find(schedule.order, agent);
    return static_cast<std::size_t>(found - schedule.order.begin());
}

} // namespace

std::size_t count_drawers(origin_limits const& origin, std::size_t agents)
{
    auto const accepted =
        origin.connections > 0 ? origin.connections : unsaid_connections;
    auto const wanted =
        std::clamp<std::size_t>(accepted / connection_share, 1, most_drawers);
    return std::min(wanted, std::max<std::size_t>(agents, 1));
}

origin_fetch_schedule plan_origin_fetches(
    plan_set const& fleet,
    origin_limits const& origin,
    std::uint32_t chunk_bytes,
    base::time_point start)
{
    origin_fetch_schedule schedule;
    std::size_t longest = 0;
    for (auto const& [domain, plan] : fleet)
    {
        longest = std::max(longest, plan.endpoints.size());
    }
    for (std::size_t place = 0; place < longest; ++place)
    {
        for (auto const& [domain, plan] : fleet)
        {
            if (place < plan.endpoints.size())
            {
                schedule.order.push_back(plan.endpoints[place].agent);
            }
        }
    }
    schedule.domains = std::max<std::size_t>(1, fleet.size());
    schedule.fetchers = count_drawers(origin, schedule.order.size());
    schedule.start = start;
    if (origin.bytes_per_second > 0)
    {
        schedule.interval = std::chrono::microseconds(static_cast<std::int64_t>(
            haste * 1e6 * chunk_bytes / origin.bytes_per_second));
    }
    return schedule;
}

std::string
origin_fetcher_of(origin_fetch_schedule const& schedule, std::uint32_t chunk)
{
    return schedule.order.empty() ? std::string()
                                  : schedule.order[chunk % schedule.fetchers];
}

std::optional<std::size_t> turn_of(
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    std::uint32_t chunk)
{
    auto const place = place_of(schedule, agent);
    if (place == schedule.order.size())
    {
        return std::nullopt;
    }
    if (place >= schedule.fetchers)
    {
        return place;
    }
    auto const first = chunk % schedule.fetchers;
    return (place + schedule.fetchers - first) % schedule.fetchers;
}

base::time_point origin_fetch_time(
    origin_fetch_schedule const& schedule,
    std::size_t turn,
    std::uint32_t chunk,
    base::time_point begun)
{
    auto const slot = schedule.start + chunk * schedule.interval;
    return turn == 0
               ? slot
               : std::max(slot, begun) + turn_time * static_cast<int>(turn);
}

std::vector<std::string> earlier_fetchers(
    origin_fetch_schedule const& schedule,
    std::size_t turn,
    std::uint32_t chunk)
{
    std::vector<std::string> found;
    auto const count = std::min(turn, schedule.fetchers);
    for (std::size_t step = 0; step < count; ++step)
    {
        found.push_back(schedule.order[(chunk + step) % schedule.fetchers]);
    }
    return found;
}

bool may_request_manifest(
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    base::time_point begun,
    base::time_point now)
{
    auto const place = place_of(schedule, agent);
    if (place < schedule.fetchers)
    {
        return place < schedule.domains || now >= begun + other_drawers_time;
    }
    auto const group = static_cast<int>(place / schedule.fetchers);
    return now >= begun + manifest_turn_time * group;
}

std::chrono::milliseconds origin_fetch_timeout(
    origin_fetch_schedule const& schedule, std::uint32_t failures)
{
    auto const all_at_once = std::chrono::duration_cast<milliseconds>(
        schedule.interval * static_cast<int>(schedule.fetchers));
    auto const limit = std::max(draw_slack * all_at_once, shortest_limit);
    return std::min(
        limit * (1 << std::min(failures, most_doublings)), longest_limit);
}

} // namespace foxtailvale::weights
