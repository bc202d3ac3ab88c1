#include <direct/leaving_endpoints.hpp>

namespace foxtailvale::direct
{

namespace
{

// An endpoint that left the list may come back to it, as long as it serves.
constexpr std::chrono::minutes leaving_memory{10};

} // namespace

bool note_leaving(
    endpoint_table& table, std::string const& id, base::time_point now)
{
    auto const found = table.endpoints.find(id);
    if (found == table.endpoints.end())
    {
        return false;
    }
    std::erase_if(
        table.leaving,
        [now](auto const& entry)
        {
            return now - entry.second.said > leaving_memory;
        });
    auto const is_news = !is_leaving(table, id);
    table.leaving[id] = {found->second.listed.started_ms, now};
    return is_news;
}

bool is_leaving(endpoint_table const& table, std::string const& id)
{
    auto const said = table.leaving.find(id);
    if (said == table.leaving.end())
    {
        return false;
    }
    auto const found = table.endpoints.find(id);
    return found == table.endpoints.end() ||
           found->second.listed.started_ms == said->second.started_ms;
}

} // namespace foxtailvale::direct
