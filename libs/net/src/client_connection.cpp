#include <net/client_connection.hpp>
#include <net/response_reader.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace foxtailvale::net
{

namespace
{

using clock = std::chrono::steady_clock;

// Most bytes that are taken from the system at once.
constexpr std::size_t bytes_per_read = 8192;

// Reads the seconds after "timeout=" in a Keep-Alive field; zero when there are
// none.
std::chrono::seconds read_idle_limit(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    auto const found = value.find(key);
    if (found == std::string_view::npos)
    {
        return std::chrono::seconds{0};
    }
    auto seconds = 0;
    auto const digits = value.substr(found + key.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds{seconds};
}

bool is_informational(response_head const& head)
{
    return head.status >= 100 && head.status < 200;
}

} // namespace

std::optional<tcp_endpoint> parse_endpoint(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(
        std::string(text.substr(0, colon)), error);
    auto const is_number =
        parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
    if (error || !is_number || port == 0)
    {
        return std::nullopt;
    }
    return tcp_endpoint(ip, port);
}

client_connection::client_connection(
    boost::asio::io_context& loop, tcp_endpoint server)
    : socket(loop), address(server), last_use(clock::now())
{
}

client_connection::~client_connection() = default;

void client_connection::start(std::string bytes, exchange_handlers next)
{
    this->source = [held = std::move(bytes)]() mutable
    {
        return std::optional<outgoing_request>(std::move(held));
    };
    this->begin(std::move(next));
}

void client_connection::start(request_source bytes, exchange_handlers next)
{
    this->source = std::move(bytes);
    this->begin(std::move(next));
}

void client_connection::begin(exchange_handlers next)
{
    this->release_output();
    this->handlers = std::make_shared<exchange_handlers const>(std::move(next));
    this->running = true;
    this->result = {};
    this->response_begun = false;
    this->write_failed = false;
    this->untaken_bytes = 0;
    this->body_bytes = 0;
    this->reader.reset();
    if (this->open && this->has_input())
    {
        this->reopen();
    }
    this->result.reused = this->exchanges > 0;
    ++this->exchanges;
    if (this->open)
    {
        this->write_request();
        return;
    }
    this->connect();
}

bool client_connection::has_input()
{
    char next = 0;
    auto const got =
        ::recv(this->socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void client_connection::reopen()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
    ++this->replaced;
    this->open = false;
    this->reading = false;
    this->keeps_alive = true;
    this->exchanges = 0;
    this->idle_limit = std::chrono::seconds{0};
}

void client_connection::close()
{
    if (this->running)
    {
        this->reset_on_close();
    }
    this->closed = true;
    this->running = false;
    this->handlers.reset();
    this->release_output();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void client_connection::release_output()
{
    std::string().swap(this->output);
    this->output_body = {};
    this->sent = 0;
}

bool client_connection::is_all_sent() const
{
    return this->sent == this->output.size() + this->output_body.size();
}

void client_connection::reset_on_close()
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

bool client_connection::is_idle() const
{
    return !this->closed && !this->running;
}

clock::duration client_connection::idle_time() const
{
    return clock::now() - this->last_use;
}

std::chrono::seconds client_connection::announced_idle_limit() const
{
    return this->idle_limit;
}

bool client_connection::is_all_acknowledged()
{
    auto unacknowledged = 0;
    auto const is_known =
        ::ioctl(this->socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0;
    return is_known && unacknowledged == 0 && this->is_all_sent();
}

bool client_connection::is_open() const
{
    return this->open && !this->closed;
}

bool client_connection::is_reused() const
{
    return this->result.reused;
}

void client_connection::connect()
{
    this->socket.async_connect(
        this->address,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (self->closed)
            {
                return;
            }
            if (error)
            {
                self->finish(exchange_end::not_connected);
                return;
            }
            boost::system::error_code ignored;
            self->socket.set_option(
                boost::asio::ip::tcp::no_delay(true), ignored);
            self->socket.non_blocking(true, ignored);
            self->open = true;
            self->read();
            self->write_request();
        });
}

void client_connection::write_request()
{
    auto bytes = std::exchange(this->source, {})();
    if (bytes)
    {
        this->output = std::move(bytes->head);
        this->output_body = bytes->body;
        this->write();
        return;
    }
    // Posted, since handlers never run inside start().
    boost::asio::post(
        this->socket.get_executor(),
        [self = this->shared_from_this()]
        {
            if (!self->closed && self->running)
            {
                self->finish(exchange_end::withheld);
            }
        });
}

void client_connection::write()
{
    // Written synchronously, not by an operation of the loop: the loop may
    // report the server's close before it reports the write. The request would
    // then count as never written, and one that must run only once would be
    // sent to a second server.
    while (!this->is_all_sent())
    {
        boost::system::error_code error;
        auto const head_sent = std::min(this->sent, this->output.size());
        std::array<boost::asio::const_buffer, 2> const rest{
            boost::asio::buffer(this->output) + head_sent,
            boost::asio::buffer(this->output_body) + (this->sent - head_sent)};
        auto const count = this->socket.write_some(rest, error);
        this->sent += count;
        this->result.written = this->result.written || count > 0;
        if (error == boost::asio::error::would_block)
        {
            this->await_writable();
            return;
        }
        if (error)
        {
            // The pending read reports the close, after any response that the
            // server may still have sent. It would report a reset as an orderly
            // end, since the system reports an error once.
            this->keeps_alive = false;
            this->write_failed = true;
            return;
        }
    }
}

void client_connection::await_writable()
{
    this->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_write,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->closed && self->running)
            {
                self->write();
            }
        });
}

void client_connection::limit_body(std::size_t bytes)
{
    this->body_limit = bytes;
}

void client_connection::pause_reading()
{
    this->paused = true;
}

void client_connection::resume_reading()
{
    this->paused = false;
    if (this->open && !this->closed)
    {
        this->read();
    }
}

void client_connection::read()
{
    if (this->paused || !this->open || std::exchange(this->reading, true))
    {
        return;
    }
    // Bytes stay in the socket for the handler, so that begin() sees those that
    // came before a request was written, and a waiting connection holds no
    // buffer.
    this->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this(),
         number = this->replaced](boost::system::error_code error)
        {
            if (number == self->replaced)
            {
                self->on_readable(error);
            }
        });
}

