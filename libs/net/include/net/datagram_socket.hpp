#ifndef FOXTAILVALE_NET_DATAGRAM_SOCKET_HPP
#define FOXTAILVALE_NET_DATAGRAM_SOCKET_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailvale::net
{

using udp_endpoint = boost::asio::ip::udp::endpoint;

// Sends and receives UDP datagrams at one address. Datagrams may be lost, and
// one that cannot be sent at once is dropped; a sender that needs delivery must
// send again.
class datagram_socket : public std::enable_shared_from_this<datagram_socket>
{
public:
    using handler = std::function<void(udp_endpoint const&, std::string_view)>;

    datagram_socket(boost::asio::io_context& loop, handler callback);

    // Binds and starts to receive; returns an error text on failure.
    std::optional<std::string> open(udp_endpoint address);

    void send(udp_endpoint const& target, std::string_view bytes);

    void close();

private:
    void receive();

    boost::asio::ip::udp::socket socket;
    handler on_datagram;
    udp_endpoint source;
    std::array<char, 65536> receive_buffer{};
};

} // namespace foxtailvale::net

#endif
