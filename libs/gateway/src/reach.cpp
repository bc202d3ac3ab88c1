#include "reach.hpp"

#include <net/client_connection.hpp>

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace foxtailvale::gateway
{

namespace
{

constexpr std::chrono::milliseconds limit{400};

struct trial
{
    explicit trial(boost::asio::io_context& loop) : socket(loop), timer(loop)
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
    auto const held = std::make_shared<trial>(loop);
    held->timer.expires_after(limit);
    held->timer.async_wait(
        [held](boost::system::error_code error)
        {
            boost::system::error_code ignored;
            if (!error)
            {
                // Ends the connection attempt, which then reports an error.
                held->socket.close(ignored);
            }
        });
    held->socket.async_connect(
        *target,
        [held, done = std::move(done)](boost::system::error_code error)
        {
            held->timer.cancel();
            done(!error);
        });
}

} // namespace foxtailvale::gateway
