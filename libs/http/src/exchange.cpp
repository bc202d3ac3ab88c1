#include "exchange.hpp"

#include "message_socket.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <chrono>
#include <memory>

namespace foxtailvale::http
{

namespace
{

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponseImpl;
using Poco::Net::HTTPServerSession;

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr std::chrono::milliseconds max_linger{1000};
// How long a slow reader may take for the end of its last answer.
constexpr std::chrono::milliseconds max_unsent_linger{10'000};
constexpr std::chrono::milliseconds linger_check_interval{100};

void answer_bad_request(
    HTTPServerSession& session,
    Poco::Net::StreamSocket const& socket,
    exchange_context const& context,
    std::string const& what)
{
    HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setDate(Poco::Timestamp());
    response.setKeepAlive(false);
    session.setKeepAlive(false);
    if (context.bad_head)
    {
        context.bad_head(
            what, socket.peerAddress().host().toString(), response);
        return;
    }
    send_text(response, 400, "text/plain", what + "\n");
}

// Whether the caller closed the connection within the request. POCO reports it
// by exceptions of its own.
bool is_cut(server_session const& session)
{
    return dynamic_cast<cut_message const*>(session.networkException()) !=
           nullptr;
}

// Whether the body is sent with a length or in chunks. POCO ignores every other
// coding: the bytes of such a body would be read as the next request.
bool is_coding_known(Poco::Net::HTTPRequest const& request)
{
    auto codings = 0;
    auto known = true;
    for (auto const& [name, value] : request)
    {
        if (Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) ==
            0)
        {
            ++codings;
            known = known && Poco::icompare(value, "chunked") == 0;
        }
    }
    return known && codings <= 1;
}

// Whether a request begins before the caller closes the connection.
bool has_input(server_session& session)
{
    try
    {
        return session.peek() >= 0;
    }
    catch (cut_message const&)
    {
        return false;
    }
}

} // namespace

bool answer_one(
    server_session& session,
    Poco::Net::StreamSocket const& socket,
    exchange_context const& context)
{
    if (!has_input(session))
    {
        return false;
    }
    HTTPServerResponseImpl response(session);
    std::unique_ptr<HTTPServerRequestImpl> request;
    auto params = context.params;
    try
    {
        request = std::make_unique<HTTPServerRequestImpl>(
            response, session, params.get());
        // POCO's parser goes on where the head was cut within its last line.
        if (session.networkException() != nullptr)
        {
            session.networkException()->rethrow();
        }
    }
    catch (Poco::Net::MessageException const& fault)
    {
        answer_bad_request(session, socket, context, fault.message());
        return false;
    }
    catch (Poco::Net::NetException const&)
    {
        if (!is_cut(session))
        {
            throw;
        }
        answer_bad_request(
            session, socket, context, session.networkException()->message());
        return false;
    }
    if (!is_coding_known(*request))
    {
        answer_bad_request(session, socket, context, "unknown transfer coding");
        return false;
    }
    response.setDate(Poco::Timestamp());
    response.setVersion(request->getVersion());
    response.setKeepAlive(
        request->getKeepAlive() && session.canKeepAlive() &&
        !context.is_stopping());
    if (request->getExpectContinue())
    {
        response.sendContinue();
    }
    try
    {
        context.handler(*request, response);
    }
    catch (cut_message const& fault)
    {
        if (!response.sent())
        {
            answer_bad_request(session, socket, context, fault.message());
        }
        return false;
    }
    session.setKeepAlive(response.getKeepAlive() && session.canKeepAlive());
    return session.getKeepAlive();
}

bool has_unsent(Poco::Net::StreamSocket const& socket)
{
    int bytes = 0;
    return ::ioctl(socket.impl()->sockfd(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

// Closing a connection while input is unread resets it, and the reset overtakes
// the response: the caller of a request that was too large would see a broken
// connection without a reason, and a slow reader that sends ahead would lose
// the end of its answer. The sending direction is therefore closed first, and
// the input is read and discarded until the answer has arrived, within a time
// limit.
void linger(Poco::Net::StreamSocket& socket)
{
    using clock = std::chrono::steady_clock;
    auto const interval = Poco::Timespan(
        std::chrono::microseconds(linger_check_interval).count());
    try
    {
        socket.shutdownSend();
        std::array<char, piece_bytes> piece{};
        auto const start = clock::now();
        while (clock::now() - start < max_linger ||
               (clock::now() - start < max_unsent_linger && has_unsent(socket)))
        {
            if (!socket.poll(interval, Poco::Net::Socket::SELECT_READ))
            {
                continue;
            }
            auto const count = socket.receiveBytes(
                piece.data(), static_cast<int>(piece.size()));
            if (count <= 0)
            {
                return;
            }
        }
    }
    catch (Poco::Exception const&)
    {
        return;
    }
}

} // namespace foxtailvale::http
