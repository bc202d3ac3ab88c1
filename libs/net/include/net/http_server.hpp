#ifndef FOXTAILVALE_NET_HTTP_SERVER_HPP
#define FOXTAILVALE_NET_HTTP_SERVER_HPP

#include <net/client_connection.hpp>
#include <net/message.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace foxtailvale::net
{

// What a client may send and how long it may take.
struct server_limits
{
    std::uint32_t head_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    // From the first byte of a request to the end of its head.
    std::chrono::milliseconds head_time{3000};
    // Without any byte, between two requests or inside one.
    std::chrono::milliseconds idle_time{15000};
};

// Why a request was turned away before a handler saw it.
enum class read_fault
{
    malformed,
    head_too_large,
    body_too_large,
    head_timed_out,
};

class server_session;

// What a server does with requests; called from the loop.
struct server_handlers
{
    std::function<void(std::shared_ptr<server_session> const&, request)>
        on_request;
    // Answers the fault; the session is closed afterwards.
    std::function<void(server_session&, read_fault)> on_fault;
};

// What all sessions of one server have in common.
struct server_state
{
    server_limits limits;
    server_handlers handlers;
    // Each answer announces the end of its connection.
    bool closing = false;
    std::size_t open_sessions = 0;
    std::size_t running_requests = 0;
};

// One client's connection: reads one request at a time, hands it to the
// handler and writes what the handler answers. Kept alive by its pending
// operations and by whoever answers.
class server_session : public std::enable_shared_from_this<server_session>
{
public:
    server_session(
        boost::asio::ip::tcp::socket accepted,
        std::shared_ptr<server_state> common);
    ~server_session();
    server_session(server_session const&) = delete;
    server_session& operator=(server_session const&) = delete;

    // Begins to read.
    void open();

    // Answers the request at hand with a whole body.
    void respond(unsigned status, field_list fields, std::string_view body);

    // Begins an answer whose body follows piece by piece.
    void begin_stream(unsigned status, field_list fields);
    void send(std::string_view data);
    // Marks the body as whole.
    void end_stream();

    // Ends the connection in the middle of the answer once what was given so
    // far is written.
    void close_after_writing();

    // Ends the connection in the middle of the answer, so that the client
    // cannot take what it has for whole.
    void abort();

    // How long the last byte that came has been there. Failure: a process that
    // stood still read what had come meanwhile, and gave each request its whole
    // time anew.
    std::chrono::milliseconds time_since_last_byte();

    // Called once when the client leaves before the answer is whole.
    void on_client_disconnected(std::function<void()> callback);

    // Whether bytes of an answer are still on their way out.
    bool is_sending() const;

    // Whether the client is still there and waits for an answer.
    bool awaits_answer() const;

    // Closes it when its limits are exceeded at this moment.
    void check(std::chrono::steady_clock::time_point now);

    // Closes it when no request is under way.
    void close_if_idle();

    tcp_endpoint client() const;

private:
    class reader;

    void read();
    void on_read(boost::system::error_code error, std::size_t count);
    void feed();
    // Whether the client's end lies behind what was read of it. Failure: a
    // process that stood still read the requests of callers who had given up
    // meanwhile, and handed them on before it read that they had left.
    bool client_has_left();
    void dispatch();
    void fail(read_fault fault);
    void write(std::string_view bytes);
    void write_next();
    void finish_answer();
    void leave();
    void close();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<server_state> state;
    tcp_endpoint remote;
    std::array<char, 8192> block{};
    std::string inbox;
    // What is being written and what comes after it.
    std::string writing;
    std::string pending;
    std::unique_ptr<reader> parser;
    std::function<void()> gone;
    bool busy = false;
    bool streaming = false;
    bool reading = false;
    bool last_answer = false;
    bool ends_early = false;
    // The answer was the last one; what still comes is read and dropped, since
    // closing with unread bytes would reset the connection under the answer.
    bool lingering = false;
    bool closed = false;
    bool client_keeps = true;
    std::chrono::steady_clock::time_point last_byte;
    std::chrono::steady_clock::time_point request_began;
};

// Listens at an address and opens a session for each connection.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    http_server(
        boost::asio::io_context& loop,
        server_limits limits,
        server_handlers handlers);

    // Binds and listens; an error text when it cannot.
    std::optional<std::string> listen(tcp_endpoint address);

    // Limits for requests read from now on.
    void set_limits(server_limits limits);

    // From now on each answer announces the end of its connection.
    void announce_close();

    // Takes no new connections and ends those without a request.
    void close_idle();

    // Ends everything.
    void stop();

    std::size_t running_requests() const;
    std::size_t open_sessions() const;

private:
    void accept();
    void sweep();

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    std::shared_ptr<server_state> state;
    std::list<std::weak_ptr<server_session>> sessions;
    bool stopped = false;
};

} // namespace foxtailvale::net

#endif
