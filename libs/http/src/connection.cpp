#include "connection.hpp"

#include "exchange.hpp"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace foxtailvale::http
{

namespace
{

// Ignores errors, since a socket that its peer has closed cannot be shut down
// again.
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

} // namespace

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
        // Only the receiving direction is closed, so that a request that has
        // arrived but is not read yet is not cut off: it can still be read and
        // answered, and the end of input is seen after it.
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

bool connection_table::wait_idle(std::chrono::milliseconds max_wait)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(
        lock, max_wait,
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
    auto params = this->shared->params;
    server_session session(this->socket(), params);
    exchange_context const exchange{
        this->shared->handler, this->shared->bad_head, params,
        [this]
        {
            return this->shared->table->is_stopping();
        }};
    while (session.hasMoreRequests())
    {
        this->shared->table->set_busy(*this, true);
        auto const keep_open = answer_one(session, this->socket(), exchange);
        this->shared->table->set_busy(*this, false);
        if (!keep_open)
        {
            break;
        }
    }
    linger(this->socket());
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
