#ifndef FOXTAILVALE_SCHEDULING_FAIR_QUEUE_HPP
#define FOXTAILVALE_SCHEDULING_FAIR_QUEUE_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <scheduling/measured_time.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Weighted fair queue: which request runs next when demand exceeds capacity,
// and which requests are refused.
namespace foxtailvale::scheduling
{

using waiting_id = std::uint64_t;

// A request that waits for capacity at an endpoint.
struct waiting_request
{
    waiting_id id = 0;
    std::string workspace;
    // Relative share of the workspace under contention; at least one.
    std::uint32_t weight = 1;
    // Higher values run first; see queue_order.
    std::uint32_t priority = 0;
    base::time_point deadline;
    // Higher values run first within the same priority.
    std::uint32_t precedence = 0;
    // Charged to the workspace by a start, divided by its weight.
    double cost = 1;
};

// How priorities and workspaces order the waiting requests.
enum class queue_order
{
    // Workspaces are served by weight. Priority and precedence order the
    // requests within a workspace, then the time of arrival.
    workspace_first,
    // Priority and precedence order the requests of all workspaces, then the
    // service that their workspaces have received, then the deadline.
    priority_first,
};

// Priority and precedence of a waiting request.
struct queue_class
{
    std::uint32_t priority = 0;
    std::uint32_t precedence = 0;

    auto operator<=>(queue_class const&) const = default;
};

// Waiting requests of one workspace.
struct workspace_queue
{
    std::uint32_t weight = 1;
    // Virtual finish time of the last started request, as in weighted fair
    // queueing: each start adds its cost divided by the weight.
    double virtual_finish = 0;
    std::size_t size = 0;
    // Highest class first.
    std::map<queue_class, std::deque<waiting_request>, std::greater<>> by_class;
};

// Weighted fair queue in front of the endpoints of one model or service.
struct fair_queue
{
    queue_order order = queue_order::workspace_first;
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
//
// With queue_order::priority_first, the request that is evicted is one of the
// lowest class, and a new request of that class is refused with queue_full. A
// request that would run next is never refused as unreachable, because the
// interval between starts is measured only while requests wait. Failure: an
// estimate from a time without capacity refused every request after it.
arrival
arrive(fair_queue& queue, waiting_request request, base::time_point now);

// Puts a started request back, after an endpoint turned out to have no capacity
// for it: at the head of its class, or at the place of its deadline with
// queue_order::priority_first.
void requeue(fair_queue& queue, waiting_request request);

// Returns the request that runs next without removing it. By workspace first,
// it is the oldest request of highest class in the workspace that has received
// the least service for its weight. By priority first, it is the request of
// highest class whose workspace has received the least service, and of those
// the one with the earliest deadline. Empty if no request waits.
std::optional<waiting_request> next(fair_queue const& queue);

// Records the start of a request, whether or not it had to wait: removes it
// from the queue and charges the start to its workspace.
void start(
    fair_queue& queue, waiting_request const& request, base::time_point now);

// Removes a request that is not to be started. Returns false if it was not
// waiting.
bool withdraw(fair_queue& queue, waiting_request const& request);

// Removes and returns the requests that can no longer be answered by their
// deadline. An early refusal lets their callers turn elsewhere while there is
// time left.
std::vector<waiting_id> withdraw_late(fair_queue& queue, base::time_point now);

// Upper estimate of the time from a start to its answer: the measured mean plus
// twice the mean deviation.
std::chrono::microseconds expected_service(fair_queue const& queue);

} // namespace foxtailvale::scheduling

#endif