void client_connection::on_readable(boost::system::error_code error)
{
    std::array<char, bytes_per_read> block;
    std::size_t count = 0;
    if (!error && !this->closed)
    {
        count = this->socket.read_some(boost::asio::buffer(block), error);
    }
    if (error == boost::asio::error::would_block)
    {
        this->reading = false;
        this->read();
        return;
    }
    this->on_read(error, {block.data(), count});
}

void client_connection::on_read(
    boost::system::error_code error, std::string_view bytes)
{
    this->reading = false;
    if (this->closed)
    {
        return;
    }
    if (error)
    {
        this->on_input_end(error == boost::asio::error::eof);
        return;
    }
    if (!this->running)
    {
        // Bytes outside of an exchange: nothing that follows on this connection
        // can be trusted to belong to the next request.
        this->close();
        return;
    }
    this->last_use = clock::now();
    this->response_begun = true;
    this->input.append(bytes);
    this->untaken_bytes += this->result.head_seen ? 0 : bytes.size();
    this->parse_input();
    if (this->running && this->is_too_large())
    {
        this->finish(exchange_end::not_http);
    }
    if (!this->closed)
    {
        this->read();
    }
}

void client_connection::parse_input()
{
    // A handler may close the connection, which releases the handlers while one
    // of them still runs.
    auto const keep = this->shared_from_this();
    auto const held = this->handlers;
    while (this->running && !this->input.empty())
    {
        if (!this->reader)
        {
            this->skipping = false;
            this->reader = std::make_unique<response_reader>(
                [this](response_head const& head)
                {
                    this->on_response_head(head);
                },
                [this](std::string_view data)
                {
                    this->on_body(data);
                });
        }
        boost::system::error_code error;
        auto const used =
            this->reader->put(boost::asio::buffer(this->input), error);
        if (this->closed)
        {
            return;
        }
        this->input.erase(0, used);
        if (error && error != boost::beast::http::error::need_more)
        {
            this->finish(exchange_end::not_http);
            return;
        }
        if (!this->reader->is_done())
        {
            if (error || used == 0)
            {
                return;
            }
            continue;
        }
        if (this->skipping)
        {
            this->reader.reset();
            continue;
        }
        this->finish(exchange_end::whole);
    }
}

void client_connection::on_body(std::string_view data)
{
    if (this->skipping || !this->handlers)
    {
        return;
    }
    this->body_bytes += data.size();
    if (this->body_bytes <= this->body_limit)
    {
        this->handlers->on_data(data);
    }
}

bool client_connection::is_too_large() const
{
    return this->input.size() > max_unparsed_bytes ||
           this->body_bytes > this->body_limit ||
           (!this->result.head_seen && this->untaken_bytes > max_untaken_bytes);
}

void client_connection::on_response_head(response_head const& head)
{
    if (is_informational(head))
    {
        this->skipping = true;
        return;
    }
    if (!this->handlers)
    {
        return;
    }
    auto const verdict = this->handlers->on_head(head);
    if (this->closed)
    {
        return;
    }
    this->skipping = verdict == head_verdict::skip;
    if (this->skipping)
    {
        return;
    }
    this->result.head_seen = true;
    this->keeps_alive = this->keeps_alive && head.keep_alive && head.delimited;
    if (auto const limit = find_field(head.fields, "keep-alive"))
    {
        this->idle_limit = read_idle_limit(*limit);
    }
}

void client_connection::on_input_end(bool orderly)
{
    this->open = false;
    if (!this->running)
    {
        this->close();
        return;
    }
    this->keeps_alive = false;
    if (orderly && !this->write_failed && this->reader && !this->skipping)
    {
        boost::system::error_code error;
        this->reader->put_eof(error);
        if (!error && this->reader->is_done())
        {
            this->finish(exchange_end::whole);
            return;
        }
    }
    this->finish(exchange_end::cut);
}

void client_connection::finish(exchange_end end)
{
    this->result.end = end;
    this->running = false;
    this->paused = false;
    if (end != exchange_end::withheld)
    {
        this->last_use = clock::now();
    }
    // Bytes after the response, or a request that was answered before all of it
    // was sent, make the connection unusable for the next exchange.
    auto const orderly =
        end == exchange_end::whole || end == exchange_end::withheld;
    auto const clean = orderly && this->keeps_alive && this->input.empty() &&
                       this->is_all_sent();
    this->release_output();
    auto const held = std::move(this->handlers);
    auto const facts = this->result;
    if (!clean)
    {
        this->close();
    }
    if (held)
    {
        held->on_end(facts);
    }
}

} // namespace foxtailvale::net
