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

// An open-loop load: requests begin at their times whether or not earlier
// ones have been answered.
struct load_settings
{
    // Entries' caller addresses, "http://IP:PORT"; taken in turn, as the
    // platform's balancer would.
    std::vector<std::string> entries;
    // Their operator ports, "http://IP:PORT", in the same order; an entry
    // whose readiness is off is left out. Empty: all are always taken.
    std::vector<std::string> readiness;
    std::vector<workspace_load> workspaces;
    std::string model;
    std::string service;
    // Requests a second of each kind.
    std::uint32_t chats_per_second = 0;
    std::uint32_t bookings_per_second = 0;
    std::uint32_t tokens = 16;
    // Of a hundred callers of streams, those that read slowly.
    std::uint32_t slow_readers_percent = 0;
    std::chrono::milliseconds duration{0};
    std::chrono::milliseconds deadline{5000};
    // Different beginnings of prompts.
    std::uint32_t prompts = 50;
    std::uint64_t seed = 1;
};

load_settings read_load_settings(release::document& source);

// Runs the load and returns what was seen: counts of each outcome, latencies,
// both again by second, and one record per booking.
nlohmann::json run_load(load_settings const& settings);

} // namespace foxtailvale::load

#endif
