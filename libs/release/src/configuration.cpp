#include "sections.hpp"

#include <release/configuration.hpp>

namespace foxtailvale::release
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_generation = 1ULL << 62U;

json model_json(model_release const& model)
{
    json value{
        {"digest", model.digest},
        {"replicas", model.replicas},
        {"floor", model.floor},
        {"limit", model.limit},
        {"cold_limit", model.cold_limit},
        {"memory_mib", model.memory_mib},
        {"clause_note", model.clause_note}};
    if (!model.base.empty())
    {
        value["base"] = model.base;
    }
    return value;
}

json service_json(service_release const& service)
{
    return {
        {"repeatable", service.repeatable},
        {"limit", service.limit},
        {"clause_note", service.clause_note}};
}

json domain_json(domain_release const& domain)
{
    return {
        {"region", domain.region},
        {"in", domain.in},
        {"clause_note", domain.clause_note}};
}

json workspace_json(workspace_release const& workspace)
{
    return {{"weight", workspace.weight}};
}

template <class Release, class Function>
json section(std::map<std::string, Release> const& entries, Function write)
{
    json value = json::object();
    for (auto const& [name, entry] : entries)
    {
        value[name] = write(entry);
    }
    return value;
}

std::uint64_t read_clause_note(object_reader& reader)
{
    return reader.number_or("clause_note", 0, 0, max_generation);
}

template <class Release, class Function>
std::map<std::string, Release> read_section(object_reader reader, Function read)
{
    std::map<std::string, Release> entries;
    for (auto const& name : reader.keys())
    {
        auto entry = reader.child(name);
        auto value = read(entry);
        value.clause_note = read_clause_note(entry);
        entry.finish();
        entries.emplace(name, std::move(value));
    }
    return entries;
}

domain_release read_domain(object_reader& reader)
{
    domain_release domain;
    domain.region = reader.text("region");
    domain.in = reader.flag_or("in", true);
    return domain;
}

std::map<std::string, workspace_release> read_workspaces(object_reader reader)
{
    std::map<std::string, workspace_release> entries;
    for (auto const& name : reader.keys())
    {
        auto entry = reader.child(name);
        entries.emplace(name, read_workspace(entry));
        entry.finish();
    }
    return entries;
}

} // namespace

std::string to_text(configuration const& value)
{
    return json{
        {"generation", value.generation},
        {"models", section(value.models, model_json)},
        {"services", section(value.services, service_json)},
        {"domains", section(value.domains, domain_json)},
        {"workspaces", section(value.workspaces, workspace_json)}}
        .dump();
}

base::result<configuration> parse_configuration(std::string const& text)
{
    auto const source = parse_document("configuration", text);
    auto faults = source.faults;
    configuration value;
    object_reader reader(source, "", faults);
    value.generation = reader.number("generation", 0, max_generation);
    value.models =
        read_section<model_release>(reader.child("models"), read_model);
    value.services =
        read_section<service_release>(reader.child("services"), read_service);
    value.domains =
        read_section<domain_release>(reader.child("domains"), read_domain);
    value.workspaces = read_workspaces(reader.child("workspaces"));
    reader.finish();
    if (!faults.empty())
    {
        return base::fail(
            base::error_kind::bad_release_note, describe(source, faults));
    }
    return value;
}

} // namespace foxtailvale::release
