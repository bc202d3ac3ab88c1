#include <gateway/connection_pool.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

// Idle limit for endpoints that do not announce when they close idle
// connections.
constexpr milliseconds default_idle_limit{1500};

milliseconds idle_limit(net::client_connection const& connection)
{
    auto const announced = connection.announced_idle_limit();
    if (announced.count() <= 0)
    {
        return default_idle_limit;
    }
    // Half of the announced time: the endpoint starts counting at a different
    // moment, and its close must not cross a request that is under way.
    return std::chrono::duration_cast<milliseconds>(announced) / 2;
}

} // namespace

connection_pool::connection_pool(boost::asio::io_context& event_loop)
    : loop(event_loop)
{
}

std::shared_ptr<net::client_connection>
connection_pool::take(std::string const& address, milliseconds max_idle)
{
    auto& connections = this->idle_connections[address];
    while (!connections.empty())
    {
        auto connection = connections.back();
        connections.pop_back();
        auto const limit = std::min(max_idle, idle_limit(*connection));
        if (connection->is_open() && connection->is_idle() &&
            connection->idle_time() < limit)
        {
            return connection;
        }
        connection->close();
    }
    return this->open(address);
}

std::shared_ptr<net::client_connection>
connection_pool::open(std::string const& address)
{
    auto const target = net::parse_endpoint(address);
    if (!target)
    {
        return nullptr;
    }
    ++this->opened_count;
    return std::make_shared<net::client_connection>(this->loop, *target);
}

void connection_pool::give(
    std::string const& address,
    std::shared_ptr<net::client_connection> connection)
{
    if (connection->is_open() && connection->is_idle())
    {
        this->idle_connections[address].push_back(std::move(connection));
    }
}

void connection_pool::sweep()
{
    for (auto& [address, connections] : this->idle_connections)
    {
        std::erase_if(
            connections,
            [](std::shared_ptr<net::client_connection> const& connection)
            {
                auto const is_usable =
                    connection->is_open() &&
                    connection->idle_time() < idle_limit(*connection);
                if (!is_usable)
                {
                    connection->close();
                }
                return !is_usable;
            });
    }
    std::erase_if(
        this->idle_connections,
        [](auto const& entry)
        {
            return entry.second.empty();
        });
}

std::uint64_t connection_pool::opened() const
{
    return this->opened_count;
}

} // namespace foxtailvale::gateway
