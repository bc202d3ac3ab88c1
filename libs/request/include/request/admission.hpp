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

// Admission control: which request runs next when demand exceeds capacity, and
// which requests are refused.
namespace foxtailvale::request
{

using waiting_id = std::uint64_t;

// A request that waits for capacity at an endpoint.
struct waiting_request
{
    waiting_id id = 0;
    std::string workspace;
    // Relative share of the workspace under contention; at least one.
    std::uint32_t weight = 1;
    // Higher values run first within the same workspace.
    std::uint32_t priority = 0;
    base::time_point deadline;
};

// Exponentially weighted mean and mean deviation of a measured duration.
struct measured_time
{
    std::chrono::microseconds mean{0};
    std::chrono::microseconds deviation{0};
    // False until the first measurement.
    bool known = false;
};

// Updates the mean and the deviation with a measurement.
void note(measured_time& state, std::chrono::microseconds measured);

// Waiting requests of one workspace.
struct workspace_queue
{
    std::uint32_t weight = 1;
    // Virtual finish time of the last started request, as in weighted fair
    // queueing: each start adds 1 / weight.
    double virtual_finish = 0;
    std::size_t size = 0;
    // Highest priority first; oldest request first within a priority.
    std::map<std::uint32_t, std::deque<waiting_request>, std::greater<>>
        by_priority;
};

// Weighted fair queue in front of the endpoints of one model or service.
struct admission_queue
{
    // Maximum number of waiting requests. Requests that cannot meet their
    // deadline are refused on arrival, which already limits the useful length
    // of the queue; this bound limits memory if the measurements are wrong.
    std::size_t max_waiting = 1024;
    std::size_t size = 0;
    double virtual_time = 0;
    std::map<std::string, workspace_queue> workspaces;
    // Time from the start of an attempt to its answer.
    measured_time service;
    // Time between two consecutive starts while requests were waiting.
    measured_time start_interval;
    std::optional<base::time_point> last_start;
};

// Result of `arrive`.
struct arrival
{
    // Reason for the refusal; unset if the request was queued.
    std::optional<base::error_kind> refused;
    // Request that was evicted in favour of the new one. The caller must refuse
    // it at once.
    std::optional<waiting_id> evicted;
};

// Queues or refuses a new request, during bursts and sustained overload.
//
// Refuses a request that cannot be answered by its deadline according to the
// measured times (deadline_unreachable): it would be late anyway and would take
// capacity from a request that can still meet its deadline. If the queue is
// full, the newest request of lowest priority is evicted from the workspace
// that is furthest over its share, so that a few large workspaces cannot fill
// the queue and shut out the small ones. The new request is refused with
// workspace_over_share if its own workspace is furthest over its share and has
// no waiting request of lower priority, and with queue_full if its workspace
// would exceed its share by more than that one.
arrival
arrive(admission_queue& queue, waiting_request request, base::time_point now);

// Puts a started request back at the head of its priority, after an endpoint
// turned out to have no capacity for it.
void requeue(admission_queue& queue, waiting_request request);

// Returns the request that runs next without removing it: the oldest request of
// highest priority in the workspace that has received the least service for its
// weight. Empty if no request waits.
std::optional<waiting_request> next(admission_queue const& queue);

// Records the start of a request, whether or not it had to wait: removes it
// from the queue and charges the start to its workspace.
void start(
    admission_queue& queue,
    waiting_request const& request,
    base::time_point now);

// Removes a request that is not to be started. Returns false if it was not
// waiting.
bool withdraw(admission_queue& queue, waiting_request const& request);

// Removes and returns the requests that can no longer be answered by their
// deadline. An early refusal lets their callers turn elsewhere while there is
// time left.
std::vector<waiting_id>
withdraw_late(admission_queue& queue, base::time_point now);

// Upper estimate of the time from a start to its answer: the measured mean plus
// twice the mean deviation.
std::chrono::microseconds expected_service(admission_queue const& queue);

// Token bucket that limits retries to a share of the load. Without it, slow
// endpoints cause requests to be resent repeatedly, and the load grows when
// there is the least capacity. Endpoints are sized for an additional load of a
// tenth.
struct retry_budget
{
    double tokens = 10;
};

// Adds a tenth of a token for a new request, up to ten tokens.
void earn(retry_budget& budget);
// Takes one token for a retry. Returns false if there is none.
bool spend(retry_budget& budget);

} // namespace foxtailvale::request

#endif
