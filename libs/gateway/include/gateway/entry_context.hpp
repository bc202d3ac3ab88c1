#ifndef FOXTAILVALE_GATEWAY_ENTRY_CONTEXT_HPP
#define FOXTAILVALE_GATEWAY_ENTRY_CONTEXT_HPP

#include <base/boot_clock.hpp>
#include <base/random.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/placement.hpp>
#include <direct/planned_stop.hpp>
#include <direct/process_pause.hpp>
#include <direct/retry_budget.hpp>
#include <direct/shares.hpp>
#include <gateway/connection_pool.hpp>
#include <gateway/traffic.hpp>
#include <kernel/metrics.hpp>
#include <platform/settings.hpp>
#include <request/lost_answers.hpp>
#include <request/refusals.hpp>
#include <request/suspects.hpp>
#include <routing/configuration.hpp>
#include <routing/routes.hpp>

#include <boost/asio/io_context.hpp>
#include <scheduling/fair_queue.hpp>
#include <scheduling/longest_time.hpp>
#include <scheduling/measured_time.hpp>
#include <scheduling/request_cost.hpp>
#include <scheduling/returns.hpp>
#include <scheduling/service_load.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtailvale::wire
{
class CrashNotice;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

class call;

// Sort key of the queue in which requests of one service wait for an endpoint:
// higher priority first, then requests that can still be answered within their
// goal, then those with the least time left to wait.
struct queue_position
{
    std::uint32_t priority = 0;
    bool goal_expired = false;
    base::time_point until;
    std::uint64_t arrival = 0;

    auto operator<=>(queue_position const&) const = default;
};

using request_queue = std::map<queue_position, std::shared_ptr<call>>;

// Requests that wait for an endpoint of one service where ranked admission is
// in force.
struct ranked_queue
{
    scheduling::fair_queue order;
    std::map<scheduling::waiting_id, std::shared_ptr<call>> calls;
};

// State shared by all requests of one entry. Used from the event loop only.
struct entry_context
{
    boost::asio::io_context& loop;
    platform::settings settings;
    connection_pool pool;
    kernel::metrics counters;
    traffic_counts traffic;

    // The active configuration; null until one was read.
    std::shared_ptr<routing::configuration const> configuration;
    // When the read began that last confirmed the configuration as current.
    std::optional<base::boot_time> confirmed;
    direct::endpoint_table book;
    direct::process_pause pause;
    // Total time for which the machine was suspended since boot, as last
    // observed.
    std::chrono::milliseconds suspended{0};
    direct::entry_count entries;
    direct::share_cache parts;
    // The same for the rate limits that endpoints name.
    direct::share_cache limit_parts;
    // Endpoints whose rate limit came into force or ended by an answer to this
    // entry, which the other entries were not told yet.
    std::set<std::string> changed_limits;
    // IP addresses of all entries seen so far, including this one.
    std::set<std::string> entry_addresses;
    // Number of entries per failure domain in the last notice that listed the
    // live ones.
    std::map<std::string, std::size_t> live_entries;
    // When the process started.
    base::time_point started;
    // By service; see budget_of.
    std::map<std::string, direct::retry_budget> retry_budgets;
    // Requests that wait for an endpoint, by service.
    std::map<std::string, request_queue> waiting;
    // The following are by service, where ranked admission is in force.
    std::map<std::string, ranked_queue> ranked;
    std::map<std::string, scheduling::service_load> loads;
    // Size of answers, by route.
    std::map<std::string, scheduling::usual_size> answer_sizes;
    // Workspaces that have a metric of their own.
    std::set<std::string> measured_workspaces;
    // Requests refused by this entry and its neighbours, and the fingerprints
    // of those whose refusal has not been sent to the neighbours yet.
    request::recent_refusals refusals;
    std::vector<request::fingerprint> unsent_refusals;
    // Promises to callers refused under ranked admission.
    scheduling::return_book returns;
    // When the neighbours were last told of load and promises.
    base::time_point load_notice_sent;
    // IP addresses of the other entries of this failure domain, to which
    // callers may come back after a refusal.
    std::set<std::string> neighbours;
    // Time from sending a request to its first event, by service.
    std::map<std::string, scheduling::measured_time> time_to_first_event;
    // Time from the arrival of requests that endpoints worked on to their end,
    // by route.
    std::map<std::string, scheduling::longest_time> longest_answers;
    // Smallest margin seen between the start of a request on an older version
    // and the time by which that version must no longer be used, by model and
    // version. Exported as a metric.
    std::map<std::pair<std::string, std::uint64_t>, std::chrono::milliseconds>
        least_start_margins;
    request::suspect_list suspects;
    request::lost_answers lost_answers;
    // Tells the other entries that an endpoint crashed under a request, or that
    // a request was answered and did not cause the crash.
    std::function<void(wire::CrashNotice const&)> notify_crash;
    base::random_state random;
    std::uint64_t arrivals = 0;
    // Bytes of answers that are held until they are whole, or an event is.
    std::size_t held_answer_bytes = 0;
    // Requests that have not ended, each of which removes itself.
    std::set<call*> open_calls;
    // Set once the process is told to stop.
    std::optional<direct::planned_stop> stop;

    entry_context(
        boost::asio::io_context& event_loop, platform::settings given);
};

// Total time for which this machine has been suspended since boot: the
// difference between the boot clock and the steady clock.
std::chrono::milliseconds suspended_time();

// Corrects times taken on the steady clock, which stops during suspend, if the
// machine was suspended since the last call.
void note_suspend(entry_context& context);

// Returns the service's retry budget, which begins with the process.
direct::retry_budget&
budget_of(entry_context& context, std::string const& service);

// Whether agents run beside the service's endpoints. They do where the service
// is configured with an engine; before the first configuration it is assumed.
bool has_agents(entry_context const& context, std::string const& service);

// Failure domains in which agents run.
std::set<std::string> agent_domains(entry_context const& context);

// Returns the part of a placement query that is the same for all requests to
// the service.
direct::placement_query query_for(
    entry_context const& context,
    std::string const& name,
    routing::service const& service);

// Whether this entry has a share of some endpoints of the service only, and
// needs no reports of the others.
bool is_divided(entry_context const& context, std::string const& service);

// Tries to place the waiting requests of the service, in queue order.
void serve_waiting(entry_context& context, std::string const& service);

// Tries to place the waiting requests of all services.
void serve_all_waiting(entry_context& context);

} // namespace foxtailvale::gateway

#endif
