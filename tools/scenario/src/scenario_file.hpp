#ifndef FOXTAILVALE_SCENARIO_SCENARIO_FILE_HPP
#define FOXTAILVALE_SCENARIO_SCENARIO_FILE_HPP

#include "deployment.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// Kinds of steps; docs/SCENARIOS.md describes each.
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
    // Time since the start of the load.
    std::chrono::milliseconds at{0};
    step_kind kind = step_kind::kill;
    // Name of a VM or failure domain; empty if the step needs none.
    std::string target;
    // Duration of the fault; zero means until the end of the run.
    std::chrono::milliseconds length{0};
    // Count, factor or delay in milliseconds.
    std::uint64_t amount = 0;
};

// Outcomes that must be met in addition to the promises, which are always
// checked.
struct stated_outcomes
{
    // Minimum percentage of chats and of bookings with the right answer.
    std::uint64_t chats_right = 0;
    std::uint64_t bookings_right = 0;
    // Whether all engines must serve the newest version at the end.
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
    // Ordered by time.
    std::vector<scenario_step> steps;
    stated_outcomes outcomes;
};

// Name of a step in a scenario file.
std::string_view name_of(step_kind kind);

// Reads a scenario and the deployment that it names (a path relative to the
// scenario's folder). If there are faults, writes them to the text and returns
// std::nullopt.
std::optional<scenario_file>
load_scenario(std::string const& path, std::string& faults);

} // namespace foxtailvale::scenario

#endif
