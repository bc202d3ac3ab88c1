#ifndef FOXTAILVALE_GATEWAY_CONNECTION_POOL_HPP
#define FOXTAILVALE_GATEWAY_CONNECTION_POOL_HPP

#include <net/client_connection.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace foxtailvale::gateway
{

// Keeps idle connections to endpoints, by address, for reuse. Opening a
// connection costs a round trip and may occupy one of the endpoint's slots for
// a moment, so a connection is kept for as long as the endpoint cannot have
// closed it as idle.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& event_loop);

    // Returns a connection for one exchange, reused or new; null when the
    // address cannot be parsed. A pooled connection is reused only if it has
    // been idle for less than `max_idle`, in milliseconds. Pass a short time
    // for requests where a connection reset that crosses the request could not
    // be told from a lost answer.
    std::shared_ptr<net::client_connection>
    take(std::string const& address, std::chrono::milliseconds max_idle);

    // Returns a new connection; null when the address cannot be parsed.
    std::shared_ptr<net::client_connection> open(std::string const& address);

    // Returns a connection to the pool after its exchange; a closed one is
    // dropped.
    void give(
        std::string const& address,
        std::shared_ptr<net::client_connection> connection);

    // Closes connections that exceeded their idle limit.
    void sweep();

    // Number of connections opened so far.
    std::uint64_t opened() const;

private:
    boost::asio::io_context& loop;
    // By address; the most recently used connection is at the back.
    std::map<std::string, std::deque<std::shared_ptr<net::client_connection>>>
        idle_connections;
    std::uint64_t opened_count = 0;
};

} // namespace foxtailvale::gateway

#endif
