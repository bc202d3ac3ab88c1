#ifndef FOXTAILVALE_GATEWAY_FETCH_HPP
#define FOXTAILVALE_GATEWAY_FETCH_HPP

#include <gateway/connection_pool.hpp>
#include <net/message.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace foxtailvale::gateway
{

// A whole response.
struct fetched
{
    unsigned status = 0;
    std::string body;
};

// Sends one request over a pooled connection and hands on the whole response,
// or nothing when it did not come within the limit. Called from the loop,
// never from inside.
void fetch(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& address,
    net::request const& request,
    std::chrono::milliseconds limit,
    std::function<void(std::optional<fetched>)> done);

} // namespace foxtailvale::gateway

#endif
