#ifndef FOXTAILVALE_ROUTING_CONFIGURATION_HPP
#define FOXTAILVALE_ROUTING_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// What callers may ask for and where it is answered, as one accepted
// configuration says. Plain data; decisions on it stand in routes.hpp.
namespace foxtailvale::routing
{

// What may be repeated. A stream that may not be resumed counts as
// non_idempotent; a configuration's reader applies that.
enum class retry_safety
{
    idempotent,
    non_idempotent,
    // A stream of numbered events that goes on after the last one received.
    resumable,
};

// One service that a route may send a request to, with its share.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(weighted_service const&) const = default;
};

struct route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    retry_safety repeats = retry_safety::non_idempotent;
    bool streams = false;
    // Longest time from the request's arrival to its final answer.
    std::chrono::milliseconds timeout{0};
    // Time to the answer, or to a stream's first event, that callers expect.
    std::chrono::milliseconds goal{0};
    // Longest pause between two events that callers expect.
    std::chrono::milliseconds gap_goal{0};
    // Zero is the most urgent.
    std::uint32_t priority = 0;
    std::uint32_t most_attempts = 1;
    // Needs no key.
    bool open = false;
    std::vector<weighted_service> services;
    // Regions that may serve it; empty allows all.
    std::set<std::string> regions;

    bool operator==(route const&) const = default;
};

// What an engine's work costs, as the platform publishes it.
struct engine_costs
{
    std::uint32_t slots = 1;
    // One token step, and its growth with each request that is writing.
    std::chrono::duration<double, std::milli> step{0};
    std::chrono::duration<double, std::milli> step_per_request{0};
    // Steps that one pass runs, and so the tokens of one event.
    std::uint32_t steps_per_pass = 1;
    // Prompt tokens read in a second.
    double read_per_second = 0;
    // Tokens of a usual prompt and of a usual answer.
    double usual_prompt = 0;
    double usual_answer = 0;
    std::uint32_t layers = 0;
    std::uint32_t chunks = 0;
    std::uint32_t chunk_bytes = 0;
    // Models that the engines of the service may hold.
    std::vector<std::string> models;

    bool operator==(engine_costs const&) const = default;
};

struct service
{
    std::string name;
    std::uint32_t most_connections = 0;
    // How long an endpoint stays cold after its start.
    std::chrono::milliseconds cold_time{0};
    // Requests a second that a cold endpoint bears; zero sets no limit.
    double cold_per_second = 0;
    std::optional<engine_costs> engine;
    // "IP:PORT" of the origin of weights where this service is one.
    std::string origin;
    // Rate of the origin's link in bytes a second; zero if not said.
    double origin_rate = 0;

    bool operator==(service const&) const = default;
};

struct workspace
{
    std::string name;
    // Goes before the route's priority where it is set.
    std::optional<std::uint32_t> priority;
    std::set<std::string> regions;

    bool operator==(workspace const&) const = default;
};

// Limits for what a caller may send; see net::server_limits.
struct caller_limits
{
    std::uint32_t head_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    std::chrono::milliseconds head_time{3000};
    std::chrono::milliseconds idle_time{15000};

    bool operator==(caller_limits const&) const = default;
};

struct configuration
{
    // The operator's number, which only grows.
    std::uint64_t version = 0;
    // By host; each host's routes with the longest prefix first.
    std::map<std::string, std::vector<route>> routes;
    std::map<std::string, service> services;
    // Without any workspace no key is asked for.
    bool has_workspaces = false;
    std::map<std::string, workspace> workspaces;
    // Name of the workspace by key.
    std::map<std::string, std::string> keys;
    caller_limits limits;
    // Parts that could not be read and were left out.
    std::uint32_t skipped = 0;

    bool operator==(configuration const&) const = default;
};

// Puts each host's routes in the order that find_route relies on.
void sort_routes(configuration& value);

} // namespace foxtailvale::routing

#endif
