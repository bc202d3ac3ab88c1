#ifndef FOXTAILVALE_DIRECT_PLACEMENT_HPP
#define FOXTAILVALE_DIRECT_PLACEMENT_HPP

#include <base/random.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/shares.hpp>
#include <routing/configuration.hpp>

#include <scheduling/measured_time.hpp>
#include <scheduling/scheduling_settings.hpp>

#include <optional>
#include <set>
#include <string>

namespace foxtailvale::direct
{

// Requirements of a request for its endpoint.
struct placement_query
{
    std::string service;
    // Empty for a plain service.
    std::string model;
    std::string own_domain;
    // Allowed regions; empty allows all.
    std::set<std::string> regions;
    // Endpoints to which the request was sent before.
    std::set<std::string> tried;
    // Number of requests that an endpoint may hold beyond its slots; negative
    // values leave slots free.
    std::int32_t depth = 0;
    rate_bound cold;
    std::size_t entries = 1;
    // All entries, between which the limits that endpoints name are divided.
    std::size_t all_sharers = 1;
    // Names of all entries and of this entry; null while the other entries are
    // unknown.
    std::set<std::string> const* all_entries = nullptr;
    std::string own_entry;
    // Cached shares of this entry; null disables the cache.
    share_cache* parts = nullptr;
    // The same for the limits that endpoints name.
    share_cache* limit_parts = nullptr;
    // This entry may not know all other entries yet, and assumes the number
    // below.
    bool newcomer = false;
    std::size_t assumed_entries = unknown_entries;
    // If not zero, only endpoints with this version may continue the request.
    std::uint64_t version = 0;
    // How to choose among the endpoints with capacity.
    scheduling::endpoint_choice choice = scheduling::endpoint_choice::sampled;
    // Prompt tokens that an engine of the service processes per second; zero if
    // not specified.
    double read_per_second = 0;
    // Expected run time. Endpoints that switch versions before its end are
    // skipped, unless the request must continue on a given version.
    std::chrono::milliseconds expected{0};
};

// Why no endpoint was chosen.
enum class no_endpoint_reason
{
    // No listed endpoint could ever take the request.
    none_listed,
    // All suitable endpoints are full or at their limit.
    all_busy,
    // The listed endpoints hold other weights or none yet.
    no_weights,
};

// Inputs of a placement decision, kept so that it can be explained later.
struct placement_estimate
{
    std::uint32_t slots = 0;
    // Requests at the endpoint, as counted by work_at.
    std::uint32_t work = 0;
    // Requests in the endpoint's queue according to the agent's report.
    std::uint32_t line = 0;
    // Nothing without a report. If the report is older than report_timeout, the
    // decision used the list and this entry's own requests instead.
    std::optional<std::chrono::milliseconds> report_age;
    // Latest time at which the request was expected to start.
    base::time_point begins;
    // When the chosen version may start no more requests; nothing for the
    // newest version.
    std::optional<base::time_point> ends;
};

struct choice
{
    endpoint_state const* chosen = nullptr;
    no_endpoint_reason why = no_endpoint_reason::none_listed;
    // When the first endpoint has room, if nothing but the limits that they
    // name and the rest that they ask for keeps the request from all that have
    // the weights.
    std::optional<base::time_point> room_at;
    // That endpoint rests until then.
    bool is_rest = false;
    // Version on which the request must start; zero for a plain service.
    std::uint64_t version = 0;
    placement_estimate expected;
    // Deadline sent to the endpoint because its version retires. Nothing if the
    // version does not retire, or if the request may run beyond that time: the
    // entry then cancels it if it has not started by then.
    //
    // Failure: a request waited in an engine's queue for longer than estimated
    // and started on weights that had been retired. Only the engine knows when
    // a request starts, and a running engine starts nothing after the deadline.
    std::optional<base::time_point> work_deadline;
};

// Returns the deadline to send to the endpoint for a request with this caller
// deadline.
base::time_point
endpoint_deadline(choice const& chosen, base::time_point deadline);

// Returns the time by which a request that was sent on this version with this
// deadline must have started; nothing if the version does not retire. The
// sender closes the connection at that time.
//
// Failure: a paused engine read the requests sent to it only when it resumed,
// counted their deadlines from then, and started them on retired weights. A
// request whose connection is closed before it is read does not start.
std::optional<base::time_point> must_begin_by(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version,
    base::time_point deadline);

// Chooses among the endpoints with capacity, as the query's method says, by
// their work for their slots: the last report plus this entry's own requests
// since.
//
// A random addend of a twentieth of the slots decides between equals. An
// endpoint in another failure domain counts as a quarter fuller, because its
// streams cross a link of low bandwidth. Prompts that this entry has just sent
// to a reported engine count by the time to read them. An endpoint with faulty
// answers or an unresponsive agent is chosen only if no other endpoint is
// available.
choice choose(
    endpoint_table const& table,
    placement_query const& query,
    base::time_point now,
    base::random_state& random);

// Returns how many requests the endpoints could take now at all entries
// together: the slots without a request at the endpoints that would accept the
// query. Unlike `choose`, it counts all of them and not only those that this
// entry may send to at the moment.
std::uint32_t count_free_slots(
    endpoint_table const& table,
    placement_query const& query,
    base::time_point now);

// Estimates the run time of a request at an engine with half of its slots in
// use, from the published costs. Zero tokens stand for the usual number.
std::chrono::milliseconds expected_time(
    routing::engine_costs const& costs,
    std::uint64_t prompt_tokens,
    std::uint64_t answer_tokens);

// Returns how long a request may wait at the entry for a free endpoint: its
// latency goal minus the usual time to the first event, but at least a fifth
// and at most half of the goal. A request with a goal of 400 ms waits 140 ms if
// first events take 260 ms.
//
// Under sustained overload there is always a queue. A request that waits for
// longer is answered late and takes the place of another one that would have
// met its goal.
std::chrono::milliseconds max_wait(
    std::chrono::milliseconds goal,
    scheduling::measured_time const& first_event);

// Returns the depth for a retried request whose latency goal has expired,
// because its caller came back with less time than is usual for the route. A
// twelfth of an engine's slots is kept free of such requests. They can only be
// answered late, and under sustained overload they would displace requests that
// can still meet their goal; spare slots serve them.
std::int32_t depth_for_expired_goal(std::uint32_t slots);

// Returns the best known number of requests at the endpoint: the reported ones
// plus those sent since.
std::uint32_t
work_at(endpoint_state const& state, std::size_t entries, base::time_point now);

} // namespace foxtailvale::direct

#endif
