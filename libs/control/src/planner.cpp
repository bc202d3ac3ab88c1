#include <control/planner.hpp>

#include <algorithm>

namespace foxtailvale::control
{

namespace
{

// An endpoint during planning.
struct planned_endpoint
{
    plan_endpoint endpoint;
    std::uint32_t memory_mib = 0;
    std::uint32_t used_mib = 0;
    // Models assigned to the endpoint by the previous plan.
    std::vector<assigned_model> previous_models;
};

std::vector<planned_endpoint> make_planned_endpoints(
    std::vector<plan_member> members, domain_plan const& previous)
{
    std::ranges::sort(members, {}, &plan_member::agent);
    std::vector<planned_endpoint> planned;
    for (auto& member : members)
    {
        planned_endpoint candidate;
        candidate.endpoint.agent = std::move(member.agent);
        candidate.endpoint.address = std::move(member.address);
        candidate.memory_mib = member.memory_mib;
        if (auto const* const previous_endpoint =
                find_agent(previous, candidate.endpoint.agent))
        {
            candidate.previous_models = previous_endpoint->models;
        }
        planned.push_back(std::move(candidate));
    }
    return planned;
}

bool held_before(planned_endpoint const& candidate, std::string const& model)
{
    return std::ranges::find(
               candidate.previous_models, model, &assigned_model::model) !=
           candidate.previous_models.end();
}

bool fits(
    planned_endpoint const& candidate, release::model_release const& model)
{
    return candidate.used_mib + model.memory_mib <= candidate.memory_mib;
}

void assign(
    planned_endpoint& candidate,
    std::string const& name,
    release::model_release const& model)
{
    candidate.endpoint.models.push_back({name, model.digest});
    candidate.used_mib += model.memory_mib;
}

// Keeps the model on the endpoints that have it, up to the requested number of
// replicas; returns how many replicas are still missing.
std::uint32_t keep_replicas(
    std::vector<planned_endpoint>& planned,
    std::string const& name,
    release::model_release const& model,
    std::uint32_t wanted)
{
    for (auto& candidate : planned)
    {
        if (wanted > 0 && held_before(candidate, name) &&
            fits(candidate, model))
        {
            assign(candidate, name, model);
            --wanted;
        }
    }
    return wanted;
}

bool holds(planned_endpoint const& candidate, std::string const& model)
{
    return std::ranges::find(
               candidate.endpoint.models, model, &assigned_model::model) !=
           candidate.endpoint.models.end();
}

// Assigns missing replicas to the endpoints with the least memory in use.
void add_replicas(
    std::vector<planned_endpoint>& planned,
    std::string const& name,
    release::model_release const& model,
    std::uint32_t missing)
{
    for (; missing > 0; --missing)
    {
        planned_endpoint* best = nullptr;
        for (auto& candidate : planned)
        {
            auto const usable =
                !holds(candidate, name) && fits(candidate, model);
            if (usable &&
                (best == nullptr || candidate.used_mib < best->used_mib))
            {
                best = &candidate;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        assign(*best, name, model);
    }
}

} // namespace

domain_plan make_plan(
    release::configuration const& configuration,
    std::string const& failure_domain,
    std::vector<plan_member> members,
    domain_plan const& previous)
{
    auto planned = make_planned_endpoints(std::move(members), previous);
    // Keep the replicas of all models before adding any: an added replica must
    // not take the memory of one that is already in place.
    std::map<std::string, std::uint32_t> missing;
    for (auto const& [name, model] : configuration.models)
    {
        auto const wanted = model.replicas.find(failure_domain);
        if (wanted != model.replicas.end())
        {
            missing[name] = keep_replicas(planned, name, model, wanted->second);
        }
    }
    for (auto const& [name, count] : missing)
    {
        add_replicas(planned, name, configuration.models.at(name), count);
    }
    domain_plan plan;
    plan.failure_domain = failure_domain;
    plan.version = previous.version;
    plan.generation = configuration.generation;
    auto const domain = configuration.domains.find(failure_domain);
    if (domain != configuration.domains.end())
    {
        plan.region = domain->second.region;
    }
    for (auto& candidate : planned)
    {
        std::ranges::sort(candidate.endpoint.models);
        plan.endpoints.push_back(std::move(candidate.endpoint));
    }
    return plan;
}

bool same_assignments(domain_plan const& left, domain_plan const& right)
{
    return left.region == right.region && left.endpoints == right.endpoints;
}

} // namespace foxtailvale::control
