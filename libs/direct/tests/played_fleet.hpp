#ifndef FOXTAILVALE_DIRECT_PLAYED_FLEET_HPP
#define FOXTAILVALE_DIRECT_PLAYED_FLEET_HPP

#include "engine_world.hpp"
#include "played_engine.hpp"

#include <base/random.hpp>
#include <direct/endpoint_table.hpp>
#include <direct/shares.hpp>
#include <request/admission.hpp>
#include <weights/switch_time.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

// What the entries, engines and agents of a played fleet are made of.
namespace foxtailvale::direct
{

inline base::time_point const start{std::chrono::hours(1)};
inline constexpr std::chrono::milliseconds wire_time{1};
inline constexpr char const* model_name = "m";
inline constexpr char const* service_name = "engine";

// As the entry and the agent do it.
inline constexpr std::chrono::milliseconds subscription_interval{1000};
inline constexpr std::chrono::milliseconds report_interval{100};

// What callers bring.
inline constexpr std::chrono::milliseconds caller_goal{400};
inline constexpr std::chrono::milliseconds caller_gap_goal{300};

// Silence after which callers of streams leave.
inline constexpr std::chrono::milliseconds caller_patience{2400};

enum class final_word
{
    answered,
    cut,
    refused,
    left,
};

// A request of a caller, from its arrival at an entry to the last word on it.
struct caller_request
{
    std::uint64_t number = 0;
    std::size_t entry = 0;
    // The first attempt's.
    base::time_point asked;
    base::time_point deadline;
    double prompt = 0;
    double answer = 0;
    double hint = 0;
    bool came_back = false;

    // This attempt's.
    base::time_point arrived;
    base::time_point wait_until;
    bool returned = false;
    bool in_line = false;
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    base::ran_state ran = base::ran_state::no;
    bool answer_begun = false;
    std::uint64_t version = 0;
    // Where it is now, as the entry sees it.
    std::optional<std::size_t> engine;
    std::uint64_t attempt = 0;
    bool written = false;
    base::time_point decided;
    base::time_point handed;
    base::time_point last_byte;
    std::uint32_t events = 0;
    std::optional<base::time_point> first_event;
    // When it asked, or got its last event.
    base::time_point last_heard;
    // Attempts of its own that went to engines.
    std::vector<std::uint64_t> sent;
};

// Order in an entry's line: those that came back last, then by time.
using line_place = std::tuple<bool, base::time_point, std::uint64_t>;

struct played_entry
{
    std::string name;
    std::string domain;
    endpoint_table book;
    base::random_state random;
    request::measured_time first_answer;
    retry_window repeats;
    std::map<line_place, std::uint64_t> line;
};

struct played_agent
{
    std::vector<weights::announced_target> targets;
    // When chunks of a version begin to come, and when they are all there.
    std::map<std::uint64_t, stretch> chunks;
    std::optional<std::chrono::milliseconds> arrival;
    // As the engine was when it was last asked.
    load_report seen;
    bool busy = false;
    bool switching = false;
    bool verifying = false;
    bool ordering = false;
    std::uint64_t staged = 0;
    base::time_point order_again;
    std::uint64_t rounds = 0;
    // When what was told so far is through the link.
    base::time_point link_clear;
};

// An attempt at an engine, for the check.
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

struct world
{
    fleet_course const& course;
    routing::engine_costs costs;
    base::random_state random;
    std::vector<played_entry> entries;
    std::vector<played_agent> agents;
    std::vector<played_engine> engines;
    std::set<std::string> entry_names;
    std::map<std::uint64_t, caller_request> callers;
    std::map<std::uint64_t, sent_request> sent;
    // When the callers of these attempts left.
    std::map<std::uint64_t, base::time_point> left;
    // Engines that stand still, and since when.
    std::map<std::size_t, base::time_point> paused;
    // What happens later, in order.
    std::multimap<base::time_point, std::function<void()>> events;
    std::uint64_t numbers = 0;
    std::uint64_t attempts = 0;
    base::time_point now = start;
    fleet_outcome outcome;
};

std::string domain_of(std::size_t number);

std::string ip_of_engine(std::size_t number);

std::string id_of_engine(std::size_t number);

std::chrono::milliseconds rounded(base::duration time);

// Lets it happen after the wait.
void later(
    world& state, std::chrono::milliseconds wait, std::function<void()> event);

// Between the two, in milliseconds.
std::chrono::milliseconds
random_time(base::random_state& random, int from, int to);

// Between 0 and 1, never either.
double uniform(base::random_state& random);

// Mean 1 before the cut at `most`.
double lognormal(base::random_state& random, double spread, double most);

// Whether one of the troubles is at the engine now.
bool is_hit(
    std::vector<engine_trouble> const& troubles,
    std::size_t engine,
    base::time_point now);

// Something that the engine reads when it does not stand still.
void reach(world& state, std::size_t engine, std::function<void()> event);

} // namespace foxtailvale::direct

#endif
