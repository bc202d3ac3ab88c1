#ifndef FOXTAILVALE_LOAD_RUN_LOAD_HPP
#define FOXTAILVALE_LOAD_RUN_LOAD_HPP

#include <release/document.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::load
{

struct workspace_load
{
    std::string name;
    std::uint32_t weight = 1;
};

// An open-loop load: requests start at their scheduled times whether or not
// earlier ones have been answered.
struct load_settings
{
    // URLs of the entries' caller ports, "http://IP:PORT", used in turn as the
    // platform's load balancer would.
    std::vector<std::string> entries;
    // URLs of the entries' operator ports, "http://IP:PORT", in the same order.
    // Entries that are not ready are left out. Empty: all entries are always
    // used.
    std::vector<std::string> readiness;
    std::vector<workspace_load> workspaces;
    std::string model;
    std::string service;
    // Requests per second of each kind.
    std::uint32_t chats_per_second = 0;
    std::uint32_t bookings_per_second = 0;
    std::uint32_t tokens = 16;
    // Percentage of streaming callers that read slowly.
    std::uint32_t slow_readers_percent = 0;
    std::chrono::milliseconds duration{0};
    std::chrono::milliseconds deadline{5000};
    // Number of distinct prompt prefixes.
    std::uint32_t prompts = 50;
    std::uint64_t seed = 1;
};

load_settings read_load_settings(release::document& source);

// Runs the load and returns a JSON report: counts of each outcome and
// latencies, both in total and per second, and a record of each booking and of
// each request.
nlohmann::json run_load(load_settings const& settings);

} // namespace foxtailvale::load

#endif
