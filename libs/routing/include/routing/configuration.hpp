#ifndef FOXTAILVALE_ROUTING_CONFIGURATION_HPP
#define FOXTAILVALE_ROUTING_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Data types of one accepted configuration: which requests callers may send and
// which services answer them. routes.hpp has the decisions based on them.
namespace foxtailvale::routing
{

// Whether and how requests on a route may be retried. A stream that cannot be
// resumed counts as non_idempotent; the code that reads a configuration ensures
// this.
enum class retry_safety
{
    idempotent,
    non_idempotent,
    // A stream of numbered events that can be continued after the last event
    // received.
    resumable,
};

// A service that a route sends requests to, with its relative share.
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
    // Starts and ends with a slash.
    std::string path_prefix;
    retry_safety repeats = retry_safety::non_idempotent;
    bool streams = false;
    // Maximum time from the arrival of a request to its final answer.
    std::chrono::milliseconds timeout{0};
    // Expected time to the answer or to the first event of a stream.
    std::chrono::milliseconds goal{0};
    // Longest expected interval between two events of a stream.
    std::chrono::milliseconds gap_goal{0};
    // Zero is the highest priority.
    std::uint32_t priority = 0;
    // Maximum number of attempts for one request.
    std::uint32_t most_attempts = 1;
    // Requests need no key.
    bool open = false;
    std::vector<weighted_service> services;
    // Regions that may serve requests; empty allows all.
    std::set<std::string> regions;

    bool operator==(route const&) const = default;
};

// Performance figures of a model engine, as published by the platform.
struct engine_costs
{
    // Requests that one engine runs concurrently.
    std::uint32_t slots = 1;
    // Duration of one token step, and its increase for each request that is
    // generating tokens.
    std::chrono::duration<double, std::milli> step{0};
    std::chrono::duration<double, std::milli> step_per_request{0};
    // Token steps per pass, and therefore tokens per event.
    std::uint32_t steps_per_pass = 1;
    // Prompt tokens processed per second.
    double read_per_second = 0;
    // Number of tokens of a typical prompt and of a typical answer.
    double usual_prompt = 0;
    double usual_answer = 0;
    std::uint32_t layers = 0;
    std::uint32_t chunks = 0;
    std::uint32_t chunk_bytes = 0;
    // Models that the engines of the service may serve.
    std::vector<std::string> models;

    bool operator==(engine_costs const&) const = default;
};

struct service
{
    std::string name;
    std::uint32_t most_connections = 0;
    // Time for which an endpoint is cold after its start.
    std::chrono::milliseconds cold_time{0};
    // Requests per second that a cold endpoint can handle; zero means no limit.
    double cold_per_second = 0;
    std::optional<engine_costs> engine;
    // "IP:PORT" of the weights origin, if this service is one.
    std::string origin;
    // Bandwidth of the origin's link in bytes per second; zero if not
    // specified.
    double origin_rate = 0;

    bool operator==(service const&) const = default;
};

struct workspace
{
    std::string name;
    // Overrides the route's priority if set.
    std::optional<std::uint32_t> priority;
    // Regions that may serve requests of the workspace; empty allows all.
    std::set<std::string> regions;

    bool operator==(workspace const&) const = default;
};

// Limits on requests and connections of callers; see net::server_limits.
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
    // Version number set by the operator; it only increases.
    std::uint64_t version = 0;
    // Routes by host, longest prefix first.
    std::map<std::string, std::vector<route>> routes;
    std::map<std::string, service> services;
    // Whether requests need a key, except on open routes.
    bool needs_keys = false;
    std::map<std::string, workspace> workspaces;
    // Workspace name by key.
    std::map<std::string, std::string> keys;
    caller_limits limits;
    // Number of parts that could not be read and were left out.
    std::uint32_t skipped = 0;

    bool operator==(configuration const&) const = default;
};

// Sorts each host's routes by descending prefix length, as find_route requires.
void sort_routes(configuration& value);

} // namespace foxtailvale::routing

#endif
