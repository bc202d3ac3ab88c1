#ifndef FOXTAILVALE_GATEWAY_METRICS_DOOR_HPP
#define FOXTAILVALE_GATEWAY_METRICS_DOOR_HPP

#include <kernel/metrics.hpp>
#include <net/http_server.hpp>

#include <memory>
#include <string>

namespace foxtailvale::gateway
{

// The port at which each process shows its metrics; deploy/system.toml names it
// to the platform. It is the one that Prometheus exporters of hosts begin at.
inline constexpr std::uint16_t metrics_port = 9464;

// Serves the counters as text at /metrics of the machine's address. Null, with
// a line in the log, when the address is taken: requests go on without it.
std::shared_ptr<net::http_server> open_metrics_door(
    boost::asio::io_context& loop,
    std::string const& ip,
    kernel::metrics const& counters);

} // namespace foxtailvale::gateway

#endif
