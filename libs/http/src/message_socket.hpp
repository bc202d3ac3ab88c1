#ifndef FOXTAILVALE_HTTP_MESSAGE_SOCKET_HPP
#define FOXTAILVALE_HTTP_MESSAGE_SOCKET_HPP

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

// Sockets of a server on which a request cannot end by accident. POCO takes the
// end of input for the empty line after a head, for the end of a body with a
// length and for the last chunk. A connection that closed within a request
// would pass for a whole one, which is carried out with half of its body.
namespace foxtailvale::http
{

// A peer closed its connection within a message.
POCO_DECLARE_EXCEPTION(, cut_message, Poco::Net::NetException)

// Sets whether the input of a message socket may end. While it must not, as at
// first, reading the end throws cut_message.
void allow_end_of_input(Poco::Net::StreamSocket& socket, bool allowed);

// A listening socket whose connections are message sockets.
class message_server_socket : public Poco::Net::ServerSocket
{
public:
    // Throws Poco::Exception when it cannot listen at the address.
    message_server_socket(Poco::Net::SocketAddress const& address, int backlog);
};

} // namespace foxtailvale::http

#endif
