#include <weights/origin_schedule.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t connection_share = 4;
constexpr std::size_t max_fetchers = 16;

// Assumed when the configuration does not say how many connections the origin
// accepts.
constexpr std::uint32_t default_connections = 32;

// Interval between the turns of a chunk's fetchers. A chunk reaches its fetcher
// a tenth of a second after its time slot; the rest covers a fetcher that
// learns of the version half a second late.
constexpr milliseconds turn_interval{1000};

// Interval between groups of agents that may request the manifest, and the
// delay of the fetchers that do not request it at once.
constexpr milliseconds manifest_group_interval{2000};
constexpr milliseconds other_fetchers_delay{500};

// Fetches are scheduled slightly faster than the link can serve them, so that
// the link is never idle.
constexpr double interval_factor = 0.95;

constexpr int timeout_slack = 4;
constexpr milliseconds min_timeout{800};
constexpr milliseconds max_timeout{4000};
constexpr std::uint32_t max_doublings = 3;

std::size_t
position_of(origin_fetch_schedule const& schedule, std::string const& agent)
{
    auto const found = std::ranges::find(schedule.order, agent);
    return static_cast<std::size_t>(found - schedule.order.begin());
}

} // namespace

std::size_t count_fetchers(origin_limits const& origin, std::size_t agents)
{
    auto const accepted =
        origin.connections > 0 ? origin.connections : default_connections;
    auto const wanted =
        std::clamp<std::size_t>(accepted / connection_share, 1, max_fetchers);
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
    for (std::size_t position = 0; position < longest; ++position)
    {
        for (auto const& [domain, plan] : fleet)
        {
            if (position < plan.endpoints.size())
            {
                schedule.order.push_back(plan.endpoints[position].agent);
            }
        }
    }
    schedule.domains = std::max<std::size_t>(1, fleet.size());
    schedule.fetchers = count_fetchers(origin, schedule.order.size());
    schedule.start = start;
    if (origin.bytes_per_second > 0)
    {
        schedule.interval = std::chrono::microseconds(static_cast<std::int64_t>(
            interval_factor * 1e6 * chunk_bytes / origin.bytes_per_second));
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
    auto const position = position_of(schedule, agent);
    if (position == schedule.order.size())
    {
        return std::nullopt;
    }
    if (position >= schedule.fetchers)
    {
        return position;
    }
    auto const first = chunk % schedule.fetchers;
    return (position + schedule.fetchers - first) % schedule.fetchers;
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
               : std::max(slot, begun) + turn_interval * static_cast<int>(turn);
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
    auto const position = position_of(schedule, agent);
    if (position < schedule.fetchers)
    {
        return position < schedule.domains ||
               now >= begun + other_fetchers_delay;
    }
    auto const group = static_cast<int>(position / schedule.fetchers);
    return now >= begun + manifest_group_interval * group;
}

std::chrono::milliseconds origin_fetch_timeout(
    origin_fetch_schedule const& schedule, std::uint32_t failures)
{
    auto const concurrent_fetch_time = std::chrono::duration_cast<milliseconds>(
        schedule.interval * static_cast<int>(schedule.fetchers));
    auto const timeout =
        std::max(timeout_slack * concurrent_fetch_time, min_timeout);
    return std::min(
        timeout * (1 << std::min(failures, max_doublings)), max_timeout);
}

} // namespace foxtailvale::weights
