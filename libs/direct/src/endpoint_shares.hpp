#ifndef FOXTAILVALE_DIRECT_ENDPOINT_SHARES_HPP
#define FOXTAILVALE_DIRECT_ENDPOINT_SHARES_HPP

#include <direct/placement.hpp>

#include <set>
#include <string>

namespace foxtailvale::direct
{

// Whether the endpoint can take such a request at all.
bool is_listed_for(
    endpoint_table const& table,
    endpoint_state const& state,
    placement_query const& query);

// The endpoints to which this entry may send requests of a query, as has_share
// divides them among all entries. Refers to the table and the query.
class endpoint_shares
{
public:
    endpoint_shares(endpoint_table const& known, placement_query const& wanted);

    // Whether this entry has a share of the endpoint. True for all endpoints
    // while the other entries are unknown.
    bool includes(endpoint_state const& state) const;

    // Returns this entry's part in the limit that the endpoint names.
    limit_part part_of_limit(endpoint_state const& state) const;

private:
    bool has_share_of(
        endpoint_state const& state,
        rate_bound const& bound,
        share_cache* cache) const;

    endpoint_table const& table;
    placement_query const& query;
    // Entries of failure domains without an endpoint of the service.
    std::set<std::string> without_endpoints;
    // Identifies the set above.
    std::uint64_t without_key = 0;
};

} // namespace foxtailvale::direct

#endif
