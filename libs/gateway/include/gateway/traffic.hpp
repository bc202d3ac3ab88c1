#ifndef FOXTAILVALE_GATEWAY_TRAFFIC_HPP
#define FOXTAILVALE_GATEWAY_TRAFFIC_HPP

#include <direct/endpoint_table.hpp>
#include <kernel/metrics.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

// Counts the bytes that an entry received from other processes of the system,
// by kind of message and by where they came from: traffic on the links between
// failure domains must not grow with the size of the fleet.
namespace foxtailvale::gateway
{

struct traffic_counts
{
    // Bytes by kind of message and sender's IP address, since the last flush.
    std::map<std::pair<std::string, std::string>, std::uint64_t> received;
};

void note_received(
    traffic_counts& counts,
    std::string const& kind,
    std::string const& sender,
    std::size_t bytes);

// Adds the counted bytes to the metrics, by the sender's failure domain: own,
// other, or unknown while the sender is not listed. Resets the counts.
void flush_traffic(
    traffic_counts& counts,
    direct::endpoint_table const& known,
    std::string const& own_domain,
    kernel::metrics& counters);

} // namespace foxtailvale::gateway

#endif
