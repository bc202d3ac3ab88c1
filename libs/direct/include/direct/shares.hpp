#ifndef FOXTAILVALE_DIRECT_SHARES_HPP
#define FOXTAILVALE_DIRECT_SHARES_HPP

#include <base/ids.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

// Bounds that hold for all entries together, cut into parts that each entry
// keeps by itself: no message between entries is in time when a zone is cut
// off, and a sum of fixed parts cannot be exceeded.
namespace foxtailvale::direct
{

// How many entries share a bound.
struct entry_count
{
    // The most that were seen alive at one time; never fewer, since an entry
    // that is cut off goes on using its part.
    std::size_t most_seen = 0;
    // Assumed until an agent has told who else asks it for reports.
    std::size_t assumed = 16;
    // When one told first.
    std::optional<base::time_point> told;
    // The most that asked an entry which watches the platform.
    std::size_t hinted = 0;
};

std::size_t sharers(entry_count const& count);

// Notes how many entries were seen alive, and how many of them stand in the own
// failure domain, of so many domains. Domains that were not heard of count as
// having as many entries. Failure: the entries of a domain start anew while it
// is cut off and know of each other only; each takes a third of what a cold
// endpoint bears, and when the cut heals the others' parts come on top.
void note_entries(
    entry_count& count,
    std::size_t alive,
    std::size_t in_own_domain,
    std::size_t domains,
    base::time_point now);

// Bound on what a cold endpoint gets.
struct cold_bound
{
    // Requests in any second, over all entries.
    double per_second = 0;
    // Requests in any second on top of it.
    double tolerance = 0;
};

// Entries that come before others at one endpoint.
struct entry_ranks
{
    // Of the endpoint's own failure domain; null while not known.
    std::set<std::string> const* near = nullptr;
    // Of domains that have no endpoints of the service; null for none.
    std::set<std::string> const* without_endpoints = nullptr;
    // Differs for other such entries.
    std::uint64_t without_key = 0;
};

// Whether this entry sends to the endpoint at all. Where there are more entries
// than a cold endpoint bears requests a second, each sending a single one is
// too much: as many entries as it bears send there, others to other endpoints.
// Which they are follows from the names alone, the same for all that know the
// same entries. Those of the endpoint's own failure domain come first: with the
// parts drawn from all alike, 40 entries could use half of the engines of their
// own domain for one request a second each, which is less than they get, and
// what they sent elsewhere crossed the links between regions.
//
// Three tenths are kept for entries of other domains, of these first for those
// whose domain has no endpoints at all. Failure: 30 entries of each domain took
// all 20 parts of its engines, and when a domain lost its own engines its
// entries could send nowhere.
bool has_part(
    std::set<std::string> const& entries,
    entry_ranks const& ranks,
    std::string const& own,
    std::string const& endpoint,
    cold_bound const& bound);

// What has_part said of endpoints for the entries that were known then, so that
// a choice does not rank all entries for all endpoints. Names of all entries
// and of a domain's are only ever added, so their counts tell whether they
// changed.
struct share_cache
{
    struct answer
    {
        std::size_t entries = 0;
        std::size_t near = 0;
        std::uint64_t without_key = 0;
        bool has = false;
    };

    // By endpoint.
    std::map<std::string, answer> answers;
    // How often has_part was asked.
    std::size_t asked = 0;
};

// The same as has_part, from memory where it can be. `own` and `bound` are the
// same in all calls for an endpoint.
bool has_part(
    share_cache& memory,
    std::set<std::string> const& entries,
    entry_ranks const& ranks,
    std::string const& own,
    std::string const& endpoint,
    cold_bound const& bound);

// More entries than any fleet is made for.
inline constexpr std::size_t max_entries = 512;

// How many entries there may be, for one that may know few of them:
// max_entries when no agent told of any, else from those told of and those
// that asked a watcher, or the listed endpoints of the service if none did.
std::size_t assumed_entries(entry_count const& count, std::size_t endpoints);

// The same as has_part for an entry that may know few of the others: by lot, as
// if there were so many. Failure: all processes of 45 entries are killed; for a
// second each knows some of the others, takes its part for large, and a cold
// endpoint got 39 requests in a second where it bears 38.
bool has_estimated_share(
    std::string const& own,
    std::string const& endpoint,
    cold_bound const& bound,
    std::size_t assumed);

// From the first word of others until an entry knows all: agents are asked
// again after a second.
inline constexpr std::chrono::milliseconds newcomer_time{1500};

// Whether an entry may know few of the others still. Failures: no agent's
// report reached any of 45 entries, each took itself for one of few, and a cold
// endpoint got 45 requests in a second where it bears 38; entries start, agents
// come seconds later, and their first word names few.
bool is_newcomer(entry_count const& count, base::time_point now);

// Whether this entry may send one more to an endpoint to which it sent at
// these moments; at most as many entries as the endpoint bears requests a
// second may ask. Made for a burst that meets an endpoint which has just turned
// cold: entries hear of it up to two seconds later, so the part is kept for
// warm endpoints too. At 8 entries, 36 a second and a tolerance of 5 a part is
// 5 a second, three times what an endpoint's slots let through on average.
bool may_send_within_part(
    std::deque<base::time_point> const& recent,
    cold_bound const& bound,
    std::size_t entries,
    base::time_point now);

// Repeats of one service, over all entries: at most a share of the requests of
// the window and a fixed number on top.
struct retry_bound
{
    double ratio = 0.2;
    std::chrono::seconds window{10};
    double slack = 0;
};

// Requests of this entry by second, and the moments of its repeats, oldest
// first. Failure: repeats counted by second too dropped out of the count up to
// a second early, and any ten seconds could hold twice what they may.
struct retry_window
{
    static constexpr std::size_t most_seconds = 32;
    std::array<std::uint32_t, most_seconds> requests{};
    std::int64_t second = 0;
    std::deque<base::time_point> repeats;
};

void note_request(retry_window& state, base::time_point now);

// Spends one repeat, or says that there is none left.
bool spend_retry(
    retry_window& state,
    retry_bound const& bound,
    std::size_t entries,
    base::time_point now);

} // namespace foxtailvale::direct

#endif
