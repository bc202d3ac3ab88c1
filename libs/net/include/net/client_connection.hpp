#ifndef FOXTAILVALE_NET_CLIENT_CONNECTION_HPP
#define FOXTAILVALE_NET_CLIENT_CONNECTION_HPP

#include <net/message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailvale::net
{

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// Parses "IP:PORT"; returns nothing when the text has another form or the port
// is zero.
std::optional<tcp_endpoint> parse_endpoint(std::string_view text);

// How an exchange, one request and its response, ended.
enum class exchange_end
{
    // The response was received completely.
    whole,
    // The connection could not be opened: refused, unreachable or reset while
    // opening.
    not_connected,
    // The connection was closed or reset before the response was complete.
    cut,
    // The received bytes are not an HTTP response.
    not_http,
    // The request source returned no bytes when the connection was ready for
    // them.
    withheld,
};

// What was observed during an exchange. What it means for the request is
// decided by the owner of the exchange.
struct exchange_result
{
    exchange_end end = exchange_end::cut;
    // At least one byte of the request was handed to the system.
    bool written = false;
    bool head_seen = false;
    // The connection had carried another exchange before.
    bool reused = false;
};

// Decision of an exchange's owner about a response head.
enum class head_verdict
{
    take,
    // The response belongs to another request: discard it and wait for the next
    // one.
    skip,
};

// Produces the bytes of a request at the moment they are written; returns
// nothing when the request must no longer be sent. Opening a connection can
// take seconds: a time limit in the request that was computed at the decision
// to send would end that much too late at the server.
using request_source = std::function<std::optional<outgoing_request>()>;

// Callbacks of an exchange. They run on the loop, never inside start(). All
// three must be set.
struct exchange_handlers
{
    std::function<head_verdict(response_head const&)> on_head;
    std::function<void(std::string_view)> on_data;
    std::function<void(exchange_result const&)> on_end;
};

// Received bytes of an exchange that are not part of a head or a body yet: the
// rest of a head, a chunk's size, trailing fields.
inline constexpr std::size_t max_unparsed_bytes = 32UL * 1024;

// Received bytes of an exchange before the head that its owner takes:
// informational responses and responses to other requests.
inline constexpr std::size_t max_untaken_bytes = 1024UL * 1024;

class response_reader;

// One connection to a server, which carries one exchange after the other. It
// reads at all times, and looks once more as an exchange begins, so that a
// close or stray bytes between two exchanges are detected before the next one
// begins; that one opens another connection. Pending operations keep the object
// alive.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(boost::asio::io_context& loop, tcp_endpoint server);
    ~client_connection();
    client_connection(client_connection const&) = delete;
    client_connection& operator=(client_connection const&) = delete;

    // Sends one request and reports its response to the handlers. Opens the
    // connection when it is not open yet. Must not be called while an exchange
    // is running or after close().
    void start(std::string bytes, exchange_handlers handlers);

    // Like the other overload, for a request whose bytes depend on when they
    // are written. When the source returns none, the exchange ends as withheld
    // and the connection stays as it was.
    void start(request_source source, exchange_handlers handlers);

    // Closes the connection; no handler is called afterwards. A running
    // exchange is aborted with a reset. With an orderly close, the system of a
    // stalled server would deliver timed-out requests when the server resumes,
    // each complete and followed by a normal end of stream, and they would be
    // executed.
    void close();

    static constexpr std::size_t no_body_limit =
        std::numeric_limits<std::size_t>::max();

    // An exchange whose response has a larger body ends as not_http.
    void limit_body(std::size_t bytes);

    // Stops reading the response, so that the server has to wait, until
    // resume_reading() or the end of the exchange. Meanwhile a close by the
    // server goes unnoticed.
    void pause_reading();
    void resume_reading();

    // Whether another exchange may be started on it.
    bool is_idle() const;

    // Time since the connection was last used. Only meaningful between
    // exchanges.
    std::chrono::steady_clock::duration idle_time() const;

    // Idle time after which the server may close the connection, as it
    // announced last; zero when it announced none.
    std::chrono::seconds announced_idle_limit() const;

    // Whether the server's machine has acknowledged all bytes that this
    // connection was given. False if that is unknown. Its program need not have
    // read them.
    bool is_all_acknowledged();

    // Whether the connection is established.
    bool is_open() const;

    // Whether it carried another exchange before the running one.
    bool is_reused() const;

private:
    void begin(exchange_handlers next);
    // Whether the socket has bytes or an end that were not read yet. What came
    // before a request was written belongs to no request.
    bool has_input();
    // Closes the socket, so that the next exchange opens another one.
    void reopen();
    void reset_on_close();
    void connect();
    // Gets the bytes of the request from the source and writes them.
    void write_request();
    // Writes what the system accepts now, and the rest when the socket is
    // writable again.
    void write();
    void await_writable();
    bool is_all_sent() const;
    // Drops the request. An idle connection would keep its memory.
    void release_output();
    void read();
    void on_readable(boost::system::error_code error);
    void on_read(boost::system::error_code error, std::string_view bytes);
    void parse_input();
    void on_input_end(bool orderly);
    void finish(exchange_end end);
    void on_response_head(response_head const& head);
    void on_body(std::string_view data);
    // Whether the server has sent more than any response may hold.
    bool is_too_large() const;

    boost::asio::ip::tcp::socket socket;
    tcp_endpoint address;
    std::string input;
    // Called once, when the connection is open.
    request_source source;
    // The request being written, and how many bytes of its head and body are.
    std::string output;
    std::string_view output_body;
    std::size_t sent = 0;
    std::unique_ptr<response_reader> reader;
    std::shared_ptr<exchange_handlers const> handlers;
    bool running = false;
    bool open = false;
    bool closed = false;
    bool skipping = false;
    // A read is in progress.
    bool reading = false;
    bool paused = false;
    // Bytes came in the running exchange.
    bool response_begun = false;
    // Writing the running exchange's request met the end of the connection.
    bool write_failed = false;
    bool keeps_alive = true;
    // Of the socket that is open.
    std::size_t exchanges = 0;
    // Number of sockets that were closed for another one.
    std::size_t replaced = 0;
    std::size_t body_limit = no_body_limit;
    // Bytes of the running exchange before the head that its owner took, and of
    // its body.
    std::size_t untaken_bytes = 0;
    std::size_t body_bytes = 0;
    std::chrono::steady_clock::time_point last_use;
    std::chrono::seconds idle_limit{0};
    exchange_result result;
};

} // namespace foxtailvale::net

#endif
