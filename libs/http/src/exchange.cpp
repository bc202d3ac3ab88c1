#include "exchange.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>

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

void answer_bad_head(
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

} // namespace

bool answer_one(
    HTTPServerSession& session,
    Poco::Net::StreamSocket const& socket,
    exchange_context const& context)
{
    HTTPServerResponseImpl response(session);
    std::unique_ptr<HTTPServerRequestImpl> request;
    auto params = context.params;
    try
    {
        request = std::make_unique<HTTPServerRequestImpl>(
            response, session, params.get());
    }
    catch (Poco::Net::NoMessageException const&)
    {
        return false;
    }
    catch (Poco::Net::MessageException const& fault)
    {
        answer_bad_head(session, socket, context, fault.message());
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
    context.handler(*request, response);
    session.setKeepAlive(response.getKeepAlive() && session.canKeepAlive());
    return session.getKeepAlive();
}

// Closing a connection while input is unread resets it, and the reset overtakes
// the response: the caller of a request that was too large would see a broken
// connection without a reason. The sending direction is therefore closed first,
// and the remaining input is read and discarded, within a time limit.
void linger(Poco::Net::StreamSocket& socket)
{
    try
    {
        socket.shutdownSend();
        std::array<char, piece_bytes> piece{};
        auto const start = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - start < max_linger)
        {
            socket.setReceiveTimeout(
                std::chrono::microseconds(max_linger).count());
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
