#include <control/plan.hpp>
#include <release/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtailvale::control
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_version = 1ULL << 62U;

json endpoint_json(plan_endpoint const& endpoint)
{
    json models = json::array();
    for (auto const& model : endpoint.models)
    {
        models.push_back({{"model", model.model}, {"digest", model.digest}});
    }
    return {
        {"agent", endpoint.agent},
        {"address", endpoint.address},
        {"models", std::move(models)}};
}

plan_endpoint read_endpoint(release::object_reader reader)
{
    plan_endpoint endpoint;
    endpoint.agent = reader.text("agent");
    endpoint.address = reader.text("address");
    for (std::size_t index = 0; index < reader.size("models"); ++index)
    {
        auto model_reader = reader.element("models", index);
        endpoint.models.push_back(
            {model_reader.text("model"), model_reader.text("digest")});
        model_reader.finish();
    }
    reader.finish();
    return endpoint;
}

} // namespace

plan_endpoint const*
find_agent(domain_plan const& plan, std::string const& agent)
{
    auto const found =
        std::ranges::find(plan.endpoints, agent, &plan_endpoint::agent);
    return found == plan.endpoints.end() ? nullptr : &*found;
}

std::vector<plan_endpoint const*>
holders(domain_plan const& plan, std::string const& digest)
{
    std::vector<plan_endpoint const*> found;
    for (auto const& endpoint : plan.endpoints)
    {
        if (std::ranges::find(
                endpoint.models, digest, &assigned_model::digest) !=
            endpoint.models.end())
        {
            found.push_back(&endpoint);
        }
    }
    return found;
}

std::string to_text(domain_plan const& plan)
{
    json endpoints = json::array();
    for (auto const& endpoint : plan.endpoints)
    {
        endpoints.push_back(endpoint_json(endpoint));
    }
    return json{
        {"failure_domain", plan.failure_domain},
        {"region", plan.region},
        {"version", plan.version},
        {"generation", plan.generation},
        {"endpoints", std::move(endpoints)}}
        .dump();
}

base::result<domain_plan> parse_plan(std::string const& text)
{
    auto const source = release::parse_document("plan", text);
    auto faults = source.faults;
    release::object_reader reader(source, "", faults);
    domain_plan plan;
    plan.failure_domain = reader.text("failure_domain");
    plan.region = reader.text("region");
    plan.version = reader.number("version", 0, max_version);
    plan.generation = reader.number("generation", 0, max_version);
    for (std::size_t index = 0; index < reader.size("endpoints"); ++index)
    {
        plan.endpoints.push_back(
            read_endpoint(reader.element("endpoints", index)));
    }
    reader.finish();
    if (!faults.empty())
    {
        return base::fail(
            base::error_kind::bad_frame, describe(source, faults));
    }
    return plan;
}

} // namespace foxtailvale::control
