#include <net/client_connection.hpp>
#include <net/http_server.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <functional>

namespace foxtailvale::net
{

namespace
{

using boost::asio::ip::tcp;

tcp_endpoint const loopback(boost::asio::ip::make_address("127.0.0.1"), 0);

// A server that writes the same bytes to each connection each time it has read
// something, and may close the connection after that.
class raw_server
{
public:
    raw_server(
        boost::asio::io_context& event_loop, std::string bytes, bool closes)
        : acceptor(event_loop, loopback), answer(std::move(bytes)),
          closes_after(closes)
    {
        this->accept();
    }

    tcp_endpoint address() const
    {
        return this->acceptor.local_endpoint();
    }

    std::size_t connections() const
    {
        return this->sockets.size();
    }

    // Writes to the connection that was accepted first, or closes it, without
    // running the loop.
    void write_stray(std::string const& bytes)
    {
        boost::asio::write(*this->sockets.front(), boost::asio::buffer(bytes));
    }

    void close_first()
    {
        this->sockets.front()->close();
    }

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code error, tcp::socket accepted)
            {
                if (error)
                {
                    return;
                }
                this->sockets.push_back(
                    std::make_shared<tcp::socket>(std::move(accepted)));
                this->read(this->sockets.back());
                this->accept();
            });
    }

    void read(std::shared_ptr<tcp::socket> const& socket)
    {
        socket->async_read_some(
            boost::asio::buffer(this->block),
            [this, socket](boost::system::error_code error, std::size_t)
            {
                if (error)
                {
                    return;
                }
                boost::asio::write(*socket, boost::asio::buffer(this->answer));
                if (this->closes_after)
                {
                    socket->close();
                    return;
                }
                this->read(socket);
            });
    }

    tcp::acceptor acceptor;
    std::string answer;
    bool closes_after;
    std::array<char, 4096> block{};
    std::vector<std::shared_ptr<tcp::socket>> sockets;
};

// Outcome of one exchange.
struct exchange_outcome
{
    unsigned status = 0;
    std::string body;
    std::optional<exchange_result> result;
};

exchange_handlers record_into(exchange_outcome& found)
{
    return {
        [&found](response_head const& head)
        {
            found.status = head.status;
            return head_verdict::take;
        },
        [&found](std::string_view data)
        {
            found.body.append(data);
        },
        [&found](exchange_result const& result)
        {
            found.result = result;
        }};
}

std::string const plain_request =
    serialize(request{"GET", "/", {{"Host", "here"}}, {}});

exchange_outcome exchange_with(std::string const& bytes, bool closes)
{
    boost::asio::io_context loop;
    raw_server server(loop, bytes, closes);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    exchange_outcome found;
    connection->start(plain_request, record_into(found));
    while (!found.result && loop.run_one() > 0)
    {
    }
    connection->close();
    return found;
}

// A server whose connection is kept between two exchanges, and what it answers.
class kept_connection
{
public:
    kept_connection()
        : server(
              this->loop,
              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
              false),
          connection(std::make_shared<client_connection>(
              this->loop, this->server.address()))
    {
    }

    ~kept_connection()
    {
        this->connection->close();
    }

    exchange_outcome exchange()
    {
        exchange_outcome found;
        this->connection->start(plain_request, record_into(found));
        while (!found.result && this->loop.run_one() > 0)
        {
        }
        return found;
    }

    boost::asio::io_context loop;
    raw_server server;
    std::shared_ptr<client_connection> connection;
};

// A stalled server: its system accepts connections, but it reads nothing until
// read_all().
class stalled_server
{
public:
    explicit stalled_server(boost::asio::io_context& loop)
        : acceptor(loop), socket(loop)
    {
        // Keeps most of a large request in the sender's system.
        constexpr int small_buffer = 4096;
        this->acceptor.open(loopback.protocol());
        this->acceptor.set_option(
            boost::asio::socket_base::receive_buffer_size(small_buffer));
        this->acceptor.bind(loopback);
        this->acceptor.listen();
        this->acceptor.async_accept(
            this->socket, [](boost::system::error_code) {});
    }

    tcp_endpoint address() const
    {
        return this->acceptor.local_endpoint();
    }

