#include "response_reader.hpp"

#include <net/client_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <charconv>

namespace foxtailvale::net
{

namespace
{

using clock = std::chrono::steady_clock;

// The number after "timeout=" in a Keep-Alive field; zero when there is none.
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

bool is_interim(response_head const& head)
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
    if (error || parsed.ec != std::errc{} || port == 0)
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
        return std::optional(std::move(held));
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
    this->outbox.clear();
    this->sent = 0;
    this->handlers = std::make_shared<exchange_handlers const>(std::move(next));
    this->running = true;
    this->result = {};
    this->result.reused = this->exchanges > 0;
    ++this->exchanges;
    this->reader.reset();
    if (this->open)
    {
        this->write_request();
        return;
    }
    this->connect();
}

void client_connection::close()
{
    if (this->running)
    {
        this->reset_at_close();
    }
    this->dead = true;
    this->running = false;
    this->handlers.reset();
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void client_connection::reset_at_close()
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

bool client_connection::is_idle() const
{
    return !this->dead && !this->running;
}

clock::duration client_connection::idle_time() const
{
    return clock::now() - this->last_use;
}

std::chrono::seconds client_connection::announced_idle_limit() const
{
    return this->idle_limit;
}

bool client_connection::is_open() const
{
    return this->open && !this->dead;
}

void client_connection::connect()
{
    this->socket.async_connect(
        this->address,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (self->dead)
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
        this->outbox = std::move(*bytes);
        this->write();
        return;
    }
    // Not from inside start().
    boost::asio::post(
        this->socket.get_executor(),
        [self = this->shared_from_this()]
        {
            if (!self->dead && self->running)
            {
                self->finish(exchange_end::withheld);
            }
        });
}

void client_connection::write()
{
    // Written here and not by an operation of the loop. Failure: the server's
    // end is seen before the operation's report, the request counts as never
    // written, and one that may run once only is sent to a second server.
    while (this->sent < this->outbox.size())
    {
        boost::system::error_code error;
        auto const rest = boost::asio::buffer(this->outbox) + this->sent;
        auto const count = this->socket.write_some(rest, error);
        this->sent += count;
        this->result.written = this->result.written || count > 0;
        if (error == boost::asio::error::would_block)
        {
            this->await_room();
            return;
        }
        if (error)
        {
            // The pending read reports the end, after whatever the server may
            // still have said.
            this->keeps_alive = false;
            return;
        }
    }
}

void client_connection::await_room()
{
    this->socket.async_wait(
        boost::asio::ip::tcp::socket::wait_write,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->dead && self->running)
            {
                self->write();
            }
        });
}

void client_connection::read()
{
    this->socket.async_read_some(
        boost::asio::buffer(this->block),
        [self = this->shared_from_this()](
            boost::system::error_code error, std::size_t count)
        {
            self->on_read(error, count);
        });
}

void client_connection::on_read(
    boost::system::error_code error, std::size_t count)
{
    if (this->dead)
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
        // Bytes that no exchange waits for: nothing that follows on this
        // connection can be trusted to belong to the next request.
        this->close();
        return;
    }
    this->last_use = clock::now();
    this->inbox.append(this->block.data(), count);
    this->feed();
    if (!this->dead)
    {
        this->read();
    }
}

void client_connection::feed()
{
    // A handler may close the connection, which drops the handlers while one
    // of them still runs.
    auto const keep = this->shared_from_this();
    auto const held = this->handlers;
    while (this->running && !this->inbox.empty())
    {
        if (!this->reader)
        {
            this->skipping = false;
            this->reader = std::make_unique<response_reader>(
                [this](response_head const& head)
                {
                    this->note_head(head);
                },
                [this](std::string_view data)
                {
                    if (!this->skipping && this->handlers)
                    {
                        this->handlers->on_data(data);
                    }
                });
        }
        boost::system::error_code error;
        auto const used =
            this->reader->put(boost::asio::buffer(this->inbox), error);
        if (this->dead)
        {
            return;
        }
        this->inbox.erase(0, used);
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

void client_connection::note_head(response_head const& head)
{
    if (is_interim(head))
    {
        this->skipping = true;
        return;
    }
    if (!this->handlers)
    {
        return;
    }
    auto const verdict = this->handlers->on_head(head);
    if (this->dead)
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
    if (orderly && this->reader && !this->skipping)
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
    if (end != exchange_end::withheld)
    {
        this->last_use = clock::now();
    }
    // Bytes beyond the response, or a request that was answered before all of
    // it was sent, make the connection unfit for the next exchange.
    auto const orderly =
        end == exchange_end::whole || end == exchange_end::withheld;
    auto const clean = orderly && this->keeps_alive && this->inbox.empty() &&
                       this->sent == this->outbox.size();
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
