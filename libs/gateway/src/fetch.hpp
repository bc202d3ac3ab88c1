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

// A complete response.
struct fetched
{
    unsigned status = 0;
    net::field_list fields;
    std::string body;
};

// Larger answers of the platform's store, of agents, engines and origins count
// as none. The store's pages hold 1 MB.
inline constexpr std::size_t max_fetched_bytes = 4UL * 1024 * 1024;

// Sends one request over a pooled connection and passes on the complete
// response, or nothing when it did not arrive within the time-out. The callback
// is invoked from the event loop, never from within this call.
void fetch(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& address,
    net::request const& request,
    std::chrono::milliseconds timeout,
    std::function<void(std::optional<fetched>)> done);

// Like the other overload, for a request whose source decides when it is
// written whether it may still be sent. When the source returns no bytes, the
// callback gets no response.
void fetch(
    boost::asio::io_context& loop,
    connection_pool& pool,
    std::string const& address,
    net::request_source source,
    std::chrono::milliseconds timeout,
    std::function<void(std::optional<fetched>)> done);

} // namespace foxtailvale::gateway

#endif
