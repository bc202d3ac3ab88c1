#ifndef FOXTAILVALE_HTTP_MESSAGE_SOCKET_HPP
#define FOXTAILVALE_HTTP_MESSAGE_SOCKET_HPP

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

// Sockets on which a message cannot end by accident. POCO takes the end of
// input for the empty line after a head, for the end of a body with a length
// and for the last chunk. A connection that closed within a message would pass
// for a whole one: an answer with status 200 and an empty body, or a request
// that is carried out with half of its body.
namespace foxtailvale::http
{

// A peer closed its connection within a message.
POCO_DECLARE_EXCEPTION(, cut_message, Poco::Net::NetException)

// Makes a socket for one side of HTTP: reading the end of its input throws
// cut_message while that is not allowed, as at first.
Poco::Net::StreamSocket make_message_socket();

// Sets whether the input may end, for a body that ends with its connection.
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
