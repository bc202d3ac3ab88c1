#include "demo_notes.hpp"

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t model_memory_mib = 64;
constexpr std::uint32_t warm_limit = 8;
constexpr std::uint32_t cold_limit = 2;

json model_clause(deployment const& from, std::string const& digest)
{
    json replicas;
    for (auto const& place : from.domains)
    {
        replicas[place.name] = place.engines;
    }
    return {
        {"digest", digest},
        {"replicas", replicas},
        {"limit", warm_limit},
        {"cold_limit", cold_limit},
        {"memory_mib", model_memory_mib}};
}

} // namespace

json first_note(deployment const& from, std::string const& digest)
{
    json note{{"note", 1}, {"follows", 0}};
    note["summary"] = "The first model, its services and all failure domains.";
    auto& added = note["added"];
    added["models"][from.model] = model_clause(from, digest);
    added["services"][from.booking_service] = {{"repeatable", false}};
    added["services"][from.supporting_service] = {{"repeatable", true}};
    for (auto const& place : from.domains)
    {
        added["domains"][place.name] = {{"region", place.region}};
    }
    for (auto const& workspace : from.workspaces)
    {
        added["workspaces"][workspace["name"].get<std::string>()] = {
            {"weight", workspace["weight"]}};
    }
    return note;
}

json version_note(deployment const& from, std::string const& digest)
{
    return {
        {"note", 2},
        {"follows", 1},
        {"summary", "A new version replaces the first."},
        {"changed", {{"models", {{from.model, model_clause(from, digest)}}}}}};
}

json domain_note(int number, std::string const& domain, char const* state)
{
    return {
        {"note", number},
        {"follows", number - 1},
        {"failure_domains", {{domain, state}}}};
}

} // namespace foxtailvale::scenario
