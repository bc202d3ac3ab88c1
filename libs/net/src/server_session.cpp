#include <net/http_server.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <iterator>
#include <utility>

namespace foxtailvale::net
{

namespace
{

using clock = std::chrono::steady_clock;
namespace http = boost::beast::http;

// Bounds the memory used for a client that does not read its response: more is
// not added to it. A response that is passed at once may be larger.
constexpr std::size_t max_unsent_bytes = 8UL * 1024 * 1024;

// Input buffered beyond the request that is being handled; a client that
// pipelines more is not read until the request is answered.
constexpr std::size_t max_pipelined_bytes = 8UL * 1024;

// Most bytes that are taken from the system at once.
constexpr std::size_t bytes_per_read = 16UL * 1024;

// What the process holds for a request that is handled, beside its bytes: its
// record and its connection to an endpoint.
constexpr std::size_t bytes_per_handled_request = 12UL * 1024;

// Most bytes that are passed to the system at once.
constexpr std::size_t bytes_per_write = 64UL * 1024;

// Time that a client has to close the connection after the last response: since
// its last byte, and in all.
constexpr std::chrono::seconds linger_time{2};
constexpr std::chrono::seconds max_linger_time{10};

// An empty input buffer of a larger capacity is given back.
constexpr std::size_t kept_input_bytes = 16UL * 1024;

read_fault fault_of(boost::system::error_code error)
{
    if (error == http::error::header_limit)
    {
        return read_fault::head_too_large;
    }
    if (error == http::error::body_limit)
    {
        return read_fault::body_too_large;
    }
    return read_fault::malformed;
}

// Whether the body is sent with a length or in chunks. The parser ignores every
// other coding: the bytes of such a body would be read as the next request.
bool is_coding_known(http::request<http::string_body> const& message)
{
    auto const [first, last] =
        message.equal_range(http::field::transfer_encoding);
    if (first == last)
    {
        return true;
    }
    auto const value = first->value();
    return std::next(first) == last &&
           equal_names({value.data(), value.size()}, "chunked");
}

field_list fields_of(http::request<http::string_body> const& message)
{
    field_list fields;
    for (auto const& entry : message)
    {
        fields.push_back(
            {std::string(entry.name_string()), std::string(entry.value())});
    }
    return fields;
}

request to_request(http::request<http::string_body>& message)
{
    request taken;
    taken.method = std::string(message.method_string());
    taken.target = std::string(message.target());
    taken.fields = fields_of(message);
    taken.body = std::move(message.body());
    return taken;
}

// Bytes that a text holds outside of its own object.
std::size_t held_bytes(std::string const& text)
{
    return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

void release(std::string& text)
{
    std::string().swap(text);
}

std::chrono::milliseconds
elapsed(clock::time_point since, clock::time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

// Adds a session's bytes to a total, in place of those counted before.
void recount(std::size_t& total, std::size_t before, std::size_t now)
{
    total = total - before + now;
}

std::size_t large_part(std::size_t bytes)
{
    return bytes >= large_request_bytes ? bytes : 0;
}

} // namespace

class server_session::reader
{
public:
    explicit reader(server_limits const& limits)
    {
        this->parser.header_limit(limits.head_bytes);
        this->parser.body_limit(limits.body_bytes);
        this->parser.eager(true);
    }

    // Bytes that the request holds so far. A head is held twice, as text and
    // in the parser's list of fields.
    std::size_t held() const
    {
        return 2 * this->head_bytes + held_bytes(this->parser.get().body());
    }

    http::request_parser<http::string_body> parser;
    std::size_t head_bytes = 0;
    bool continue_sent = false;
    bool is_time_known = false;
    // The client's own time for its request, from its first byte on.
    std::optional<std::chrono::milliseconds> time;
};

server_session::server_session(
    boost::asio::ip::tcp::socket accepted, std::shared_ptr<server_state> common)
    : socket(std::move(accepted)), state(std::move(common)),
      last_byte(clock::now()), last_written(this->last_byte),
      request_began(this->last_byte), linger_began(this->last_byte)
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    this->remote = this->socket.remote_endpoint(ignored);
    ++this->state->open_sessions;
    ++this->state->load.connections;
}

server_session::~server_session()
{
    this->close();
    this->handled_bytes = 0;
    release(this->writing);
    this->update_load();
    --this->state->open_sessions;
    if (this->busy)
    {
        --this->state->running_requests;
    }
}

void server_session::open()
{
    this->read();
}

tcp_endpoint server_session::client() const
{
    return this->remote;
}

bool server_session::awaits_answer() const
{
    return this->busy && !this->closed;
}

void server_session::name_request(std::string given)
{
    this->name = std::move(given);
}

std::string const& server_session::request_name() const
{
    return this->name;
}

std::size_t server_session::unsent_bytes() const
{
    return this->writing.size() + this->pending.size();
}

void server_session::on_written(std::function<void()> callback)
{
    this->written_handler = std::move(callback);
}

bool server_session::is_sending() const
{
    return !this->closed && !this->writing.empty();
}

void server_session::on_client_disconnected(std::function<void()> callback)
{
    this->disconnect_handler = std::move(callback);
}

void server_session::read()
{
    // The parser takes a head out of the input only when it is whole.
    auto const wanted = this->busy
                            ? max_pipelined_bytes
                            : this->state->limits.head_bytes + bytes_per_read;
    if (this->reading || this->closed || this->input.size() >= wanted)
    {
        return;
    }
    this->reading = true;
    // Waits without a buffer, so that an idle connection holds none.
    this->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->reading = false;
            self->on_readable(error);
        });
}

