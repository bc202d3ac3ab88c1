#ifndef FOXTAILVALE_REQUEST_ADMISSION_HPP
#define FOXTAILVALE_REQUEST_ADMISSION_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Who runs next when there is less room than demand, and who is refused.
namespace foxtailvale::request
{

using waiting_id = std::uint64_t;

// A request that waits for room.
struct waiting_request
{
    waiting_id id = 0;
    std::string workspace;
    // Share of the workspace under contention; at least one.
    std::uint32_t weight = 1;
    // Higher runs first within its workspace.
    std::uint32_t priority = 0;
    base::time_point deadline;
};

// Mean of what was measured and how far measurements lie from it.
struct measured_time
{
    std::chrono::microseconds mean{0};
    std::chrono::microseconds deviation{0};
    bool known = false;
};

// Takes a measurement into the running mean.
void note(measured_time& state, std::chrono::microseconds measured);

// One workspace's waiting requests, by priority, oldest first.
struct workspace_line
{
    std::uint32_t weight = 1;
    // Virtual time at which what it was given so far is used up.
    double finish = 0;
    std::size_t size = 0;
    std::map<std::uint32_t, std::deque<waiting_request>, std::greater<>> lines;
};

// The queue before the endpoints of one model or service.
struct admission_queue
{
    // Requests that wait at most. A request that waits longer than its
    // deadline allows is refused on arrival, so the queue cannot help beyond
    // that; the bound is for memory when the measurements are wrong.
    std::size_t most_waiting = 1024;
    std::size_t size = 0;
    double virtual_time = 0;
    std::map<std::string, workspace_line> workspaces;
    // From the start of an attempt to its answer.
    measured_time service;
    // Between two starts while requests were waiting.
    measured_time start_interval;
    std::optional<base::time_point> last_start;
};

// What came of an arrival.
struct arrival
{
    // Why it was refused; unset when it waits.
    std::optional<base::error_kind> refused;
    // A request that was pushed out in its favour and must be refused at once.
    std::optional<waiting_id> evicted;
};

// Made for a burst or a lasting overload. Refuses on arrival what measured
// times say cannot be answered by its deadline: it would hold room that
// another could use in time and be late all the same. When the queue is full,
// the workspace that is furthest over its share gives up its newest request of
// lowest priority, so that a few large workspaces cannot fill the queue and
// shut out the small.
arrival
arrive(admission_queue& queue, waiting_request request, base::time_point now);

// Puts a request back at the head of its line: it was started and an endpoint
// had no room for it after all.
void requeue(admission_queue& queue, waiting_request request);

// The request that runs next: of the workspace that has had the least for its
// weight, the oldest of its highest priority. Nothing when none waits.
std::optional<waiting_request> next(admission_queue const& queue);

// The request was started, whether or not it had to wait: its workspace is
// charged, and it no longer waits.
void start(
    admission_queue& queue,
    waiting_request const& request,
    base::time_point now);

// Takes a request out that is not to be started; false when it did not wait.
bool withdraw(admission_queue& queue, waiting_request const& request);

// Takes out and returns those that can no longer be answered in time. Telling
// them now lets their callers turn elsewhere while there is time left.
std::vector<waiting_id>
withdraw_late(admission_queue& queue, base::time_point now);

// Time that an answer takes at the least, by measurement.
std::chrono::microseconds expected_service(admission_queue const& queue);

// Retries as a share of the load. Failure: endpoints slow down, requests are
// sent again and again, and the load grows just when there is least room. A
// tenth of the load on top is what the endpoints are sized to bear.
struct retry_budget
{
    double tokens = 10;
};

// A new request earns a tenth of a retry, up to ten in hand.
void earn(retry_budget& budget);
// Spends one retry, or says that there is none.
bool spend(retry_budget& budget);

} // namespace foxtailvale::request

#endif
