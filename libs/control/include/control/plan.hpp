#ifndef FOXTAILVALE_CONTROL_PLAN_HPP
#define FOXTAILVALE_CONTROL_PLAN_HPP

#include <base/error.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::control
{

// A version of a model assigned to an endpoint.
struct assigned_model
{
    std::string model;
    std::string digest;

    auto operator<=>(assigned_model const&) const = default;
};

// The models assigned to one endpoint of a failure domain.
struct plan_endpoint
{
    // Name of the agent beside the endpoint.
    std::string agent;
    // Peer address of the agent, "IP:PORT".
    std::string address;
    std::vector<assigned_model> models;

    bool operator==(plan_endpoint const&) const = default;
};

// The plan of one failure domain. Its version only increases and serves as the
// fencing token of all work that is done under the plan.
struct domain_plan
{
    std::string failure_domain;
    std::string region;
    std::uint64_t version = 0;
    // Generation of the configuration that the plan implements.
    std::uint64_t generation = 0;
    // Sorted by agent name.
    std::vector<plan_endpoint> endpoints;

    bool operator==(domain_plan const&) const = default;
};

// The agent's part of the plan; null when the plan does not contain the agent.
plan_endpoint const*
find_agent(domain_plan const& plan, std::string const& agent);

// Endpoints to which the plan assigns the digest, sorted by agent name.
std::vector<plan_endpoint const*>
holders(domain_plan const& plan, std::string const& digest);

// Serialises the plan for storage and transmission.
std::string to_text(domain_plan const& plan);

// Parses a serialised plan; bad_frame when it is malformed.
base::result<domain_plan> parse_plan(std::string const& text);

} // namespace foxtailvale::control

#endif
