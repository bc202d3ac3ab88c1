#include <control/planner.hpp>

#include <algorithm>

namespace foxtailvale::control
{

namespace
{

// An endpoint while the plan is being made.
struct slot
{
    plan_endpoint endpoint;
    std::uint32_t memory_mib = 0;
    std::uint32_t used_mib = 0;
    // What the endpoint holds under the previous plan, by model name.
    std::vector<assigned_model> before;
};

std::vector<slot>
make_slots(std::vector<plan_member> members, domain_plan const& previous)
{
    std::ranges::sort(members, {}, &plan_member::agent);
    std::vector<slot> slots;
    for (auto& member : members)
    {
        slot entry;
        entry.endpoint.agent = std::move(member.agent);
        entry.endpoint.address = std::move(member.address);
        entry.memory_mib = member.memory_mib;
        if (auto const* const old = find_agent(previous, entry.endpoint.agent))
        {
            entry.before = old->models;
        }
        slots.push_back(std::move(entry));
    }
    return slots;
}

bool held_before(slot const& entry, std::string const& model)
{
    return std::ranges::find(entry.before, model, &assigned_model::model) !=
           entry.before.end();
}

bool fits(slot const& entry, release::model_release const& model)
{
    return entry.used_mib + model.memory_mib <= entry.memory_mib;
}

void assign(
    slot& entry, std::string const& name, release::model_release const& model)
{
    entry.endpoint.models.push_back({name, model.digest});
    entry.used_mib += model.memory_mib;
}

// Leaves the model where it is, as often as it is still wanted; returns how
// many replicas are missing after that.
std::uint32_t keep(
    std::vector<slot>& slots,
    std::string const& name,
    release::model_release const& model,
    std::uint32_t wanted)
{
    for (auto& entry : slots)
    {
        if (wanted > 0 && held_before(entry, name) && fits(entry, model))
        {
            assign(entry, name, model);
            --wanted;
        }
    }
    return wanted;
}

bool holds(slot const& entry, std::string const& model)
{
    return std::ranges::find(
               entry.endpoint.models, model, &assigned_model::model) !=
           entry.endpoint.models.end();
}

// Puts missing replicas on the endpoints with the least memory in use.
void add(
    std::vector<slot>& slots,
    std::string const& name,
    release::model_release const& model,
    std::uint32_t missing)
{
    for (; missing > 0; --missing)
    {
        slot* best = nullptr;
        for (auto& entry : slots)
        {
            auto const usable = !holds(entry, name) && fits(entry, model);
            if (usable && (best == nullptr || entry.used_mib < best->used_mib))
            {
                best = &entry;
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
    auto slots = make_slots(std::move(members), previous);
    // All models are kept before any is added: an added replica must not take
    // the room of one that is already there.
    std::map<std::string, std::uint32_t> missing;
    for (auto const& [name, model] : configuration.models)
    {
        auto const wanted = model.replicas.find(failure_domain);
        if (wanted != model.replicas.end())
        {
            missing[name] = keep(slots, name, model, wanted->second);
        }
    }
    for (auto const& [name, count] : missing)
    {
        add(slots, name, configuration.models.at(name), count);
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
    for (auto& entry : slots)
    {
        std::ranges::sort(entry.endpoint.models);
        plan.endpoints.push_back(std::move(entry.endpoint));
    }
    return plan;
}

bool same_assignments(domain_plan const& left, domain_plan const& right)
{
    return left.region == right.region && left.endpoints == right.endpoints;
}

} // namespace foxtailvale::control
