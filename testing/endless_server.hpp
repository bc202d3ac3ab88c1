#ifndef FOXTAILVALE_TESTING_ENDLESS_SERVER_HPP
#define FOXTAILVALE_TESTING_ENDLESS_SERVER_HPP

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace foxtailvale::testing
{

// Answers each connection's request with some bytes and then with others, over
// and over, until the connection is closed.
class endless_server
{
public:
    using tcp = boost::asio::ip::tcp;

    // Returns the first bytes, from the request's head.
    using beginning = std::function<std::string(std::string const& asked)>;

    // Far beyond any bound, so that a test of code without one ends.
    static constexpr std::size_t max_written = 64UL * 1024 * 1024;

    // Without a pause between two writes, the repeated bytes are written in
    // large blocks.
    endless_server(
        boost::asio::io_context& event_loop,
        tcp::endpoint const& address,
        beginning first,
        std::string const& repeated,
        std::chrono::milliseconds pause_between = {})
        : loop(event_loop), acceptor(event_loop, address),
          begin(std::move(first)), next(repeated), pause(pause_between)
    {
        constexpr std::size_t block_bytes = 4096;
        while (this->pause.count() == 0 && this->next.size() < block_bytes)
        {
            this->next += this->next;
        }
        this->accept();
    }

    tcp::endpoint address() const
    {
        return this->acceptor.local_endpoint();
    }

    std::size_t received = 0;
    // By all connections together.
    std::size_t written = 0;

private:
    struct connection
    {
        explicit connection(boost::asio::io_context& event_loop)
            : socket(event_loop), timer(event_loop)
        {
        }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::string bytes;
        std::size_t written = 0;
    };
    using connection_pointer = std::shared_ptr<connection>;

    void accept()
    {
        auto const accepted = std::make_shared<connection>(this->loop);
        this->acceptor.async_accept(
            accepted->socket,
            [this, accepted](boost::system::error_code error)
            {
                if (!error)
                {
                    this->read(accepted);
                    this->accept();
                }
            });
    }

    void read(connection_pointer const& held)
    {
        boost::asio::async_read_until(
            held->socket, boost::asio::dynamic_buffer(held->bytes), "\r\n\r\n",
            [this, held](boost::system::error_code error, std::size_t)
            {
                if (!error)
                {
                    ++this->received;
                    held->bytes = this->begin(held->bytes);
                    this->write(held);
                }
            });
    }

    void write(connection_pointer const& held)
    {
        boost::asio::async_write(
            held->socket, boost::asio::buffer(held->bytes),
            [this, held](boost::system::error_code error, std::size_t count)
            {
                held->written += count;
                this->written += count;
                held->bytes = this->next;
                if (!error && held->written < max_written)
                {
                    this->write_later(held);
                }
            });
    }

    void write_later(connection_pointer const& held)
    {
        if (this->pause.count() == 0)
        {
            this->write(held);
            return;
        }
        held->timer.expires_after(this->pause);
        held->timer.async_wait(
            [this, held](boost::system::error_code error)
            {
                if (!error)
                {
                    this->write(held);
                }
            });
    }

    boost::asio::io_context& loop;
    tcp::acceptor acceptor;
    beginning begin;
    std::string next;
    std::chrono::milliseconds pause;
};

} // namespace foxtailvale::testing

#endif
