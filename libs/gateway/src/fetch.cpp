#include "fetch.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace foxtailvale::gateway
{

namespace
{

// One exchange with its time limit; alive until one of both has ended it.
struct exchange : std::enable_shared_from_this<exchange>
{
    exchange(
        boost::asio::io_context& loop,
        std::function<void(std::optional<fetched>)> callback)
        : timer(loop), done(std::move(callback))
    {
    }

    void end(std::optional<fetched> result)
    {
        this->timer.cancel();
        auto const callback = std::exchange(this->done, {});
        if (callback)
        {
            callback(std::move(result));
        }
    }

    boost::asio::steady_timer timer;
    std::function<void(std::optional<fetched>)> done;
    std::shared_ptr<net::client_connection> connection;
    fetched response;
};

} // namespace

void fetch(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& address,
    net::request const& request,
    std::chrono::milliseconds limit,
    std::function<void(std::optional<fetched>)> done)
{
    auto const held = std::make_shared<exchange>(loop, std::move(done));
    held->connection = pool.take(address, limit);
    if (!held->connection)
    {
        boost::asio::post(
            loop,
            [held]
            {
                held->end(std::nullopt);
            });
        return;
    }
    held->timer.expires_after(limit);
    held->timer.async_wait(
        [held](boost::system::error_code error)
        {
            if (!error && held->done)
            {
                held->connection->close();
                held->end(std::nullopt);
            }
        });
    held->connection->start(
        net::serialize(request),
        {[held](net::response_head const& head)
         {
             held->response.status = head.status;
             return net::head_verdict::take;
         },
         [held](std::string_view data)
         {
             held->response.body.append(data);
         },
         [held, &pool, address](net::exchange_result const& result)
         {
             pool.give(address, held->connection);
             if (result.end != net::exchange_end::whole)
             {
                 held->end(std::nullopt);
                 return;
             }
             held->end(std::move(held->response));
         }});
}

} // namespace foxtailvale::gateway
