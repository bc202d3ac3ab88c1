#include "connection.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace foxtailvale::http
{

namespace
{

using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponseImpl;
using Poco::Net::HTTPServerSession;

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr std::chrono::milliseconds longest_linger{1000};

// A socket that its peer has closed cannot be shut down again.
void shutdown_quietly(Poco::Net::StreamSocket& socket, bool both_ways)
{
    try
    {
        if (both_ways)
        {
            socket.shutdown();
        }
        else
        {
            socket.shutdownReceive();
        }
    }
    catch (Poco::Exception const&)
    {
        return;
    }
}

void answer_bad_head(
    HTTPServerSession& session,
    request_answering const& how,
    std::string const& what)
{
    HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setDate(Poco::Timestamp());
    response.setKeepAlive(false);
    session.setKeepAlive(false);
    if (how.bad_head)
    {
        how.bad_head(what, session.clientAddress().host().toString(), response);
        return;
    }
    send_text(response, 400, "text/plain", what + "\n");
}

} // namespace

// Failure: a connection that is closed while bytes from the caller are unread
// is reset, and the reset overtakes the answer: the caller of a request that
// was too large sees a broken connection and no reason. So the way out is
// closed first and the rest is read away, within bounds.
void linger(Poco::Net::StreamSocket& socket)
{
    try
    {
        socket.shutdownSend();
        std::array<char, piece_bytes> piece{};
        auto const start = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - start < longest_linger)
        {
            socket.setReceiveTimeout(
                std::chrono::microseconds(longest_linger).count());
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

void connection_table::add(
    connection const& owner, Poco::Net::StreamSocket const& socket)
{
    std::lock_guard const lock(this->mutex);
    this->open.emplace(&owner, entry{socket, false});
}

void connection_table::remove(connection const& owner)
{
    {
        std::lock_guard const lock(this->mutex);
        this->open.erase(&owner);
    }
    this->changed.notify_all();
}

void connection_table::set_busy(connection const& owner, bool busy)
{
    {
        std::lock_guard const lock(this->mutex);
        auto& own = this->open.at(&owner);
        own.busy = busy;
        if (!busy && this->stopping)
        {
            shutdown_quietly(own.socket, false);
        }
    }
    this->changed.notify_all();
}

bool connection_table::is_stopping()
{
    std::lock_guard const lock(this->mutex);
    return this->stopping;
}

void connection_table::stop()
{
    std::lock_guard const lock(this->mutex);
    this->stopping = true;
    for (auto& [owner, item] : this->open)
    {
        // Failure: a request that has arrived but is not read yet would be cut
        // off. Only the way in is closed: what has come can still be read and
        // answered, and the end is seen after it.
        if (!item.busy)
        {
            shutdown_quietly(item.socket, false);
        }
    }
}

bool connection_table::has_busy() const
{
    return std::ranges::any_of(
        this->open,
        [](auto const& item)
        {
            return item.second.busy;
        });
}

bool connection_table::wait_idle(std::chrono::milliseconds most)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(
        lock, most,
        [this]
        {
            return !this->has_busy();
        });
}

void connection_table::abort()
{
    std::lock_guard const lock(this->mutex);
    this->stopping = true;
    for (auto& [owner, item] : this->open)
    {
        shutdown_quietly(item.socket, true);
    }
}

connection::connection(
    Poco::Net::StreamSocket const& socket,
    std::shared_ptr<connection_context const> context)
    : TCPServerConnection(socket), shared(std::move(context))
{
    this->shared->table->add(*this, socket);
}

connection::~connection()
{
    this->shared->table->remove(*this);
}

void connection::run()
{
    auto params = this->shared->answering.params;
    HTTPServerSession session(this->socket(), params);
    while (session.hasMoreRequests())
    {
        this->shared->table->set_busy(*this, true);
        auto const goes_on = answer_request(session, this->shared->answering);
        this->shared->table->set_busy(*this, false);
        if (!goes_on)
        {
            break;
        }
    }
    linger(this->socket());
}

bool answer_request(HTTPServerSession& session, request_answering const& how)
{
    HTTPServerResponseImpl response(session);
    std::unique_ptr<HTTPServerRequestImpl> request;
    auto params = how.params;
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
        answer_bad_head(session, how, fault.message());
        return false;
    }
    response.setDate(Poco::Timestamp());
    response.setVersion(request->getVersion());
    response.setKeepAlive(
        request->getKeepAlive() && session.canKeepAlive() &&
        !how.is_stopping());
    if (request->getExpectContinue())
    {
        response.sendContinue();
    }
    how.handler(*request, response);
    session.setKeepAlive(response.getKeepAlive() && session.canKeepAlive());
    return session.getKeepAlive();
}

connection_factory::connection_factory(
    std::shared_ptr<connection_context const> context)
    : shared(std::move(context))
{
}

Poco::Net::TCPServerConnection*
connection_factory::createConnection(Poco::Net::StreamSocket const& socket)
{
    return new connection(socket, this->shared);
}

} // namespace foxtailvale::http
