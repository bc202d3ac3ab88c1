#ifndef FOXTAILVALE_DIRECT_RETRY_BUDGET_HPP
#define FOXTAILVALE_DIRECT_RETRY_BUDGET_HPP

#include <base/ids.hpp>
#include <direct/shares.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

// The budget from which all entries together send requests of one service once
// more. Each entry spends a part of its own that needs no messages.
//
// Failure: entries are killed or stopped several times in ten seconds, and each
// new process spends the fixed number once more. What a process spends may
// therefore follow only from what it has seen itself: its share of the requests
// from the first one on, and the fixed number once it has run for a whole
// window, as its predecessor can have spent nothing in that window.
//
// Failure: callers move from some entries to others. If requests back retries
// for a whole window, those before the move back the retries of the first
// entries and those after it the retries of the others in the same window, up
// to twice what is allowed. A retry is therefore paid from one of several
// sources, and the sum over all entries of what each of them pays in any window
// follows from requests of one and the same window, wherever the callers were.
namespace foxtailvale::direct
{

// Limit on the retries of one service over all entries: a share of the requests
// in the window plus a fixed number.
struct retry_bound
{
    double ratio = 0.2;
    std::chrono::seconds window{10};
    double slack = 0;
};

// What pays for a retry, in the order in which they are asked.
enum class retry_source : std::uint8_t
{
    // Requests of the last second. In any window, those of all entries together
    // pay for a share of the requests in that window.
    recent_requests,
    // The same with a smaller share, for retries whose request has an earlier
    // attempt that may still arrive. The arrival beyond the first is then that
    // attempt, up to max_hold after the retry, so that requests of two windows
    // pay for the arrivals in one.
    held_requests,
    // The least number of requests that this entry had in any window that ended
    // in the last one. Whenever a retry of a window is sent, the window that
    // ended as that one began is among them, so that all entries together pay
    // for a share of the requests in that one.
    steady_requests,
    // The entry's part of the fixed number.
    fixed_number,
};

inline constexpr std::size_t retry_sources = 4;

// Returns the name that logs use.
std::string_view name_of(retry_source source);

// What is known of a request's earlier attempts when a retry is asked for.
enum class earlier_attempts : std::uint8_t
{
    // They have arrived, or never will.
    settled,
    // One was given up whose bytes the link or the endpoint holds.
    held,
};

// Bytes that were written may reach the endpoint this much later, also after
// the end of the process that wrote them.
inline constexpr std::chrono::milliseconds max_flight{1000};

// The bytes of an attempt that this entry gave up may reach the endpoint this
// much later, once the link between the two moves again. Failure: a link stands
// still for seconds, requests on it are given up and repeated elsewhere, and
// then all first attempts arrive at one moment, together with the retries of
// the next window.
inline constexpr std::chrono::milliseconds max_hold{10000};

// Returns what is known of a request whose held attempts have arrived by a time
// that may lie ahead. Every window allows for the last max_flight before that.
earlier_attempts state_at(base::time_point held_until, base::time_point now);

// Retries that one source has paid for. Failure: retries that were counted by
// whole seconds dropped out of the count up to 1 s early, so that a window of
// 10 s could hold twice the allowed number.
//
// Failure: a retry that waits, or whose link stands still, arrives long after
// the decision. Counted from the decision, those that were held up arrived
// together with those of the next window.
struct paid_retries
{
    // Granted, and may still arrive.
    std::size_t on_the_way = 0;
    // By when others had arrived, oldest first.
    std::deque<base::time_point> arrived;
};

// Requests of this entry by time, and its retries.
struct retry_budget
{
    static constexpr std::chrono::milliseconds slot_length{250};
    static constexpr std::size_t max_slots = 256;
    // Two windows and a slot are kept. A longer window counts as this long.
    static constexpr std::chrono::seconds max_window{31};

    // When the process started.
    base::time_point started;
    std::array<std::uint32_t, max_slots> requests{};
    // The newest slot, counted from the clock's epoch.
    std::int64_t slot = 0;
    // Number of recent requests that have not paid for a retry, for each source
    // of which they are part.
    std::array<double, retry_sources> unspent{};
    // By source.
    std::array<paid_retries, retry_sources> paid;
};

// What a decision about a retry is based on.
struct retry_budget_state
{
    // Retries of this process that are on the way or arrived in the window, and
    // its requests in the window.
    std::size_t spent = 0;
    std::size_t requests = 0;
    // The least number of its requests in any window that ended within the last
    // one.
    std::size_t steady = 0;
    // Number of retries that this process may have in the window.
    double allowed = 0;
    // Number of further retries for which each source can pay.
    std::array<double, retry_sources> left{};
    // Number of entries between which the fixed number is divided.
    std::size_t entries = 0;
    // Time since the process started.
    std::chrono::milliseconds running{0};
};

// Counts a request by when it arrived at this machine, also if it is read
// later. Failure: a process stands still for seconds, reads what came meanwhile
// at once, and these requests pay for retries of the window in which it wakes
// as if clients had sent them there.
void note_request(
    retry_budget& budget, base::time_point arrived, base::time_point now);

// Returns the budget's state; drops what has left the window.
retry_budget_state state_of(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now);

// Grants one retry of this entry's part. Returns what pays for it, nothing if
// none is left. Each one that is granted must end with one of the two functions
// below.
std::optional<retry_source> spend_retry(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    earlier_attempts earlier,
    base::time_point now);

// Records that a granted retry has arrived by this time, which may lie ahead.
void note_retry_arrived(
    retry_budget& budget, retry_source source, base::time_point by);

// Gives back a granted retry of which nothing was sent.
void return_retry(
    retry_budget& budget, retry_bound const& bound, retry_source source);

} // namespace foxtailvale::direct

#endif
