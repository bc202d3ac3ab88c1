#include "fetch.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace foxtailvale::gateway
{

namespace
{

// One request with its time-out; alive until the response has arrived, the
// request has failed or the time-out has expired.
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
    std::chrono::milliseconds timeout,
    std::function<void(std::optional<fetched>)> done)
{
    auto const source = [bytes = net::serialize(request)]() mutable
    {
        return std::optional<net::outgoing_request>(std::move(bytes));
    };
    fetch(loop, pool, address, source, timeout, std::move(done));
}

void fetch(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& address,
    net::request_source source,
    std::chrono::milliseconds timeout,
    std::function<void(std::optional<fetched>)> done)
{
    auto const pending = std::make_shared<exchange>(loop, std::move(done));
    pending->connection = pool.take(address, timeout);
    if (!pending->connection)
    {
        boost::asio::post(
            loop,
            [pending]
            {
                pending->end(std::nullopt);
            });
        return;
    }
    pending->connection->limit_body(max_fetched_bytes);
    pending->timer.expires_after(timeout);
    pending->timer.async_wait(
        [pending](boost::system::error_code error)
        {
            if (!error && pending->done)
            {
                pending->connection->close();
                pending->end(std::nullopt);
            }
        });
    pending->connection->start(
        std::move(source),
        {[pending](net::response_head const& head)
         {
             pending->response.status = head.status;
             pending->response.fields = head.fields;
             return net::head_verdict::take;
         },
         [pending](std::string_view data)
         {
             pending->response.body.append(data);
         },
         [pending, &pool, address](net::exchange_result const& result)
         {
             pool.give(address, pending->connection);
             if (result.end != net::exchange_end::whole)
             {
                 pending->end(std::nullopt);
                 return;
             }
             pending->end(std::move(pending->response));
         }});
}

} // namespace foxtailvale::gateway
