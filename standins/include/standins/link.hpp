#ifndef FOXTAILVALE_STANDINS_LINK_HPP
#define FOXTAILVALE_STANDINS_LINK_HPP

#include <http/http_server.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailvale::standins
{

// An address that the link listens on and the target it forwards to.
struct link_route
{
    // Network that the connections come from: `first` or `second` of the link.
    std::string from;
    std::string listen_address;
    std::uint16_t listen_port = 0;
    std::string target_address;
    std::uint16_t target_port = 0;
};

// A link between two networks. Its bandwidth is shared by all its routes.
struct link_options
{
    std::string first;
    std::string second;
    std::chrono::microseconds latency{0};
    // Per direction; zero is unlimited.
    std::uint64_t bits_per_second = 0;
    std::vector<link_route> routes;
};

// A rate-limited network link: forwards TCP connections with a one-way latency
// and a rate limit per direction, counts bytes, and can be cut in one direction
// or both. A cut stops bytes on open connections and establishes no new
// connections, which imitates a network that drops packets.
class link
{
public:
    // The control port answers POST /control {"cut": "none" | "both" |
    // "first-to-second" | "second-to-first"} and GET /counters: bytes per
    // direction, in total and per pair of source address and listening address.
    link(
        http::server_options const& control_options,
        link_options const& options);
    ~link();

private:
    class forwarder;

    std::unique_ptr<forwarder> tcp_forwarder;
    http::server control;
};

} // namespace foxtailvale::standins

#endif
