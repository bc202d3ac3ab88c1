#ifndef FOXTAILVALE_GATEWAY_REACH_HPP
#define FOXTAILVALE_GATEWAY_REACH_HPP

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace foxtailvale::gateway
{

// Opens a TCP connection to the address and closes it at once; reports whether
// anything accepts connections there. Costs a handshake and no request.
void probe_connection(
    boost::asio::io_context& loop,
    std::string const& address,
    std::function<void(bool reached)> done);

} // namespace foxtailvale::gateway

#endif
