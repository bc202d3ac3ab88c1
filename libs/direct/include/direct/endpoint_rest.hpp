#ifndef FOXTAILVALE_DIRECT_ENDPOINT_REST_HPP
#define FOXTAILVALE_DIRECT_ENDPOINT_REST_HPP

#include <direct/endpoint_table.hpp>

#include <chrono>
#include <string>

// Endpoints that turned a request of this entry away and asked it to send
// nothing for some time. Each entry goes by the answers that it got itself: an
// endpoint may take requests of one entry while it asks another for rest.
namespace foxtailvale::direct
{

// Records that the endpoint wants nothing for this time from now on. A shorter
// rest does not end a longer one that it asked for before.
void note_rest(
    endpoint_table& table,
    std::string const& id,
    std::chrono::milliseconds rest,
    base::time_point now);

// Returns the end of the endpoint's rest; the epoch if it asked for none.
base::time_point
rests_until(endpoint_table const& table, std::string const& id);

} // namespace foxtailvale::direct

#endif
