#ifndef FOXTAILVALE_DIRECT_RETRY_BUDGET_HPP
#define FOXTAILVALE_DIRECT_RETRY_BUDGET_HPP

#include <base/ids.hpp>
#include <direct/shares.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

// The budget from which all entries together send requests of one service once
// more. Each entry spends a part of its own that needs no messages.
//
// Failure: entries are killed or stopped several times in ten seconds, and each
// new process spends the fixed number once more. What a process spends may
// therefore follow only from what it has seen itself: its share of the requests
// from the first one on, and the fixed number once it has run for a whole
// window, as its predecessor can have spent nothing in that window.
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

// Bytes that were written may reach the endpoint this much later, also after
// the end of the process that wrote them.
inline constexpr std::chrono::milliseconds max_flight{1000};

// Requests of this entry in each second, and its retries. Failure: retries that
// were also counted by whole seconds dropped out of the count up to 1 s early,
// so that a window of 10 s could hold twice the allowed number.
//
// Failure: a retry that waits, or whose link stands still, arrives long after
// the decision. Counted from the decision, those that were held up arrived
// together with those of the next window.
struct retry_budget
{
    static constexpr std::size_t max_seconds = 32;

    // When the process started.
    base::time_point started;
    std::array<std::uint32_t, max_seconds> requests{};
    std::int64_t second = 0;
    // Retries that were granted and may still arrive.
    std::size_t on_the_way = 0;
    // By when others had arrived, oldest first.
    std::deque<base::time_point> arrived;
};

// What a decision about a retry is based on.
struct retry_budget_state
{
    // Retries of this process that are on the way or arrived in the window, and
    // its requests in the window.
    std::size_t spent = 0;
    std::size_t requests = 0;
    // Number of retries that this process may have in the window.
    double allowed = 0;
    // Number of entries between which the fixed number is divided.
    std::size_t entries = 0;
    // Time since the process started.
    std::chrono::milliseconds running{0};
};

void note_request(retry_budget& budget, base::time_point now);

// Returns the budget's state; drops what has left the window.
retry_budget_state state_of(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now);

// Grants one retry of this entry's part. Returns false if none is left. Each
// one that is granted must end with one of the two functions below.
bool spend_retry(
    retry_budget& budget,
    retry_bound const& bound,
    entry_count const& count,
    base::time_point now);

// Records that a granted retry has arrived by this time, which may lie ahead.
void note_retry_arrived(retry_budget& budget, base::time_point by);

// Gives back a granted retry of which nothing was sent.
void return_retry(retry_budget& budget);

} // namespace foxtailvale::direct

#endif