    // Resumes the server: returns what it reads and how the connection ended.
    std::pair<std::string, boost::system::error_code> read_all()
    {
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(
            this->socket, boost::asio::dynamic_buffer(bytes), error);
        return {bytes, error};
    }

private:
    tcp::acceptor acceptor;
    tcp::socket socket;
};

// Whether a stalled server's machine has acknowledged a request with this body.
bool is_acknowledged_by_stalled_server(std::string body)
{
    boost::asio::io_context loop;
    stalled_server server(loop);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    exchange_outcome found;
    connection->start(
        serialize(request{"POST", "/", {{"Host", "here"}}, std::move(body)}),
        record_into(found));
    loop.run_for(std::chrono::milliseconds(50));
    auto const acknowledged = connection->is_all_acknowledged();
    connection->close();
    return acknowledged;
}

// Sends a request with this body to a stalled server, closes the connection
// once the system has accepted all of it, and resumes the server.
std::pair<std::string, boost::system::error_code>
read_after_close(std::string body)
{
    boost::asio::io_context loop;
    stalled_server server(loop);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    exchange_outcome found;
    connection->start(
        serialize(request{"POST", "/", {{"Host", "here"}}, std::move(body)}),
        record_into(found));
    loop.run_for(std::chrono::milliseconds(50));
    EXPECT_FALSE(found.result);
    connection->close();
    return server.read_all();
}

} // namespace

TEST(exchange, a_response_with_a_length_is_whole_and_the_connection_kept)
{
    auto const found =
        exchange_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
    EXPECT_EQ(found.status, 200U);
    EXPECT_EQ(found.body, "hi");
    ASSERT_TRUE(found.result);
    EXPECT_EQ(found.result->end, exchange_end::whole);
    EXPECT_TRUE(found.result->written);
}

TEST(exchange, a_chunked_response_is_whole_at_its_last_chunk)
{
    auto const found = exchange_with(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nhi\r\n3\r\n yo\r\n0\r\n\r\n",
        false);
    EXPECT_EQ(found.body, "hi yo");
    EXPECT_EQ(found.result->end, exchange_end::whole);
}

TEST(exchange, a_response_without_a_length_ends_with_an_orderly_close)
{
    auto const found = exchange_with("HTTP/1.1 200 OK\r\n\r\nall of it", true);
    EXPECT_EQ(found.body, "all of it");
    EXPECT_EQ(found.result->end, exchange_end::whole);
}

