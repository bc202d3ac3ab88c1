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

// One address that the link listens on and where it leads.
struct link_route
{
    // Side that the connections come from: the link's first or second name.
    std::string from;
    std::string listen_address;
    std::uint16_t listen_port = 0;
    std::string target_address;
    std::uint16_t target_port = 0;
};

// A link between two networks, shared by all its routes.
struct link_options
{
    std::string first;
    std::string second;
    std::chrono::microseconds latency{0};
    // Each way; zero is unlimited.
    std::uint64_t bits_per_second = 0;
    std::vector<link_route> routes;
};

// A paced link: forwards TCP connections with one-way latency and a rate per
// direction, counts bytes, and can be cut whole or one way. A cut stops bytes
// and answers no new connection, as a network that drops packets does.
class link
{
public:
    // The control port answers POST /control {"cut": "none" | "both" |
    // "first-to-second" | "second-to-first"} and GET /counters: bytes each way,
    // also by pair of the address that called and the one that listened.
    link(
        http::server_options const& control_options,
        link_options const& options);
    ~link();

private:
    class forwarder;

    std::unique_ptr<forwarder> forwards;
    http::server control;
};

} // namespace foxtailvale::standins

#endif
