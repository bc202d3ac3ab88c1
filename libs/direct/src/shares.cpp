#include <base/digest.hpp>
#include <direct/shares.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

// Returns the number of shares, in requests per second; at least one.
std::size_t share_count(rate_bound const& bound)
{
    auto const shares =
        assigned_fraction * (bound.per_second + bound.tolerance);
    return static_cast<std::size_t>(std::max(1.0, shares));
}

bool is_in(std::set<std::string> const* names, std::string const& name)
{
    return names != nullptr && names->contains(name);
}

// Whether this entry is among the first `count` entries in the endpoint's
// order. Only entries that pass the filter count. Stops as soon as the answer
// is certain, so that the time hardly grows with the number of entries.
template <typename Filter>
bool is_among_first(
    std::size_t count,
    std::string const& own,
    std::string const& endpoint,
    std::set<std::string> const& entries,
    Filter const& counts)
{
    auto const rank = [&endpoint](std::string const& entry)
    {
        return base::stable_hash(entry + "/" + endpoint);
    };
    auto const own_rank = rank(own);
    std::size_t before = 0;
    for (auto const& entry : entries)
    {
        if (before >= count)
        {
            return false;
        }
        before += rank(entry) < own_rank && counts(entry) ? 1 : 0;
    }
    return before < count;
}

} // namespace

std::size_t sharers(entry_count const& count)
{
    return count.max_seen > 0 ? count.max_seen : count.assumed;
}

void note_entries(
    entry_count& count,
    std::size_t alive,
    std::size_t in_own_domain,
    std::size_t domains,
    base::time_point now)
{
    count.known_since = count.known_since.value_or(now);
    count.max_seen = std::max({count.max_seen, alive, in_own_domain * domains});
}

bool is_divided(std::size_t entries, rate_bound const& bound)
{
    return bound.per_second > 0 && entries > share_count(bound);
}

std::size_t entries_per_endpoint(std::size_t entries, rate_bound const& bound)
{
    constexpr std::size_t margin = 2;
    return is_divided(entries, bound)
               ? std::min(entries, margin * share_count(bound))
               : entries;
}

bool has_share(
    std::set<std::string> const& entries,
    entry_ranks const& ranks,
    std::string const& own,
    std::string const& endpoint,
    rate_bound const& bound)
{
    auto const shares = share_count(bound);
    if (!is_divided(entries.size(), bound))
    {
        return true;
    }
    auto const near = ranks.near == nullptr ? 0 : ranks.near->size();
    auto const far = entries.size() - std::min(near, entries.size());
    auto const reserved = std::min(far, shares * 3 / 10);
    auto const near_shares = std::min(near, shares - reserved);
    if (is_in(ranks.near, own))
    {
        return is_among_first(
            near_shares, own, endpoint, *ranks.near,
            [](std::string const&)
            {
                return true;
            });
    }
    auto const far_shares = shares - near_shares;
    auto const is_preferred = [&](std::string const& entry)
    {
        return is_in(ranks.without_endpoints, entry) &&
               !is_in(ranks.near, entry);
    };
    if (is_preferred(own))
    {
        return is_among_first(
            far_shares, own, endpoint, *ranks.without_endpoints, is_preferred);
    }
    auto const preferred =
        ranks.without_endpoints == nullptr
            ? 0
            : std::ranges::count_if(*ranks.without_endpoints, is_preferred);
    auto const taken = static_cast<std::size_t>(preferred);
    return taken < far_shares && is_among_first(
                                     far_shares - taken, own, endpoint, entries,
                                     [&](std::string const& entry)
                                     {
                                         return !is_in(ranks.near, entry) &&
                                                !is_preferred(entry);
                                     });
}

bool has_share(
    share_cache& cache,
    std::set<std::string> const& entries,
    entry_ranks const& ranks,
    std::string const& own,
    std::string const& endpoint,
    rate_bound const& bound)
{
    auto const near = ranks.near == nullptr ? 0 : ranks.near->size();
    auto& known = cache.by_endpoint[endpoint];
    auto const shares = share_count(bound);
    if (known.entries != entries.size() || known.near != near ||
        known.without_key != ranks.without_key || known.shares != shares)
    {
        ++cache.evaluations;
        known = {
            entries.size(), near, ranks.without_key, shares,
            has_share(entries, ranks, own, endpoint, bound)};
    }
    return known.has;
}

std::size_t assumed_entries(entry_count const& count, std::size_t endpoints)
{
    // Fleets have about as many entries as engines, or fewer.
    auto const others = count.hinted > 0 ? count.hinted : endpoints;
    if (count.max_seen == 0)
    {
        return std::max(unknown_entries, others * 3 / 2);
    }
    return std::max({2 * count.max_seen, others * 3 / 2, count.assumed});
}

bool has_estimated_share(
    std::string const& own,
    std::string const& endpoint,
    rate_bound const& bound,
    std::size_t assumed)
{
    if (!is_divided(assumed, bound))
    {
        return true;
    }
    // The same order of entries as in has_share, so that an entry which has an
    // estimated share also has one once it knows the others.
    constexpr auto ranks = std::numeric_limits<std::uint64_t>::max();
    return base::stable_hash(own + "/" + endpoint) <
           ranks / assumed * share_count(bound);
}

bool is_newcomer(entry_count const& count, base::time_point now)
{
    return !count.known_since || now - *count.known_since < newcomer_time;
}

bool may_send_within_share(
    std::deque<base::time_point> const& recent,
    rate_bound const& bound,
    std::size_t entries,
    base::time_point now)
{
    if (bound.per_second <= 0)
    {
        return true;
    }
    auto const shares = share_count(bound);
    auto const sharing = std::clamp<std::size_t>(entries, 1, shares);
    auto const allowed = shares / sharing;
    auto const begun = std::ranges::count_if(
        recent,
        [now](base::time_point at)
        {
            return now - at <= std::chrono::seconds(1);
        });
    return static_cast<std::size_t>(begun) < allowed;
}

} // namespace foxtailvale::direct
