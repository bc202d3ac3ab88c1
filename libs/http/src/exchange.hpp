#ifndef FOXTAILVALE_HTTP_EXCHANGE_HPP
#define FOXTAILVALE_HTTP_EXCHANGE_HPP

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <http/http_server.hpp>

#include <functional>

namespace foxtailvale::http
{

// A session that shows whether its input has begun.
class server_session : public Poco::Net::HTTPServerSession
{
public:
    using HTTPServerSession::HTTPServerSession;
    using HTTPServerSession::peek;
};

// What a server provides for reading and answering one request.
struct exchange_context
{
    server_handler const& handler;
    bad_head_handler const& bad_head;
    Poco::Net::HTTPServerParams::Ptr params;
    // Whether the server is stopping: a response then ends its connection.
    std::function<bool()> is_stopping;
};

// Reads one request and answers it; returns false when the connection ends.
// POCO's own connection class answers an unreadable head with an empty page,
// which nothing counts; this function passes it to the server's owner, and
// likewise a request that the caller cut.
bool answer_one(
    server_session& session,
    Poco::Net::StreamSocket const& socket,
    exchange_context const& context);

// Whether bytes that were written have not arrived at the peer yet.
bool has_unsent(Poco::Net::StreamSocket const& socket);

// Closes a connection without losing its last response.
void linger(Poco::Net::StreamSocket& socket);

} // namespace foxtailvale::http

#endif
