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

// Open connections to endpoints by address. A new connection costs a round
// trip and may hold one of the endpoint's slots for a moment, so they are kept
// for as long as the endpoint cannot have timed them out.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& event_loop);

    // A connection for one exchange; null when the address is none. `longest`
    // is the idle time up to which a kept one may be taken: short where a
    // reset that crosses the request could not be told from a lost answer.
    std::shared_ptr<net::client_connection>
    take(std::string const& address, std::chrono::milliseconds longest);

    // Gives a connection back after its exchange; one that ended is dropped.
    void give(
        std::string const& address,
        std::shared_ptr<net::client_connection> connection);

    // Ends those that nobody took for a while.
    void sweep();

    // Connections opened so far.
    std::uint64_t opened() const;

private:
    boost::asio::io_context& loop;
    // The one that was used last stands last.
    std::map<std::string, std::deque<std::shared_ptr<net::client_connection>>>
        kept;
    std::uint64_t made = 0;
};

} // namespace foxtailvale::gateway

#endif
