#ifndef FOXTAILVALE_DIRECT_PLAYED_FLEET_HPP
#define FOXTAILVALE_DIRECT_PLAYED_FLEET_HPP

#include "engine_world.hpp"
#include "played_engine.hpp"

#include <base/error.hpp>
#include <base/random.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/retry_budget.hpp>
#include <direct/shares.hpp>
#include <weights/switch_time.hpp>

#include <scheduling/measured_time.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

// State of the entries, engines and agents of a simulated fleet.
namespace foxtailvale::direct
{

inline base::time_point const start{std::chrono::hours(1)};
inline constexpr std::chrono::milliseconds wire_time{1};
inline constexpr char const* model_name = "m";
inline constexpr char const* service_name = "engine";

// Values of the entry and agent processes.
inline constexpr std::chrono::milliseconds subscription_interval{1000};
inline constexpr std::chrono::milliseconds report_interval{100};

// Latency goals of the callers.
inline constexpr std::chrono::milliseconds caller_goal{400};
inline constexpr std::chrono::milliseconds caller_gap_goal{300};

// Callers of streams disconnect after this time without an event.
inline constexpr std::chrono::milliseconds caller_patience{2400};

enum class final_outcome
{
    answered,
    interrupted,
    refused,
    left,
};

// A caller's request, from its arrival at an entry to its final result.
struct caller_request
{
    std::uint64_t number = 0;
    std::size_t entry = 0;
    // Kept when the caller sends the request again.
    base::time_point requested_at;
    base::time_point deadline;
    double prompt = 0;
    double answer = 0;
    double hint = 0;
    bool sent_again = false;

    // Reset when the caller sends the request again.
    base::time_point arrived;
    base::time_point wait_until;
    bool is_resent = false;
    bool in_queue = false;
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    base::ran_state ran = base::ran_state::no;
    bool answer_begun = false;
    std::uint64_t version = 0;
    // Engine of the current attempt, as the entry sees it.
    std::optional<std::size_t> engine;
    std::uint64_t attempt = 0;
    bool written = false;
    base::time_point decided;
    base::time_point sent_deadline;
    base::time_point last_byte;
    std::uint32_t events = 0;
    std::optional<base::time_point> first_event;
    // When the caller sent the request or got the last event.
    base::time_point last_heard;
    // Numbers of the attempts that were sent to engines.
    std::vector<std::uint64_t> sent;
};

// Order of an entry's queue: requests sent again come last, then by time.
using queue_position = std::tuple<bool, base::time_point, std::uint64_t>;

struct simulated_entry
{
    std::string name;
    std::string domain;
    endpoint_table table;
    base::random_state random;
    scheduling::measured_time first_answer;
    retry_budget retries;
    std::map<queue_position, std::uint64_t> queue;
};

struct simulated_agent
{
    std::vector<weights::announced_target> targets;
    // When the chunks of a version start to arrive and when they are complete.
    std::map<std::uint64_t, time_span> chunks;
    std::optional<std::chrono::milliseconds> arrival;
    // State of the engine at the last poll.
    load_report last_state;
    bool busy = false;
    bool switching = false;
    bool verifying = false;
    bool ordering = false;
    std::uint64_t staged = 0;
    base::time_point next_order;
    std::uint64_t rounds = 0;
    // When the reports sent so far have passed the link.
    base::time_point link_free_at;
};

// An attempt at an engine, recorded for the checks.
struct sent_request
{
    std::uint64_t caller = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    std::uint32_t work = 0;
    std::chrono::milliseconds report_age{0};
    base::time_point decided;
    base::time_point arrived;
};

struct simulation
{
    fleet_scenario const& scenario;
    routing::engine_costs costs;
    base::random_state random;
    std::vector<simulated_entry> entries;
    std::vector<simulated_agent> agents;
    std::vector<simulated_engine> engines;
    std::set<std::string> entry_names;
    std::map<std::uint64_t, caller_request> callers;
    std::map<std::uint64_t, sent_request> sent;
    // When the callers of these attempts disconnected.
    std::map<std::uint64_t, base::time_point> left;
    // Paused engines, and since when.
    std::map<std::size_t, base::time_point> paused;
    // Scheduled events by time.
    std::multimap<base::time_point, std::function<void()>> events;
    std::uint64_t numbers = 0;
    std::uint64_t attempts = 0;
    base::time_point now = start;
    fleet_outcome outcome;
};

std::string domain_of(std::size_t number);

std::string ip_of_engine(std::size_t number);

std::string id_of_engine(std::size_t number);

std::chrono::milliseconds to_milliseconds(base::duration time);

// Schedules the event after the delay.
void schedule(
    simulation& state,
    std::chrono::milliseconds wait,
    std::function<void()> event);

// Returns a random time between the two, in milliseconds.
std::chrono::milliseconds
random_time(base::random_state& random, int from, int to);

// Returns a random number between 0 and 1, excluding both.
double uniform(base::random_state& random);

// Returns a log-normal random number with mean 1 before it is capped at `most`.
double lognormal(base::random_state& random, double spread, double most);

// Whether one of the faults affects the engine now.
bool is_affected(
    std::vector<engine_fault> const& faults,
    std::size_t engine,
    base::time_point now);

// Schedules an event that reaches the engine after wire_time, or when its pause
// has ended.
void deliver(
    simulation& state, std::size_t engine, std::function<void()> event);

} // namespace foxtailvale::direct

#endif
