#ifndef FOXTAILVALE_SCENARIO_SCENARIO_FILE_HPP
#define FOXTAILVALE_SCENARIO_SCENARIO_FILE_HPP

#include "deployment.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// What a step of a scenario does; docs/SCENARIOS.md describes each.
enum class step_kind
{
    kill,
    freeze,
    stop,
    start,
    domain_out,
    domain_in,
    new_version,
    cut_links,
    platform_outage,
    platform_slow,
    platform_lose_answers,
    origin_outage,
    origin_corrupt,
    turn_cold,
    fall_over,
    slow_engine,
    crash_request,
};

struct scenario_step
{
    // From the start of the load.
    std::chrono::milliseconds at{0};
    step_kind kind = step_kind::kill;
    // A process or a failure domain; empty when the step needs none.
    std::string target;
    // How long the fault lasts; zero: to the end of the run.
    std::chrono::milliseconds length{0};
    // Count, factor or delay in milliseconds.
    std::uint64_t amount = 0;
};

// What must be seen besides the promises, which always are judged.
struct stated_outcomes
{
    // Of chats and of bookings, in percent, at least.
    std::uint64_t chats_right = 0;
    std::uint64_t bookings_right = 0;
    // Chats are answered from the newest version at the end.
    bool newest_version_serves = true;
};

struct scenario_file
{
    std::string story;
    deployment fleet;
    std::uint64_t model_bytes = 0;
    std::uint32_t chats_per_second = 0;
    std::uint32_t bookings_per_second = 0;
    std::chrono::milliseconds load_length{0};
    std::chrono::milliseconds deadline{0};
    // In order of time.
    std::vector<scenario_step> steps;
    stated_outcomes outcomes;
};

// The word for a step in a file.
std::string_view name_of(step_kind kind);

// Reads a scenario with the deployment it names (a path from the scenario's
// folder); on faults prints them to the text and returns nothing.
std::optional<scenario_file>
load_scenario(std::string const& path, std::string& faults);

} // namespace foxtailvale::scenario

#endif
