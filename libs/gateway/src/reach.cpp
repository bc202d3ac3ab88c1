#include "reach.hpp"

#include <net/client_connection.hpp>

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace foxtailvale::gateway
{

namespace
{

constexpr std::chrono::milliseconds probe_timeout{400};

struct connection_attempt
{
    explicit connection_attempt(boost::asio::io_context& loop)
        : socket(loop), timer(loop)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
};

} // namespace

void probe_connection(
    boost::asio::io_context& loop,
    std::string const& address,
    std::function<void(bool reached)> done)
{
    auto const target = net::parse_endpoint(address);
    if (!target)
    {
        return;
    }
    auto const attempt = std::make_shared<connection_attempt>(loop);
    attempt->timer.expires_after(probe_timeout);
    attempt->timer.async_wait(
        [attempt](boost::system::error_code error)
        {
            boost::system::error_code ignored;
            if (!error)
            {
                // Aborts the connection attempt, whose handler then reports an
                // error.
                attempt->socket.close(ignored);
            }
        });
    attempt->socket.async_connect(
        *target,
        [attempt, done = std::move(done)](boost::system::error_code error)
        {
            attempt->timer.cancel();
            done(!error);
        });
}

} // namespace foxtailvale::gateway
