#include <direct/endpoint_table.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

namespace
{

std::optional<base::time_point> earliest_among_newer(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version,
    base::time_point announced_version::*which)
{
    std::optional<base::time_point> earliest;
    auto const found = table.versions.find(model);
    if (found == table.versions.end())
    {
        return earliest;
    }
    for (auto const& announced : found->second)
    {
        if (announced.version > version)
        {
            earliest =
                std::min(earliest.value_or(announced.*which), announced.*which);
        }
    }
    return earliest;
}

} // namespace

bool announce_version(
    endpoint_table& table,
    std::string const& model,
    announced_version const& announced)
{
    auto& known = table.versions[model];
    if (!known.empty() && known.back().version >= announced.version)
    {
        return false;
    }
    known.push_back(announced);
    return true;
}

void note_suspended(endpoint_table& table, std::chrono::milliseconds time)
{
    for (auto& [id, until] : table.rests)
    {
        until -= time;
    }
    for (auto& [model, known] : table.versions)
    {
        for (auto& announced : known)
        {
            announced.learned -= time;
            announced.predecessor_retires_at -= time;
        }
    }
    for (auto& [id, state] : table.endpoints)
    {
        scheduling::note_suspended(state.view, time);
    }
}

std::optional<base::time_point> version_retires_at(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version)
{
    return earliest_among_newer(
        table, model, version, &announced_version::predecessor_retires_at);
}

std::optional<base::time_point> superseded_at(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version)
{
    return earliest_among_newer(
        table, model, version, &announced_version::learned);
}

} // namespace foxtailvale::direct
