#ifndef FOXTAILVALE_DIRECT_PLACEMENT_HPP
#define FOXTAILVALE_DIRECT_PLACEMENT_HPP

#include <base/random.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/shares.hpp>
#include <request/admission.hpp>
#include <routing/configuration.hpp>

#include <optional>
#include <set>
#include <string>

namespace foxtailvale::direct
{

// What a request needs of an endpoint.
struct placement_query
{
    std::string service;
    // Empty for a plain service.
    std::string model;
    std::string own_domain;
    // Regions that may serve it; empty allows all.
    std::set<std::string> regions;
    // Endpoints that it was sent to already.
    std::set<std::string> tried;
    // Requests that an endpoint may hold beyond its slots.
    std::int32_t depth = 0;
    cold_bound cold;
    std::size_t entries = 1;
    // Names of all entries and of this one; null while the others are not
    // known.
    std::set<std::string> const* all_entries = nullptr;
    std::string own_entry;
    // What was worked out of this entry's parts; null keeps nothing.
    share_cache* parts = nullptr;
    // This entry may not know all others, of which there may be so many.
    bool newcomer = false;
    std::size_t assumed_entries = max_entries;
    // Go on with this version only, if it is not zero.
    std::uint64_t version = 0;
    // How long the request will run; it is not sent where the endpoint stops
    // to switch before that, unless it goes on with a version.
    std::chrono::milliseconds expected{0};
};

// Why no endpoint was chosen.
enum class no_endpoint_reason
{
    // None is listed that could ever take it.
    none_listed,
    // All that could take it are full or at their limit now.
    all_busy,
    // Those listed hold other weights or none yet.
    no_weights,
};

// What a choice went by, for whoever asks afterwards why a request was sent to
// an endpoint.
struct placement_estimate
{
    std::uint32_t slots = 0;
    // Requests there, as work_at counts them.
    std::uint32_t work = 0;
    // Requests that the agent's report shows in the endpoint's line.
    std::uint32_t line = 0;
    // Nothing without a report. With one older than report_timeout, too, the
    // choice went by the list and by own requests.
    std::optional<std::chrono::milliseconds> report_age;
    // The latest moment at which the request was thought to begin.
    base::time_point begins;
    // When the version chosen stops to begin requests; nothing for the newest.
    std::optional<base::time_point> ends;
};

struct choice
{
    endpoint_state const* chosen = nullptr;
    no_endpoint_reason why = no_endpoint_reason::none_listed;
    // The version that the request must begin on; zero for a plain service.
    std::uint64_t version = 0;
    placement_estimate expected;
    // The deadline that the version's end sets for the endpoint. Failure: a
    // request stood in an engine's line for longer than thought and began on
    // weights whose time had ended. Only the engine knows when it begins, and
    // while it runs it begins nothing after the deadline.
    // Nothing while the version does not end, and for a request that may run
    // beyond the end: that one is ended by the entry if it has not begun then.
    std::optional<base::time_point> works_until;
};

// The deadline that the endpoint is handed with a request whose caller waits
// until this one.
base::time_point
endpoint_deadline(choice const& chosen, base::time_point deadline);

// Until when a request that was sent on this version, with this deadline, must
// have begun; nothing while the version does not end. The sender then closes
// it. Failure: an engine stood still, read at its return what had been sent to
// it, and began it on weights whose time had ended, as it counts the deadline
// from its reading. What is closed before it is read does not begin.
std::optional<base::time_point> must_begin_by(
    endpoint_table const& book,
    std::string const& model,
    std::uint64_t version,
    base::time_point handed);

// Chooses the endpoint with the least work for its slots, as last reported and
// changed by own requests since. Made for many entries that each see a part of
// the load: the agents' reports show the rest a tenth of a second late, and a
// random addend of a twentieth of the slots keeps entries with the same report
// from all choosing the same endpoint. An endpoint of another failure domain
// counts as a quarter fuller, since what it streams crosses a narrow link. One
// whose answers are faults, or whose agent fell silent, is taken only when no
// other can.
choice choose(
    endpoint_table const& book,
    placement_query const& ask,
    base::time_point now,
    base::random_state& random);

// How long an engine with half of its slots in use works on a request, by the
// published costs. Zero tokens stand for the usual number.
std::chrono::milliseconds expected_time(
    routing::engine_costs const& costs,
    std::uint64_t prompt_tokens,
    std::uint64_t answer_tokens);

// How long a request may wait here for room: what its goal leaves when the
// usual time to the first event is taken off. Made for lasting overload, where
// there is always a line: one that waits longer is answered late and takes the
// place of another that would have been on time. A request with a goal of 400
// ms waits 140 ms when first events take 260 ms, and a fifth of its goal at
// least.
std::chrono::milliseconds max_wait(
    std::chrono::milliseconds goal, request::measured_time const& first_event);

// Depth for a request whose goal is past, as its caller has come back with less
// time than others of its route bring: a fifth of an engine's slots is kept
// from it. It can only be answered late, and under lasting overload it would
// take the place of one that would be on time; where there is room to spare it
// is served.
std::int32_t depth_for_expired_goal(std::uint32_t slots);

// Requests at the endpoint as known best: reported, and own ones since.
std::uint32_t
work_at(endpoint_state const& state, std::size_t entries, base::time_point now);

} // namespace foxtailvale::direct

#endif
