#include "endpoint_shares.hpp"

#include <base/digest.hpp>
#include <direct/leaving_endpoints.hpp>

#include <string_view>

namespace foxtailvale::direct
{

namespace
{

bool is_in_service(
    endpoint_table const& table,
    endpoint_state const& state,
    std::string const& service)
{
    auto const& listed = state.listed;
    return listed.service == service && !listed.draining &&
           !is_leaving(table, listed.id) &&
           !table.domains_out.contains(listed.failure_domain);
}

// Returns the entries of failure domains without an endpoint of the service.
// The regions of the request don't matter: the shares of an endpoint are the
// same for all routes.
std::set<std::string> entries_without_endpoints(
    endpoint_table const& table, std::string const& service)
{
    std::set<std::string_view> served;
    for (auto const& [id, state] : table.endpoints)
    {
        if (is_in_service(table, state, service))
        {
            served.insert(state.listed.failure_domain);
        }
    }
    std::set<std::string> found;
    for (auto const& [domain, entries] : table.domain_entries)
    {
        if (!served.contains(domain))
        {
            found.insert(entries.begin(), entries.end());
        }
    }
    return found;
}

std::uint64_t key_of(std::set<std::string> const& names)
{
    std::uint64_t key = 0;
    for (auto const& name : names)
    {
        key = base::stable_hash(name, key);
    }
    return key;
}

} // namespace

bool is_listed_for(
    endpoint_table const& table,
    endpoint_state const& state,
    placement_query const& query)
{
    if (!is_in_service(table, state, query.service))
    {
        return false;
    }
    if (query.regions.empty())
    {
        return true;
    }
    auto const region = table.regions.find(state.listed.failure_domain);
    return region != table.regions.end() &&
           query.regions.contains(region->second);
}

endpoint_shares::endpoint_shares(
    endpoint_table const& known, placement_query const& wanted)
    : table(known), query(wanted),
      without_endpoints(entries_without_endpoints(known, wanted.service)),
      without_key(key_of(this->without_endpoints))
{
}

bool endpoint_shares::includes(endpoint_state const& state) const
{
    return this->has_share_of(state, this->query.cold, this->query.parts);
}

limit_part endpoint_shares::part_of_limit(endpoint_state const& state) const
{
    auto const bound = shared_bound(state.limit.per_second.value_or(0));
    auto const& own = this->query.own_entry;
    auto const& id = state.listed.id;
    limit_part part;
    part.ticket = base::stable_hash(own + "/" + id);
    if (this->query.newcomer)
    {
        part.entries = this->query.assumed_entries;
        part.has_share = has_estimated_share(own, id, bound, part.entries);
        return part;
    }
    part.entries = this->query.all_sharers;
    part.has_share = this->has_share_of(state, bound, this->query.limit_parts);
    return part;
}

bool endpoint_shares::has_share_of(
    endpoint_state const& state,
    rate_bound const& bound,
    share_cache* cache) const
{
    if (this->query.all_entries == nullptr)
    {
        return true;
    }
    auto const near =
        this->table.domain_entries.find(state.listed.failure_domain);
    entry_ranks const ranks{
        near != this->table.domain_entries.end() ? &near->second : nullptr,
        &this->without_endpoints, this->without_key};
    share_cache none;
    return has_share(
        cache != nullptr ? *cache : none, *this->query.all_entries, ranks,
        this->query.own_entry, state.listed.id, bound);
}

} // namespace foxtailvale::direct
