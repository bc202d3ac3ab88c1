#ifndef FOXTAILVALE_GATEWAY_METRICS_SERVER_HPP
#define FOXTAILVALE_GATEWAY_METRICS_SERVER_HPP

#include <kernel/metrics.hpp>
#include <net/http_server.hpp>

#include <memory>
#include <string>

namespace foxtailvale::gateway
{

// Port on which each process serves its metrics; deploy/system.toml tells the
// platform about it. Prometheus host exporters conventionally use the ports
// from this one on.
inline constexpr std::uint16_t metrics_port = 9464;

// Serves the counters as text at /metrics on the machine's address. Returns
// null and logs an error when the address cannot be bound: the process serves
// requests without metrics.
std::shared_ptr<net::http_server> start_metrics_server(
    boost::asio::io_context& loop,
    std::string const& ip,
    kernel::metrics const& counters);

} // namespace foxtailvale::gateway

#endif