// An endpoint dies while it sends. The part that was received must not be taken
// for the complete response.
TEST(exchange, a_response_that_ends_early_is_cut)
{
    auto const found =
        exchange_with("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
    EXPECT_EQ(found.result->end, exchange_end::cut);
    EXPECT_TRUE(found.result->head_seen);
}

TEST(exchange, bytes_that_are_no_response_are_told_from_a_cut)
{
    auto const found = exchange_with("what is this\r\n\r\n", false);
    EXPECT_EQ(found.result->end, exchange_end::not_http);
}

TEST(exchange, a_port_without_a_listener_leaves_the_request_unwritten)
{
    boost::asio::io_context loop;
    tcp_endpoint address;
    {
        tcp::acceptor const free(loop, loopback);
        address = free.local_endpoint();
    }
    auto const connection = std::make_shared<client_connection>(loop, address);
    exchange_outcome found;
    connection->start(plain_request, record_into(found));
    loop.run();
    ASSERT_TRUE(found.result);
    EXPECT_EQ(found.result->end, exchange_end::not_connected);
    EXPECT_FALSE(found.result->written);
}

// An endpoint sends a second response after the first. If it were taken for the
// response to the next request, a caller would get another caller's data.
TEST(exchange, bytes_beyond_the_response_end_the_connection)
{
    boost::asio::io_context loop;
    raw_server server(
        loop,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
        false);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    exchange_outcome found;
    connection->start(plain_request, record_into(found));
    while (!found.result && loop.run_one() > 0)
    {
    }
    EXPECT_EQ(found.body, "hi");
    EXPECT_FALSE(connection->is_idle());
    connection->close();
}

// A kept connection whose server shuts down its sending direction, and still
// reads, about when the next request is sent.
class crossed_end : public ::testing::Test
{
protected:
    crossed_end() : acceptor(loop, loopback), server(loop)
    {
        this->connection = std::make_shared<client_connection>(
            this->loop, this->acceptor.local_endpoint());
        exchange_outcome first;
        this->connection->start(plain_request, record_into(first));
        this->acceptor.accept(this->server);
        while (this->server.available() < plain_request.size())
        {
            this->loop.run_one();
        }
        std::string bytes(plain_request.size(), ' ');
        boost::asio::read(this->server, boost::asio::buffer(bytes));
        boost::asio::write(
            this->server,
            boost::asio::buffer(
                std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")));
        while (!first.result)
        {
            this->loop.run_one();
        }
    }

    ~crossed_end() override
    {
        this->connection->close();
    }

    // Sends the second request from the handler of another socket, which the
    // loop finds readable together with what happens to the connection before.
    void send_from_handler(
        std::function<void()> const& before,
        std::function<void()> const& behind)
    {
        tcp::socket trigger(this->loop);
        trigger.connect(this->acceptor.local_endpoint());
        auto other_end = this->acceptor.accept();
        auto sent = false;
        std::array<char, 1> block{};
        trigger.async_read_some(
            boost::asio::buffer(block),
            [&](boost::system::error_code, std::size_t)
            {
                this->connection->start(
                    plain_request, record_into(this->second));
                behind();
                sent = true;
            });
        this->loop.poll();
        boost::asio::write(other_end, boost::asio::buffer("x", 1));
        before();
        while (!sent)
        {
            this->loop.run_one();
        }
    }

    void shut_down()
    {
        this->server.shutdown(tcp::socket::shutdown_send);
    }

    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::socket server;
    std::shared_ptr<client_connection> connection;
    exchange_outcome second;
};

// A booking is sent on a kept-alive connection just as the endpoint shuts down
// its sending direction; the endpoint still reads. The close is seen before the
// write is reported. If the booking counted as not written, it would be sent to
// a second endpoint and run twice.
TEST_F(crossed_end, a_request_that_was_written_counts_as_written)
{
    this->send_from_handler(
        [] {},
        [this]
        {
            this->shut_down();
        });
    while (!this->second.result)
    {
        this->loop.run_one();
    }
    EXPECT_EQ(this->server.available(), plain_request.size());
    EXPECT_EQ(this->second.result->end, exchange_end::cut);
    EXPECT_TRUE(this->second.result->written);
    this->acceptor.non_blocking(true);
    boost::system::error_code error;
    this->acceptor.accept(error);
    EXPECT_EQ(error, boost::asio::error::would_block);
}

// Guards against a booking that the endpoint reads behind its own end, and that
// is sent to a second endpoint or whose outcome is not known.
TEST_F(crossed_end, a_request_is_not_written_behind_an_end_that_has_arrived)
{
    this->send_from_handler(
        [this]
        {
            this->shut_down();
        },
        [] {});
    auto other = this->acceptor.accept();
    while (other.available() < plain_request.size())
    {
        this->loop.run_one();
    }
    EXPECT_EQ(this->server.available(), 0U);
    EXPECT_FALSE(this->second.result);
}

// Opening a connection takes time. Time limits in the request that were
// computed before would end that much too late at the server, which would start
// work that its caller no longer wants.
TEST(exchange, a_request_is_made_when_the_connection_is_open)
{
    boost::asio::io_context loop;
    raw_server server(
        loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    exchange_outcome found;
    auto source_calls = 0;
    connection->start(
        [&]() -> std::optional<std::string>
        {
            ++source_calls;
            EXPECT_TRUE(connection->is_open());
            return plain_request;
        },
        record_into(found));
    EXPECT_EQ(source_calls, 0);
    while (!found.result && loop.run_one() > 0)
    {
    }
    EXPECT_EQ(source_calls, 1);
    EXPECT_EQ(found.body, "hi");
    connection->close();
}

// A request has timed out by the time its connection is open: nothing of it is
// written, and the connection serves the next request.
TEST(exchange, a_request_that_is_withheld_leaves_the_connection_as_it_was)
{
    boost::asio::io_context loop;
    raw_server server(
        loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    auto const nothing = []() -> std::optional<std::string>
    {
        return std::nullopt;
    };
    // The first one while the connection opens, the second while it is open.
    for (auto times = 0; times < 2; ++times)
    {
        exchange_outcome withheld;
        connection->start(nothing, record_into(withheld));
        EXPECT_FALSE(withheld.result);
        while (!withheld.result && loop.run_one() > 0)
        {
        }
        ASSERT_TRUE(withheld.result);
        EXPECT_EQ(withheld.result->end, exchange_end::withheld);
        EXPECT_FALSE(withheld.result->written);
        ASSERT_TRUE(connection->is_idle());
        ASSERT_TRUE(connection->is_open());
    }
    exchange_outcome found;
    connection->start(plain_request, record_into(found));
    while (!found.result && loop.run_one() > 0)
    {
    }
    EXPECT_EQ(found.body, "hi");
    connection->close();
}

// A server closes a connection that is idle for a while. If a withheld request
// counted as use although no byte was sent, the next request would be sent on a
// connection that the server is about to close, and would be cut off.
TEST(exchange, a_request_that_is_withheld_does_not_make_its_connection_younger)
{
    constexpr std::chrono::milliseconds quiet{100};
    boost::asio::io_context loop;
    raw_server server(
        loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    exchange_outcome first;
    connection->start(plain_request, record_into(first));
    while (!first.result && loop.run_one() > 0)
    {
    }
    ASSERT_TRUE(connection->is_idle());
    EXPECT_LT(connection->idle_time(), quiet);
    loop.run_for(quiet);
    exchange_outcome withheld;
    connection->start(
        []() -> std::optional<std::string>
        {
            return std::nullopt;
        },
        record_into(withheld));
    while (!withheld.result && loop.run_one() > 0)
    {
    }
    ASSERT_TRUE(connection->is_idle());
    EXPECT_GE(connection->idle_time(), quiet);
    connection->close();
}

// A stalled server must not execute requests that timed out meanwhile when it
// resumes: it has to see that the request was aborted.
TEST(exchange, a_request_that_is_given_up_ends_with_a_reset)
{
    auto const [bytes, end] = read_after_close("x");
    EXPECT_EQ(end, boost::asio::error::connection_reset);
}

// The system must not deliver the buffered rest of such a request to the server
// after the close.
TEST(exchange, what_the_system_holds_of_a_request_that_is_given_up_is_dropped)
{
    constexpr std::size_t size = 40000;
    auto const [bytes, end] = read_after_close(std::string(size, 'x'));
    EXPECT_LT(bytes.size(), size);
    EXPECT_EQ(end, boost::asio::error::connection_reset);
}

// A request that a link holds must be told from one that has reached a server
// which does not answer.
TEST(exchange, a_request_that_the_system_holds_is_not_acknowledged)
{
    EXPECT_TRUE(is_acknowledged_by_stalled_server("x"));
    constexpr std::size_t size = 40000;
    EXPECT_FALSE(is_acknowledged_by_stalled_server(std::string(size, 'x')));
}

// Guards against an answer that came before the request was written and was
// taken for its own: the request then counted as declined while it ran.
TEST(exchange, bytes_that_came_before_the_request_are_not_its_answer)
{
    kept_connection kept;
    EXPECT_EQ(kept.exchange().status, 200U);
    kept.server.write_stray("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    auto const second = kept.exchange();
    EXPECT_EQ(second.status, 200U);
    EXPECT_EQ(second.body, "yes");
    EXPECT_FALSE(second.result->reused);
    EXPECT_EQ(kept.server.connections(), 2U);
    EXPECT_TRUE(kept.exchange().result->reused);
}

// Guards against a request that is written to a connection which its server has
// closed: whether it ran is not known then.
TEST(exchange, a_request_is_not_written_to_a_closed_connection)
{
    kept_connection kept;
    EXPECT_EQ(kept.exchange().status, 200U);
    kept.server.close_first();
    auto const second = kept.exchange();
    EXPECT_EQ(second.status, 200U);
    EXPECT_EQ(second.result->end, exchange_end::whole);
    EXPECT_FALSE(second.result->reused);
}

} // namespace foxtailvale::net
