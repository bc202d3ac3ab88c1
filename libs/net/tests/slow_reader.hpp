#ifndef FOXTAILVALE_NET_SLOW_READER_HPP
#define FOXTAILVALE_NET_SLOW_READER_HPP

#include <net/http_server.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <test_address.hpp>

#include <chrono>
#include <memory>
#include <string>

// Clients that read a large answer slowly: the answer fills the buffers of both
// systems, and the server still holds a part of it.
namespace foxtailvale::net
{

inline constexpr std::chrono::milliseconds step_time{10};

inline std::string request_bytes(bool keep_alive)
{
    field_list fields{{"Host", "h"}};
    if (!keep_alive)
    {
        fields.push_back({"Connection", "close"});
    }
    return serialize({"GET", "/", fields, {}});
}

// A server that answers each request with a body of this size.
class large_server
{
public:
    static constexpr std::uint16_t server_port = 22300;

    explicit large_server(std::size_t body, server_limits limits = {})
        : address(
              boost::asio::ip::make_address(testing::own_address()),
              server_port)
    {
        server_handlers handlers;
        handlers.on_request =
            [this,
             body](std::shared_ptr<server_session> const& session, request)
        {
            ++this->requests;
            session->respond(200, {}, std::string(body, 'x'));
        };
        handlers.on_fault = [](server_session& session, read_fault)
        {
            session.abort();
        };
        this->server = std::make_shared<http_server>(
            this->loop, limits, std::move(handlers));
        EXPECT_FALSE(this->server->listen(this->address));
    }

    ~large_server()
    {
        this->server->stop();
        this->loop.run_for(step_time);
    }

    void run(std::chrono::milliseconds time)
    {
        this->loop.run_for(time);
        this->loop.restart();
    }

    void run_one()
    {
        this->loop.run_one();
        this->loop.restart();
    }

    tcp_endpoint address;
    std::size_t requests = 0;

private:
    // Outlives the server, whose timer belongs to it.
    boost::asio::io_context loop;

public:
    std::shared_ptr<http_server> server;
};

class slow_client
{
public:
    static constexpr std::size_t bytes_per_step = 16UL * 1024;

    explicit slow_client(tcp_endpoint const& server) : socket(this->context)
    {
        this->socket.open(server.protocol());
        this->socket.set_option(
            boost::asio::socket_base::receive_buffer_size(receive_buffer));
        this->socket.connect(server);
        this->socket.non_blocking(true);
    }

    void send(std::string const& bytes)
    {
        boost::asio::write(this->socket, boost::asio::buffer(bytes));
    }

    // Reads at most this much, without waiting.
    void read(std::size_t most = bytes_per_step)
    {
        std::string part(most, '\0');
        boost::system::error_code error;
        auto const count =
            this->socket.read_some(boost::asio::buffer(part), error);
        this->received.append(part, 0, count);
        if (error && error != boost::asio::error::would_block)
        {
            this->is_closed = true;
            this->was_reset = error != boost::asio::error::eof;
        }
    }

    // Whether the first answer has come to its last byte.
    bool has_whole(std::size_t body) const
    {
        auto const head = this->received.find("\r\n\r\n");
        return head != std::string::npos &&
               this->received.size() >= head + 4 + body;
    }

    std::string received;
    bool is_closed = false;
    bool was_reset = false;

private:
    static constexpr int receive_buffer = 64 * 1024;

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
};

// Reads until the connection ends or the body is whole.
inline void
read_slowly(large_server& server, slow_client& client, std::size_t body)
{
    constexpr std::chrono::seconds test_timeout{25};
    using clock = std::chrono::steady_clock;
    auto const end = clock::now() + test_timeout;
    while (!client.is_closed && !client.has_whole(body) && clock::now() < end)
    {
        server.run(step_time);
        client.read();
    }
}

} // namespace foxtailvale::net

#endif
