#ifndef FOXTAILVALE_GATEWAY_REACH_HPP
#define FOXTAILVALE_GATEWAY_REACH_HPP

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace foxtailvale::gateway
{

// Opens a connection to the address and ends it at once; says whether somebody
// listens there. Costs a handshake and no request.
void probe_connection(
    boost::asio::io_context& loop,
    std::string const& address,
    std::function<void(bool reached)> done);

} // namespace foxtailvale::gateway

#endif
