#ifndef FOXTAILVALE_HTTP_EXCHANGE_HPP
#define FOXTAILVALE_HTTP_EXCHANGE_HPP

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/StreamSocket.h>
#include <http/http_server.hpp>

#include <functional>

namespace Poco::Net
{
class HTTPServerSession;
}

namespace foxtailvale::http
{

// What reading and answering one request needs from its server.
struct exchange_context
{
    server_handler const& handler;
    bad_head_handler const& bad_head;
    Poco::Net::HTTPServerParams::Ptr params;
    // Whether the server is stopping: an answer then ends its connection.
    std::function<bool()> is_stopping;
};

// Reads one request and answers it; false when the connection ends. POCO's own
// connection class answers a head that it cannot read with an empty page and
// nobody counts it; this hands it to the server's owner.
bool answer_one(
    Poco::Net::HTTPServerSession& session,
    Poco::Net::StreamSocket const& socket,
    exchange_context const& context);

// Ends a connection so that its last answer arrives.
void linger(Poco::Net::StreamSocket& socket);

} // namespace foxtailvale::http

#endif