void server_session::on_readable(boost::system::error_code error)
{
    if (this->closed)
    {
        return;
    }
    std::array<char, bytes_per_read> block;
    std::size_t count = 0;
    if (!error)
    {
        count = this->socket.read_some(boost::asio::buffer(block), error);
    }
    if (error == boost::asio::error::would_block)
    {
        this->read();
        return;
    }
    if (error)
    {
        this->on_client_lost();
        return;
    }
    this->last_byte = clock::now();
    if (this->lingering)
    {
        this->read();
        return;
    }
    if (this->input.empty() && !this->parser)
    {
        this->request_began = this->last_byte;
    }
    this->input.append(block.data(), count);
    if (!this->busy)
    {
        this->parse_input();
    }
    if (this->input.empty() && this->input.capacity() > kept_input_bytes)
    {
        release(this->input);
    }
    this->update_load();
    if (exceeds_requests(this->state->load, this->state->capacity))
    {
        this->state->refuse_requests();
    }
    this->read();
}

void server_session::parse_input()
{
    while (!this->busy && !this->closed && !this->lingering &&
           !this->input.empty())
    {
        if (!this->parser)
        {
            this->parser = std::make_unique<reader>(this->state->limits);
        }
        auto& message = this->parser->parser;
        boost::system::error_code error;
        auto const was_in_head = !message.is_header_done();
        auto const used = message.put(boost::asio::buffer(this->input), error);
        this->input.erase(0, used);
        if (was_in_head)
        {
            this->parser->head_bytes = std::min<std::size_t>(
                this->parser->head_bytes + used,
                this->state->limits.head_bytes);
        }
        if (error && error != http::error::need_more)
        {
            this->fail(fault_of(error));
            return;
        }
        if (was_in_head && message.is_header_done() &&
            !is_coding_known(message.get()))
        {
            this->fail(read_fault::malformed);
            return;
        }
        if (message.is_done())
        {
            if (this->has_client_closed())
            {
                this->on_client_lost();
                return;
            }
            if (!this->has_room())
            {
                return;
            }
            this->dispatch();
            continue;
        }
        this->note_request_time();
        if (message.is_header_done() && !this->parser->continue_sent &&
            equal_names(
                std::string(message.get()[http::field::expect]),
                "100-continue"))
        {
            this->parser->continue_sent = true;
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (error || used == 0)
        {
            return;
        }
    }
}

void server_session::note_request_time()
{
    auto& current = *this->parser;
    if (!current.parser.is_header_done() ||
        std::exchange(current.is_time_known, true) ||
        !this->state->handlers.request_time)
    {
        return;
    }
    current.time =
        this->state->handlers.request_time(fields_of(current.parser.get()));
}

std::chrono::milliseconds server_session::time_since_last_byte()
{
    tcp_info known{};
    socklen_t size = sizeof(known);
    if (::getsockopt(
            this->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &known,
            &size) != 0)
    {
        return std::chrono::milliseconds(0);
    }
    return std::chrono::milliseconds(known.tcpi_last_data_recv);
}

bool server_session::has_client_closed()
{
    char next = 0;
    auto const got =
        ::recv(this->socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

bool server_session::has_unread_input()
{
    boost::system::error_code ignored;
    return this->socket.available(ignored) > 0;
}

bool server_session::has_room()
{
    this->update_load();
    auto& common = *this->state;
    common.load.request_bytes += bytes_per_handled_request;
    if (exceeds_requests(common.load, common.capacity))
    {
        common.refuse_requests();
    }
    common.load.request_bytes -= bytes_per_handled_request;
    return this->parser != nullptr;
}

void server_session::dispatch()
{
    auto message = this->parser->parser.release();
    this->client_keeps_alive = message.keep_alive();
    this->handled_bytes = bytes_per_handled_request +
                          2 * this->parser->head_bytes +
                          held_bytes(message.body());
    this->parser.reset();
    this->busy = true;
    this->streaming = false;
    ++this->state->running_requests;
    this->update_load();
    this->state->handlers.on_request(
        this->shared_from_this(), to_request(message));
}

void server_session::fail(read_fault fault)
{
    this->parser.reset();
    release(this->input);
    this->update_load();
    this->client_keeps_alive = false;
    this->busy = true;
    ++this->state->running_requests;
    this->state->handlers.on_fault(*this, fault);
}

void server_session::respond(
    unsigned status, field_list fields, std::string_view body)
{
    if (!this->awaits_answer())
    {
        return;
    }
    this->last_answer = !this->client_keeps_alive || this->state->closing;
    fields.push_back({"Content-Length", std::to_string(body.size())});
    if (this->last_answer)
    {
        fields.push_back({"Connection", "close"});
    }
    this->finish_answer();
    this->write(serialize_head(status, fields), body);
}

void server_session::begin_stream(unsigned status, field_list fields)
{
    if (!this->awaits_answer())
    {
        return;
    }
    this->streaming = true;
    this->last_answer = !this->client_keeps_alive || this->state->closing;
    fields.push_back({"Transfer-Encoding", "chunked"});
    if (this->last_answer)
    {
        fields.push_back({"Connection", "close"});
    }
    this->write(serialize_head(status, fields));
}

void server_session::send(std::string_view data)
{
    if (!this->awaits_answer() || data.empty())
    {
        return;
    }
    std::array<char, 24> size{};
    auto const length =
        std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string bytes(size.data(), static_cast<std::size_t>(length));
    bytes.append(data).append("\r\n");
    this->write(bytes);
}

void server_session::end_stream()
{
    if (!this->awaits_answer())
    {
        return;
    }
    this->finish_answer();
    this->write("0\r\n\r\n");
}

void server_session::close_after_writing()
{
    this->disconnect_handler = {};
    this->close_when_written = true;
    if (this->writing.empty())
    {
        this->close();
    }
}

void server_session::abort()
{
    this->disconnect_handler = {};
    this->close();
}

void server_session::finish_answer()
{
    this->disconnect_handler = {};
    this->busy = false;
    this->has_answered = true;
    this->handled_bytes = 0;
    --this->state->running_requests;
    if (this->last_answer)
    {
        this->lingering = true;
        this->linger_began = clock::now();
        release(this->input);
    }
    this->update_load();
}

void server_session::write(std::string_view bytes, std::string_view more)
{
    if (this->closed)
    {
        return;
    }
    if (this->pending.size() > max_unsent_bytes)
    {
        this->on_client_lost();
        return;
    }
    this->pending.reserve(this->pending.size() + bytes.size() + more.size());
    this->pending.append(bytes).append(more);
    if (this->writing.empty())
    {
        this->last_written = clock::now();
        this->write_next();
    }
    this->update_load();
    if (this->state->load.unsent_bytes > this->state->capacity.unsent_bytes)
    {
        this->state->close_readers_later();
    }
}

void server_session::update_load()
{
    auto const requests = held_bytes(this->input) + this->handled_bytes +
                          (this->parser ? this->parser->held() : 0);
    auto const unsent = held_bytes(this->writing) + held_bytes(this->pending);
    auto& load = this->state->load;
    recount(load.request_bytes, this->counted_request_bytes, requests);
    recount(
        load.large_request_bytes, large_part(this->counted_request_bytes),
        large_part(requests));
    recount(load.unsent_bytes, this->counted_unsent_bytes, unsent);
    this->counted_request_bytes = requests;
    this->counted_unsent_bytes = unsent;
}

session_load server_session::current_load(clock::time_point now) const
{
    session_load load;
    load.state = this->current_state();
    if (load.state == session_state::writing && this->parser)
    {
        // The next request comes behind an answer that is being written.
        load.state = session_state::reading;
    }
    load.request_bytes = this->counted_request_bytes;
    load.unsent_bytes = this->writing.empty() ? 0 : this->counted_unsent_bytes;
    load.request_age = elapsed(this->request_began, now);
    load.unsent_age = elapsed(this->last_written, now);
    load.quiet_time = elapsed(this->last_byte, now);
    load.has_answered = this->has_answered;
    return load;
}

void server_session::refuse_for_capacity()
{
    this->fail(read_fault::capacity_exceeded);
}

void server_session::refuse_unfinished()
{
    if (this->parser && this->current_state() == session_state::reading)
    {
        this->fail(read_fault::process_ends);
    }
}

void server_session::close_for(close_reason reason)
{
    if (this->state->handlers.on_close)
    {
        this->state->handlers.on_close(*this, reason);
    }
    this->on_client_lost();
}

void server_session::write_next()
{
    this->writing = std::exchange(this->pending, {});
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->writing),
        [self = this->shared_from_this()](
            boost::system::error_code error, std::size_t) -> std::size_t
        {
            // The client has read a part of a large answer.
            self->last_byte = clock::now();
            self->last_written = self->last_byte;
            return error ? 0 : bytes_per_write;
        },
        [self = this->shared_from_this()](
            boost::system::error_code error, std::size_t)
        {
            release(self->writing);
            self->update_load();
            if (self->closed)
            {
                return;
            }
            if (error)
            {
                self->on_client_lost();
                return;
            }
            self->last_byte = clock::now();
            if (!self->pending.empty())
            {
                self->write_next();
                return;
            }
            if (auto const callback = std::exchange(self->written_handler, {}))
            {
                callback();
            }
            if (self->closed || !self->writing.empty())
            {
                return;
            }
            if (self->close_when_written)
            {
                self->close();
                return;
            }
            if (self->lingering)
            {
                boost::system::error_code ignored;
                self->socket.shutdown(
                    boost::asio::ip::tcp::socket::shutdown_send, ignored);
                self->read();
                return;
            }
            if (!self->busy)
            {
                self->request_began = self->last_byte;
                self->parse_input();
                self->update_load();
                self->read();
            }
        });
}

void server_session::on_client_lost()
{
    auto const callback = std::exchange(this->disconnect_handler, {});
    this->close();
    if (callback)
    {
        callback();
    }
}

void server_session::close()
{
    if (this->closed)
    {
        return;
    }
    this->closed = true;
    this->written_handler = {};
    boost::system::error_code ignored;
    this->socket.close(ignored);
    --this->state->load.connections;
    this->parser.reset();
    release(this->input);
    release(this->pending);
    this->update_load();
}

bool server_session::is_all_received()
{
    auto unacknowledged = 0;
    return ::ioctl(this->socket.native_handle(), SIOCOUTQ, &unacknowledged) !=
               0 ||
           unacknowledged == 0;
}

session_state server_session::current_state() const
{
    if (this->closed)
    {
        return session_state::closed;
    }
    if (this->busy)
    {
        return session_state::busy;
    }
    if (!this->writing.empty())
    {
        return session_state::writing;
    }
    if (this->lingering)
    {
        return session_state::lingering;
    }
    return this->input.empty() && !this->parser ? session_state::idle
                                                : session_state::reading;
}

void server_session::close_if_idle(
    clock::time_point now, std::chrono::milliseconds quiet_time)
{
    // A close resets the connection if the next request arrives meanwhile, and
    // the system then drops what the client has not received yet.
    if (this->current_state() == session_state::idle &&
        now - this->last_byte >= quiet_time && this->is_all_received() &&
        !this->has_unread_input())
    {
        this->close();
    }
}

void server_session::enforce_limits(clock::time_point now)
{
    if (this->closed)
    {
        return;
    }
    // After a stall of this process the client may have taken what the system
    // had for it.
    if (!this->writing.empty() &&
        now - this->last_written > this->state->limits.idle_time &&
        !this->is_all_received())
    {
        this->close_for(close_reason::reader_stalled);
        return;
    }
    if (this->busy)
    {
        return;
    }
    if (this->lingering && this->writing.empty() &&
        now - this->linger_began > max_linger_time)
    {
        this->close();
        return;
    }
    auto const quiet = now - this->last_byte;
    // A close resets the connection if the client sends once more, and the
    // system then drops what the client has not received yet.
    if (this->lingering && this->writing.empty() && this->is_all_received())
    {
        if (quiet > linger_time)
        {
            this->close();
        }
        return;
    }
    auto const in_head = this->parser && !this->parser->parser.is_header_done();
    if (in_head && now - this->request_began > this->state->limits.head_time)
    {
        this->fail(read_fault::head_timed_out);
        return;
    }
    if (this->parser && this->parser->time &&
        now - this->request_began > *this->parser->time)
    {
        this->fail(read_fault::body_timed_out);
        return;
    }
    if (quiet > this->state->limits.idle_time)
    {
        this->close();
    }
}

} // namespace foxtailvale::net
