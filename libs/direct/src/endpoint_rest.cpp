#include <direct/endpoint_rest.hpp>

#include <algorithm>

namespace foxtailvale::direct
{

void note_rest(
    endpoint_table& table,
    std::string const& id,
    std::chrono::milliseconds rest,
    base::time_point now)
{
    std::erase_if(
        table.rests,
        [now](auto const& entry)
        {
            return entry.second <= now;
        });
    auto& until = table.rests[id];
    until = std::max(until, now + rest);
}

base::time_point rests_until(endpoint_table const& table, std::string const& id)
{
    auto const found = table.rests.find(id);
    return found != table.rests.end() ? found->second : base::time_point();
}

} // namespace foxtailvale::direct
