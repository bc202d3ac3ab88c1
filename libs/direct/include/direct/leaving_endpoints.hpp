#ifndef FOXTAILVALE_DIRECT_LEAVING_ENDPOINTS_HPP
#define FOXTAILVALE_DIRECT_LEAVING_ENDPOINTS_HPP

#include <direct/endpoint_table.hpp>

#include <string>

// Endpoints that said in an answer to this entry that they are leaving.
// The platform's list may show it seconds later or never. What runs at such an
// endpoint goes on; nothing new is sent there.
namespace foxtailvale::direct
{

// Records that the endpoint, as it is listed now, is leaving. Returns whether
// that is news.
bool note_leaving(
    endpoint_table& table, std::string const& id, base::time_point now);

// Whether the endpoint has said so. One that has started again under its id
// since is not leaving.
bool is_leaving(endpoint_table const& table, std::string const& id);

} // namespace foxtailvale::direct

#endif
