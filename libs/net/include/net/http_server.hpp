#ifndef FOXTAILVALE_NET_HTTP_SERVER_HPP
#define FOXTAILVALE_NET_HTTP_SERVER_HPP

#include <net/client_connection.hpp>
#include <net/message.hpp>
#include <net/server_capacity.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxtailvale::net
{

// Limits on the size of requests and on the time that clients may take.
struct server_limits
{
    std::uint32_t head_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    // From the first byte of a request to the end of its head.
    std::chrono::milliseconds head_time{3000};
    // Longest time without any byte in either direction, between two requests,
    // inside one or while an answer is being written.
    std::chrono::milliseconds idle_time{15000};
};

// Why a request was rejected before it reached the request handler.
enum class read_fault
{
    malformed,
    head_too_large,
    body_too_large,
    head_timed_out,
    // The client's own time for its request has passed.
    body_timed_out,
    // The server's clients hold more than its capacity, and this request most.
    capacity_exceeded,
    // The process ends before the rest of the request has come.
    process_ends,
};

// Why a connection was closed without an answer, or in the middle of one.
enum class close_reason
{
    // For a new connection.
    connections_exhausted,
    // Unread answers take more than the server's capacity.
    answers_exhausted,
    // The client took no byte of its answer for the idle time.
    reader_stalled,
};

class server_session;

// Callbacks of a server; they run on the loop.
struct server_handlers
{
    std::function<void(std::shared_ptr<server_session> const&, request)>
        on_request;
    // Sends the error response; the session is closed afterwards.
    std::function<void(server_session&, read_fault)> on_fault;
    // The time that the client gives its request, by its head; none if the
    // function is not set.
    std::function<std::optional<std::chrono::milliseconds>(field_list const&)>
        request_time;
    // A session is about to be closed for this reason. May be left out.
    std::function<void(server_session const&, close_reason)> on_close;
    // The system gave no descriptor for a new connection. May be left out.
    std::function<void(std::string const&)> on_accept_failed;
};

// Numbers of sessions by state.
struct session_counts
{
    std::size_t idle = 0;
    std::size_t reading = 0;
    std::size_t busy = 0;
    std::size_t writing = 0;
    std::size_t lingering = 0;
};

// An answer of which the system has not taken all bytes.
struct unsent_answer
{
    // As given to name_request().
    std::string request;
    std::size_t bytes = 0;
};

// State shared by all sessions of one server.
struct server_state
{
    server_limits limits;
    server_handlers handlers;
    // Each response announces that its connection is closed after it.
    bool closing = false;
    std::size_t open_sessions = 0;
    std::size_t running_requests = 0;
    server_capacity capacity;
    total_load load;
    // Refuses incomplete requests while they exceed the capacity.
    std::function<void()> refuse_requests;
    // Closes slow readers while their answers exceed the capacity, later on.
    std::function<void()> close_readers_later;
};

// One client's connection: reads one request at a time, passes it to the
// request handler and writes the response. Kept alive by its pending operations
// and by the code that is going to respond.
class server_session : public std::enable_shared_from_this<server_session>
{
public:
    server_session(
        boost::asio::ip::tcp::socket accepted,
        std::shared_ptr<server_state> common);
    ~server_session();
    server_session(server_session const&) = delete;
    server_session& operator=(server_session const&) = delete;

    // Starts reading.
    void open();

    // Answers the current request with a complete body.
    void respond(unsigned status, field_list fields, std::string_view body);

    // Starts a response whose body follows in parts through send().
    void begin_stream(unsigned status, field_list fields);
    void send(std::string_view data);
    // Ends the body that begin_stream() started.
    void end_stream();

    // Closes the connection in the middle of the response, once everything sent
    // so far has been written.
    void close_after_writing();

    // Closes the connection in the middle of the response, so that the client
    // cannot take what it received for a complete one.
    void abort();

    // Time since the system received the last byte of this connection; zero
    // when the system does not tell. A process that was stalled reads late what
    // arrived meanwhile: counted from the read, each request would get its full
    // time limit again.
    std::chrono::milliseconds time_since_last_byte();

    // Sets the callback that runs once when the client disconnects before the
    // response is complete.
    void on_client_disconnected(std::function<void()> callback);

    // Whether bytes of a response are still being written.
    bool is_sending() const;

    // Names the current request, for the log.
    void name_request(std::string name);
    std::string const& request_name() const;

    // Number of bytes that wait for the client to read earlier ones.
    std::size_t unsent_bytes() const;

    // Sets the callback that runs once when no bytes wait any more. It is
    // discarded when the session closes.
    void on_written(std::function<void()> callback);

    // Whether the client is still connected and waits for a response.
    bool awaits_answer() const;

    // Enforces the time limits: closes the session when it is idle for too
    // long or its client does not read, and rejects a request whose head takes
    // too long or whose own time has passed.
    void enforce_limits(std::chrono::steady_clock::time_point now);

    // Closes the session if it is between two requests, nothing was sent or
    // received for this long, and the client has received the last answer and
    // sent nothing that waits to be read.
    void close_if_idle(
        std::chrono::steady_clock::time_point now,
        std::chrono::milliseconds quiet_time);

    session_state current_state() const;

    session_load current_load(std::chrono::steady_clock::time_point now) const;

    // Refuses the request that is being read.
    void refuse_for_capacity();

    // Refuses the request of which a part has come, if there is one, as the
    // process ends.
    void refuse_unfinished();

    // Closes the connection as if the client had closed it.
    void close_for(close_reason reason);

    // Whether bytes of the client wait to be read. A loop that was late has not
    // read what came meanwhile, and takes the connection for idle.
    bool has_unread_input();

    tcp_endpoint client() const;

private:
    class reader;

    void read();
    void on_readable(boost::system::error_code error);
    void parse_input();
    // Whether the client closed its connection right behind what was read of
    // it. Without this check, a process that was stalled would read the
    // requests of callers that disconnected meanwhile and forward them before
    // it reads that they are gone.
    bool has_client_closed();
    // Whether the client's system has acknowledged everything that was written;
    // true when this system does not tell.
    bool is_all_received();
    // Whether the request that was read may be handled. Refuses incomplete
    // requests, or this one, if it would exceed the server's capacity.
    bool has_room();
    void dispatch();
    void fail(read_fault fault);
    void write(std::string_view bytes, std::string_view more = {});
    void write_next();
    // Brings the server's totals up to date with what this session holds.
    void update_load();
    void note_request_time();
    void finish_answer();
    void on_client_lost();
    void close();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<server_state> state;
    tcp_endpoint remote;
    std::string input;
    // Bytes being written, and bytes queued behind them.
    std::string writing;
    std::string pending;
    std::unique_ptr<reader> parser;
    std::function<void()> disconnect_handler;
    std::function<void()> written_handler;
    std::string name;
    bool busy = false;
    bool streaming = false;
    bool reading = false;
    bool last_answer = false;
    bool close_when_written = false;
    // The last response is sent; further input is read and discarded, since
    // closing with unread bytes would reset the connection before the client
    // has read the response.
    bool lingering = false;
    bool closed = false;
    bool client_keeps_alive = true;
    bool has_answered = false;
    // Of the request that is being handled.
    std::size_t handled_bytes = 0;
    // What the server's totals contain of this session.
    std::size_t counted_request_bytes = 0;
    std::size_t counted_unsent_bytes = 0;
    std::chrono::steady_clock::time_point last_byte;
    // When the client last took bytes of an answer, or had taken all.
    std::chrono::steady_clock::time_point last_written;
    std::chrono::steady_clock::time_point request_began;
    std::chrono::steady_clock::time_point linger_began;
};

// Listens at an address and opens a session for each connection.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    http_server(
        boost::asio::io_context& loop,
        server_limits limits,
        server_handlers handlers,
        server_capacity capacity = {});

    // Binds and listens; returns an error text on failure.
    std::optional<std::string> listen(tcp_endpoint address);

    // Sets the limits for requests read from now on.
    void set_limits(server_limits limits);

    // Sets what all clients together may hold. What exceeds it is refused or
    // closed at once.
    void set_capacity(server_capacity capacity);

    total_load current_load() const;

    // From now on, each response announces that its connection is closed after
    // it.
    void announce_close();

    // Closes connections between two requests on which nothing was sent or
    // received for this long.
    void close_idle(std::chrono::milliseconds quiet_time);

    // Refuses all requests of which only a part has come.
    void refuse_unfinished();

    // Stops accepting connections. Those that clients have made already get
    // their sessions.
    void stop_accepting();

    // Stops accepting connections and aborts all sessions.
    void stop();

    std::size_t running_requests() const;
    std::size_t open_sessions() const;
    session_counts count_sessions() const;
    // Whole answers that are still being written.
    std::vector<unsent_answer> unsent_answers() const;

private:
    void accept();
    void accept_waiting();
    void accept_later(std::string const& fault);
    void open_session(boost::asio::ip::tcp::socket socket);
    // Closes the session that is the first to go for a new connection. Returns
    // false if none is.
    bool close_connection();
    void refuse_requests();
    void close_readers();
    void close_readers_later();
    std::vector<std::shared_ptr<server_session>> open_session_list() const;
    void sweep();

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer accept_timer;
    std::shared_ptr<server_state> state;
    std::list<std::weak_ptr<server_session>> sessions;
    bool stopped = false;
    bool will_close_readers = false;
};

} // namespace foxtailvale::net

#endif
