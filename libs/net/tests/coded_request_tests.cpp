#include <net/http_server.hpp>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

// Requests with a transfer coding.
namespace foxtailvale::net
{

namespace
{

using boost::asio::ip::tcp;

tcp_endpoint const address(boost::asio::ip::make_address("127.0.0.1"), 21491);

// A server that notes the requests and faults that it reads.
struct noting_server
{
    noting_server()
    {
        server_handlers handlers;
        handlers.on_request =
            [this](
                std::shared_ptr<server_session> const& session,
                request const& received)
        {
            this->requests.push_back(received);
            session->respond(200, {}, "done");
        };
        handlers.on_fault = [this](server_session& session, read_fault fault)
        {
            this->faults.push_back(fault);
            session.respond(400, {}, "");
        };
        this->server = std::make_shared<http_server>(
            this->loop, server_limits{}, std::move(handlers));
        EXPECT_FALSE(this->server->listen(address));
    }

    ~noting_server()
    {
        this->server->stop();
    }

    noting_server(noting_server const&) = delete;
    noting_server& operator=(noting_server const&) = delete;

    void receive(std::string const& bytes)
    {
        tcp::socket caller(this->loop);
        caller.connect(address);
        boost::asio::write(caller, boost::asio::buffer(bytes));
        this->loop.run_for(std::chrono::milliseconds(20));
        this->loop.restart();
    }

    boost::asio::io_context loop;
    std::shared_ptr<http_server> server;
    std::vector<request> requests;
    std::vector<read_fault> faults;
};

std::string const hidden =
    "POST /book/2 HTTP/1.1\r\nHost: entry\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a request that nobody sent: the body of another one, whose
// coding the server does not know.
TEST(coded_request, of_an_unknown_coding_is_refused_with_its_body)
{
    for (auto const* coding :
         {"xchunked", "identity", "gzip", "chunked, gzip", "gzip, chunked",
          "\"chunked\"", "", "chunked\r\nTransfer-Encoding: chunked",
          "xchunked\r\nTransfer-Encoding: chunked"})
    {
        noting_server noting;
        noting.receive(
            std::string("POST /book/1 HTTP/1.1\r\nHost: entry\r\n"
                        "Transfer-Encoding: ") +
            coding + "\r\n\r\n" + hidden);
        EXPECT_TRUE(noting.requests.empty()) << coding;
        ASSERT_EQ(noting.faults.size(), 1U) << coding;
        EXPECT_EQ(noting.faults[0], read_fault::malformed) << coding;
    }
}

TEST(coded_request, in_chunks_is_read)
{
    noting_server noting;
    noting.receive(
        "POST /book/1 HTTP/1.1\r\nHost: entry\r\n"
        "Transfer-Encoding: Chunked\r\n\r\n"
        "2\r\nab\r\n0\r\n\r\n" +
        hidden);
    ASSERT_EQ(noting.requests.size(), 2U);
    EXPECT_EQ(noting.requests[0].body, "ab");
    EXPECT_EQ(noting.requests[1].target, "/book/2");
}

} // namespace foxtailvale::net
