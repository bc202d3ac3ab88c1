#ifndef FOXTAILVALE_SCHEDULING_RETURNS_HPP
#define FOXTAILVALE_SCHEDULING_RETURNS_HPP

#include <base/ids.hpp>
#include <base/random.hpp>

#include <scheduling/service_load.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Promises to refused callers: each is told when to return, and a request that
// returns at that time has a claim on the capacity that is expected by then.
namespace foxtailvale::scheduling
{

// Identifies a request that is sent again; zero stands for none.
using request_print = std::uint64_t;

// New requests that start for each place. With more, returning requests hold
// less of the capacity, and fewer refused callers are promised a time.
inline constexpr double starts_per_place = 1;

// Time between a refusal and the first place.
inline constexpr std::chrono::milliseconds least_return_delay{400};

// Maximum time between a refusal and a place; request::refusal_retention has
// the reason.
inline constexpr std::chrono::milliseconds longest_return_delay{3000};

// A request that returns this much before its time is not early.
inline constexpr std::chrono::milliseconds early_tolerance{50};

// Time after which a promise that was not used expires.
inline constexpr std::chrono::milliseconds promise_retention{1000};

// Promises of other entries that are due later than this are ignored.
inline constexpr std::chrono::milliseconds max_promise_delay{10000};

// Maximum number of promises kept; when reached, no promise is made.
inline constexpr std::size_t max_promises = 4096;

// A promise, or its use, as entries tell each other.
struct return_notice
{
    request_print request = 0;
    // Distinguishes the promises given for one request.
    std::uint32_t number = 0;
    std::uint32_t rank = 0;
    std::chrono::milliseconds due_in{0};
    bool used = false;

    bool operator==(return_notice const&) const = default;
};

// Why another entry's notice is ignored.
enum class promise_fault
{
    no_request,
    due_too_late,
    table_full,
};

char const* to_string(promise_fault fault);

// Identifies a promise.
struct promise_key
{
    request_print request = 0;
    std::uint32_t number = 0;

    auto operator<=>(promise_key const&) const = default;
};

// A promise of this or another entry. A used one is kept until it expires.
// Failure: a notice that came late gave a caller the same claim again.
struct promised_return
{
    std::uint32_t rank = 0;
    base::time_point due;
    bool used = false;
};

// Requests of one service and rank, which share a sequence of places.
struct place_group
{
    std::string service;
    std::uint32_t rank = 0;

    auto operator<=>(place_group const&) const = default;
};

// Cost of a kept return that was sent to an endpoint.
struct started_return
{
    base::time_point begun;
    place_group group;
    std::chrono::microseconds cost{0};
};

// The promises that an entry knows, and the places that it gives next.
struct return_book
{
    std::map<promise_key, promised_return> promises;
    // All promises by due time.
    std::set<std::pair<base::time_point, promise_key>> order;
    // First place that was not given yet.
    std::map<place_group, base::time_point> next_place;
    // Kept returns started in the last load_window, oldest first.
    std::deque<started_return> started;
    // Promises given or used here, which the other entries were not told yet.
    std::vector<promise_key> unsent;
    // Part of the interval between two places by which this entry's callers
    // return later, from zero to below one. It differs between entries, so that
    // their callers do not return together.
    double phase = 0;
    base::random_state random;
};

// A refused request for which a place is sought.
struct place_query
{
    request_print request = 0;
    place_group group;
    // Time in which the capacity for one such request becomes available.
    std::chrono::microseconds spacing{0};
    // Maximum time until the place that the caller accepts.
    std::chrono::milliseconds longest{0};
};

// Returns the interval between places of requests of the group that cost this:
// the time in which this entry starts requests worth as much, by those that it
// started in the last second. An entry that started none goes by an equal part
// of what the entries started together. Empty if nothing is known to start.
// Kept returns do not count. Failure: their starts gave further places, until
// returning requests held all capacity and no new request was answered within
// its goal.
std::optional<std::chrono::microseconds> place_spacing(
    return_book const& book,
    service_load const& load,
    place_group const& group,
    std::chrono::microseconds cost,
    base::time_point now);

// Gives the request the next place and returns the time until then; empty when
// the places within the longest time are given, when the table is full or when
// a promise for this request is still open.
std::optional<std::chrono::milliseconds> promise_return(
    return_book& book, place_query const& query, base::time_point now);

// Records another entry's notice. Returns why it is ignored, if it is.
std::optional<promise_fault> note_promise(
    return_book& book, return_notice const& notice, base::time_point now);

enum class return_claim
{
    none,
    // Promises exist, but all are due later.
    early,
    kept,
};

// Returns whether a request that arrives now keeps to a promise, which is then
// used.
return_claim
claim_return(return_book& book, request_print request, base::time_point now);

// Counts a kept return that was sent to an endpoint.
void note_return_started(
    return_book& book,
    place_group const& group,
    std::chrono::microseconds cost,
    base::time_point now);

// Returns the notices of promises given or used here since the last call.
std::vector<return_notice> take_unsent(return_book& book, base::time_point now);

// Removes promises that are past their retention.
void expire(return_book& book, base::time_point now);

// Brings all times forward by the time for which the machine was suspended,
// during which the steady clock did not advance.
void note_suspended(return_book& book, std::chrono::milliseconds suspended);

} // namespace foxtailvale::scheduling

#endif
