#ifndef FOXTAILVALE_DIRECT_SHARES_HPP
#define FOXTAILVALE_DIRECT_SHARES_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

// Limits that hold for all entries together, split into fixed shares that each
// entry enforces by itself. Messages between entries are not timely while a
// zone is cut off, and a sum of fixed shares cannot be exceeded.
namespace foxtailvale::direct
{

// Fraction of a limit that is assigned as shares. The rest covers requests that
// are sent in one second and arrive in the next, and entries that have just
// started.
inline constexpr double assigned_fraction = 0.8;

// Number of entries that share a limit.
struct entry_count
{
    // Maximum number of entries seen alive at one time. Never decreases, since
    // an entry that is cut off continues to use its share.
    std::size_t max_seen = 0;
    // Used until an agent has reported which other entries subscribe to it.
    std::size_t assumed = 16;
    // When an agent first reported other entries.
    std::optional<base::time_point> known_since;
    // Maximum number of entries that asked an entry which watches the platform.
    std::size_t hinted = 0;
};

std::size_t sharers(entry_count const& count);

// Records how many entries were seen alive, how many of them are in this
// entry's failure domain, and the number of domains. Domains without known
// entries count as having as many entries as this one.
//
// Failure: the entries of a domain restart while the domain is cut off and know
// only each other. Each takes a third of a cold endpoint's capacity, and when
// the connection is restored the shares of all other entries come on top.
void note_entries(
    entry_count& count,
    std::size_t alive,
    std::size_t in_own_domain,
    std::size_t domains,
    base::time_point now);

// Limit on the requests to one endpoint over all entries, as while it is cold.
struct rate_bound
{
    // Requests in any second, over all entries.
    double per_second = 0;
    // Additional requests allowed in any second.
    double tolerance = 0;
};

// Whether there are more entries than an endpoint has shares, so that each
// entry sends to some of the endpoints only (see has_share).
bool is_divided(std::size_t entries, rate_bound const& bound);

// Returns how many of the entries to reckon with at one endpoint: those that
// have a share of it, and as many again, since entries that do not know all
// others yet may take themselves for one of them.
std::size_t entries_per_endpoint(std::size_t entries, rate_bound const& bound);

// Entries that take precedence at one endpoint.
struct entry_ranks
{
    // Entries of the endpoint's own failure domain; null while unknown.
    std::set<std::string> const* near = nullptr;
    // Entries of domains that have no endpoints of the service; null for none.
    std::set<std::string> const* without_endpoints = nullptr;
    // Identifies the set of entries above; differs for other sets.
    std::uint64_t without_key = 0;
};

// Whether this entry may send to the endpoint at all. If there are more entries
// than requests per second that a cold endpoint can handle, even one request
// from each is too much. Then only as many entries as the endpoint can handle
// send to it, and the others use other endpoints. The selection depends on the
// names alone and is the same at all entries that know the same set.
//
// Entries of the endpoint's own failure domain take precedence. When the shares
// were distributed over all entries alike, 40 entries could use half of the
// engines of their own domain for one request a second each, which is less than
// they receive, and the rest of their requests crossed the links between
// regions.
//
// Three tenths of the shares are reserved for entries of other domains, and
// among these first for entries whose domain has no endpoints. Failure: 30
// entries of each domain held all 20 shares of its engines, and when a domain
// lost its own engines its entries could not send anywhere.
bool has_share(
    std::set<std::string> const& entries,
    entry_ranks const& ranks,
    std::string const& own,
    std::string const& endpoint,
    rate_bound const& bound);

// Caches results of has_share for the entries known at the time, so that a
// placement does not rank all entries for all endpoints. Names of entries are
// only ever added, both overall and for each domain, so that the counts show
// whether the sets have changed. One cache serves one kind of bound.
struct share_cache
{
    struct cached_share
    {
        std::size_t entries = 0;
        std::size_t near = 0;
        std::uint64_t without_key = 0;
        // Shares of the endpoint's bound.
        std::size_t shares = 0;
        bool has = false;
    };

    // By endpoint.
    std::map<std::string, cached_share> by_endpoint;
    // Number of calls of the uncached has_share.
    std::size_t evaluations = 0;
};

// Cached form of has_share. `own` must be the same in all calls for an
// endpoint.
bool has_share(
    share_cache& cache,
    std::set<std::string> const& entries,
    entry_ranks const& ranks,
    std::string const& own,
    std::string const& endpoint,
    rate_bound const& bound);

// Least number of entries assumed while no agent has reported any: twice the
// number in the largest fleet.
inline constexpr std::size_t unknown_entries = 2048;

// Returns an upper estimate of the number of entries, for an entry that may
// know few of them, from the entries that agents reported and from the entries
// that asked a watcher, or from the listed endpoints of the service if none
// did.
std::size_t assumed_entries(entry_count const& count, std::size_t endpoints);

// Approximates has_share for an entry that may know few of the others: each
// entry gets a share by a hash, with a probability that fits the assumed number
// of entries. Failure: all processes of 45 entries are killed and restarted.
// For a second each entry knows only some of the others and overestimates its
// share, and a cold endpoint gets 39 requests in a second although it can
// handle 38.
bool has_estimated_share(
    std::string const& own,
    std::string const& endpoint,
    rate_bound const& bound,
    std::size_t assumed);

// Time from the first report on other entries until an entry knows all of them:
// agents are asked again after 1 s.
inline constexpr std::chrono::milliseconds newcomer_time{1500};

// Whether an entry may still know few of the others.
//
// Failures: no agent's report reached any of 45 entries, each assumed that
// there are few entries, and a cold endpoint got 45 requests in a second
// although it can handle 38. Entries start, agents start seconds later, and
// their first reports list few entries.
bool is_newcomer(entry_count const& count, base::time_point now);

// Whether this entry may send one more request to an endpoint to which it sent
// requests at these times. At most as many entries may call this for an
// endpoint as it can handle requests per second (see has_share).
//
// Protects an endpoint that turns cold during a burst. Entries learn of it up
// to 2 s later, so that the limit applies to warm endpoints too. With 8
// entries, 36 requests a second and a tolerance of 5, a share is 4 requests a
// second, more than twice the average rate that an endpoint's slots allow an
// entry.
bool may_send_within_share(
    std::deque<base::time_point> const& recent,
    rate_bound const& bound,
    std::size_t entries,
    base::time_point now);

} // namespace foxtailvale::direct

#endif
