#ifndef FOXTAILVALE_NET_CLIENT_CONNECTION_HPP
#define FOXTAILVALE_NET_CLIENT_CONNECTION_HPP

#include <net/message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailvale::net
{

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// "IP:PORT" as an address; nothing when it is not one.
std::optional<tcp_endpoint> parse_endpoint(std::string_view text);

// How an exchange on a connection ended.
enum class exchange_end
{
    // The response came whole.
    whole,
    // No connection came about: refused, unreachable or reset while opening.
    not_connected,
    // The connection ended or was reset before the response was whole.
    cut,
    // Bytes came that are no response.
    not_http,
    // The owner gave no bytes when the connection was ready for them.
    withheld,
};

// Facts of an exchange. What they mean for the request is decided elsewhere.
struct exchange_result
{
    exchange_end end = exchange_end::cut;
    // At least one byte of the request was handed to the connection.
    bool written = false;
    bool head_seen = false;
    // The connection had carried another exchange before.
    bool reused = false;
};

// What the owner of an exchange says of a response's head.
enum class head_verdict
{
    take,
    // It answers something else: drop it and wait for the next one.
    skip,
};

// The bytes of a request, asked for at the moment at which they are written;
// nothing when the request is not to be sent any more. Failure: a connection
// takes up to seconds to open, and a time limit in the bytes that counts from
// the decision to send ends that much too late at the server.
using request_source = std::function<std::optional<std::string>()>;

// Called from the loop, never from inside start(). All three must be set.
struct exchange_handlers
{
    std::function<head_verdict(response_head const&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(exchange_result const&)> on_end;
};

class response_reader;

// One connection to a server, which carries one exchange after the other. It
// reads at all times, so that an end or stray bytes between two exchanges are
// seen before the next one begins. Lives as long as an operation is pending.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context& loop, tcp_endpoint server);
    ~client_connection();
    client_connection(client_connection const&) = delete;
    client_connection& operator=(client_connection const&) = delete;

    // Sends the bytes of one request and reports its response. The connection
    // is opened when it is not open yet. Must not be called while an exchange
    // runs or after close().
    void start(std::string bytes, exchange_handlers handlers);

    // The same for bytes that depend on when they are written. Without any the
    // exchange ends as withheld and the connection is left as it was.
    void start(request_source source, exchange_handlers handlers);

    // Ends the connection; no handler is called any more. An exchange that is
    // under way is broken off with a reset. Failure: a server stood still, and
    // at its return the system delivered the requests that had been given up
    // meanwhile, each whole and with an orderly end behind it; they ran.
    void close();

    // Whether another exchange may be started on it.
    bool is_idle() const;

    // How long nothing has happened on it. Means something between exchanges.
    std::chrono::steady_clock::duration idle_time() const;

    // Idle time after which the server may close it, as it said last; zero
    // when it said nothing.
    std::chrono::seconds announced_idle_limit() const;

    // Whether the connection is established.
    bool is_open() const;

private:
    void begin(exchange_handlers next);
    void reset_at_close();
    void connect();
    // Asks for the bytes of the request and writes them.
    void write_request();
    // Hands on what the system takes now, and the rest when it has room.
    void write();
    void await_room();
    void read();
    void on_read(boost::system::error_code error, std::size_t count);
    void feed();
    void on_input_end(bool orderly);
    void finish(exchange_end end);
    void note_head(response_head const& head);

    boost::asio::ip::tcp::socket socket;
    tcp_endpoint address;
    std::array<char, 8192> block{};
    std::string inbox;
    // Asked once, when the connection is open.
    request_source source;
    std::string outbox;
    std::size_t sent = 0;
    std::unique_ptr<response_reader> reader;
    std::shared_ptr<exchange_handlers const> handlers;
    bool running = false;
    bool open = false;
    bool dead = false;
    bool skipping = false;
    bool keeps_alive = true;
    std::size_t exchanges = 0;
    std::chrono::steady_clock::time_point last_use;
    std::chrono::seconds idle_limit{0};
    exchange_result result;
};

} // namespace foxtailvale::net

#endif
