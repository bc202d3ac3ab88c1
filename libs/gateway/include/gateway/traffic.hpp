#ifndef FOXTAILVALE_GATEWAY_TRAFFIC_HPP
#define FOXTAILVALE_GATEWAY_TRAFFIC_HPP

#include <direct/endpoint_table.hpp>
#include <kernel/metrics.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

// How many bytes an entry received from other processes of the system, by kind
// of message and by where they came from: what crosses the links between
// failure domains must not grow with the fleet.
namespace foxtailvale::gateway
{

struct traffic_book
{
    // By kind of message and the sender's IP address, since the last telling.
    std::map<std::pair<std::string, std::string>, std::uint64_t> received;
};

void note_received(
    traffic_book& book,
    std::string const& kind,
    std::string const& sender,
    std::size_t bytes);

// Adds what was received to the counters, by the sender's failure domain: own,
// other, or unknown while the sender has not been named. Begins anew.
void tell_traffic(
    traffic_book& book,
    direct::endpoint_table const& known,
    std::string const& own_domain,
    kernel::metrics& counters);

} // namespace foxtailvale::gateway

#endif
