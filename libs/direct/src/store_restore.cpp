#include <direct/store_restore.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

bool is_within(
    std::optional<base::time_point> begin,
    std::chrono::milliseconds time,
    base::time_point now)
{
    return begin && now - *begin < time;
}

void expire_departed(store_restore_state& restore_state, base::time_point now)
{
    std::erase_if(
        restore_state.departed,
        [now](auto const& entry)
        {
            return now - entry.second > departed_memory;
        });
}

bool is_draining(endpoint_table const& table, std::string const& id)
{
    auto const found = table.endpoints.find(id);
    return found != table.endpoints.end() && found->second.listed.draining;
}

} // namespace

void note_store_restored(endpoint_table& table, base::time_point now)
{
    table.restore_state.restored = now;
}

bool may_lack_endpoints(endpoint_table const& table, base::time_point now)
{
    return is_within(table.restore_state.restored, withhold_time, now);
}

void note_departed(
    endpoint_table& table, std::string const& id, base::time_point now)
{
    auto& restore_state = table.restore_state;
    if (restore_state.departed.size() >= max_departed)
    {
        expire_departed(restore_state, now);
    }
    if (restore_state.departed.size() < max_departed)
    {
        restore_state.departed[id] = now;
    }
}

void note_present(endpoint_table& table, std::string const& id)
{
    table.restore_state.departed.erase(id);
    table.restore_state.withheld.erase(id);
}

bool withhold(
    endpoint_table& table, endpoint_record const& record, base::time_point now)
{
    auto& restore_state = table.restore_state;
    if (!is_within(restore_state.restored, withhold_time, now))
    {
        return false;
    }
    expire_departed(restore_state, now);
    auto const leaves = is_draining(table, record.id) && !record.draining;
    if (!leaves && !restore_state.departed.contains(record.id))
    {
        return false;
    }
    restore_state.withheld[record.id] = record;
    return true;
}

void discard_withheld(endpoint_table& table, std::string const& id)
{
    table.restore_state.withheld.erase(id);
}

std::vector<endpoint_record>
take_released(endpoint_table& table, base::time_point now)
{
    std::vector<endpoint_record> released;
    auto& restore_state = table.restore_state;
    if (restore_state.withheld.empty() ||
        is_within(restore_state.restored, withhold_time, now))
    {
        return released;
    }
    for (auto& [id, record] : std::exchange(restore_state.withheld, {}))
    {
        released.push_back(std::move(record));
    }
    return released;
}

bool take_out_of_service(endpoint_table& table, std::string const& domain)
{
    table.restore_state.held_out.erase(domain);
    return table.domains_out.insert(domain).second;
}

bool return_to_service(endpoint_table& table, std::string const& domain)
{
    table.restore_state.held_out.erase(domain);
    return table.domains_out.erase(domain) > 0;
}

std::vector<std::string> replace_domains(
    endpoint_table& table,
    std::set<std::string> const& listed,
    base::time_point now)
{
    auto& restore_state = table.restore_state;
    std::vector<std::string> back;
    for (auto const& domain : std::set<std::string>(table.domains_out))
    {
        if (listed.contains(domain))
        {
            continue;
        }
        if (is_within(restore_state.restored, held_out_time, now))
        {
            restore_state.held_out.insert(domain);
            continue;
        }
        return_to_service(table, domain);
        back.push_back(domain);
    }
    return back;
}

std::vector<std::string>
expire_domains(endpoint_table& table, base::time_point now)
{
    auto& restore_state = table.restore_state;
    std::vector<std::string> back;
    if (restore_state.held_out.empty() ||
        is_within(restore_state.restored, held_out_time, now))
    {
        return back;
    }
    for (auto const& domain : std::exchange(restore_state.held_out, {}))
    {
        if (table.domains_out.erase(domain) > 0)
        {
            back.push_back(domain);
        }
    }
    return back;
}

} // namespace foxtailvale::direct
