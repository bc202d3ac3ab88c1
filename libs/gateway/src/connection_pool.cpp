#include <gateway/connection_pool.hpp>

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

// Where an endpoint does not say when it closes idle connections.
constexpr milliseconds unsaid_limit{1500};

milliseconds limit_of(net::client_connection const& connection)
{
    auto const announced = connection.announced_idle_limit();
    if (announced.count() <= 0)
    {
        return unsaid_limit;
    }
    // Half of what it announces: the endpoint counts from another moment, and
    // its end must not cross a request on the way.
    return std::chrono::duration_cast<milliseconds>(announced) / 2;
}

} // namespace

connection_pool::connection_pool(boost::asio::io_context& event_loop)
    : loop(event_loop)
{
}

std::shared_ptr<net::client_connection>
connection_pool::take(std::string const& address, milliseconds longest)
{
    auto& line = this->kept[address];
    while (!line.empty())
    {
        auto connection = line.back();
        line.pop_back();
        auto const limit = std::min(longest, limit_of(*connection));
        if (connection->is_open() && connection->is_idle() &&
            connection->idle_time() < limit)
        {
            return connection;
        }
        connection->close();
    }
    auto const target = net::parse_endpoint(address);
    if (!target)
    {
        return nullptr;
    }
    ++this->made;
    return std::make_shared<net::client_connection>(this->loop, *target);
}

void connection_pool::give(
    std::string const& address,
    std::shared_ptr<net::client_connection> connection)
{
    if (connection->is_open() && connection->is_idle())
    {
        this->kept[address].push_back(std::move(connection));
    }
}

void connection_pool::sweep()
{
    for (auto& [address, line] : this->kept)
    {
        std::erase_if(
            line,
            [](std::shared_ptr<net::client_connection> const& connection)
            {
                auto const fit =
                    connection->is_open() &&
                    connection->idle_time() < limit_of(*connection);
                if (!fit)
                {
                    connection->close();
                }
                return !fit;
            });
    }
    std::erase_if(
        this->kept,
        [](auto const& entry)
        {
            return entry.second.empty();
        });
}

std::uint64_t connection_pool::opened() const
{
    return this->made;
}

} // namespace foxtailvale::gateway
