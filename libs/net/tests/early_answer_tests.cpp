#include <net/client_connection.hpp>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>
#include <thread>

// Answers that come while the request is still being written.
namespace foxtailvale::net
{

namespace
{

using boost::asio::ip::tcp;

// More than the systems on both sides buffer.
constexpr std::size_t upload_bytes = 32UL * 1024 * 1024;

struct outcome
{
    std::optional<exchange_end> end;
    std::string body;
};

// Uploads a large body to a server that reads the head only, answers with these
// bytes and resets the connection. The writing meets the reset before the
// answer is read.
outcome upload_to_resetting_server(std::string const& answer)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(
        loop, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    auto const connection =
        std::make_shared<client_connection>(loop, acceptor.local_endpoint());
    connection->pause_reading();
    outcome found;
    connection->start(
        serialize(request{
            "POST", "/", {{"Host", "here"}}, std::string(upload_bytes, 'x')}),
        {[](response_head const&)
         {
             return head_verdict::take;
         },
         [&found](std::string_view data)
         {
             found.body.append(data);
         },
         [&found](exchange_result const& result)
         {
             found.end = result.end;
         }});
    tcp::socket server(loop);
    acceptor.accept(server);
    // Until the writing waits for the server.
    loop.run_for(std::chrono::milliseconds(100));
    std::string asked;
    boost::asio::read_until(
        server, boost::asio::dynamic_buffer(asked), "\r\n\r\n");
    boost::asio::write(server, boost::asio::buffer(answer));
    // Bytes that are still on their way would be lost in the reset.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    server.set_option(boost::asio::socket_base::linger(true, 0));
    server.close();
    loop.restart();
    loop.run_for(std::chrono::milliseconds(100));
    connection->resume_reading();
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
    connection->close();
    return found;
}

std::string const success = "HTTP/1.1 200 OK\r\n";

} // namespace

// Guards against the first part of an answer that callers get as a whole one:
// the reset that cuts it is reported to the writing, and the reading sees an
// orderly end.
TEST(early_answer, without_a_length_it_is_cut_by_a_reset)
{
    auto const found =
        upload_to_resetting_server(success + "\r\npart of a body");
    EXPECT_EQ(found.end, exchange_end::cut);
    EXPECT_EQ(found.body, "part of a body");
}

// Guards against a complete answer that is lost with the rest of its request.
TEST(early_answer, a_complete_one_stays_whole)
{
    for (auto const* rest :
         {"Content-Length: 2\r\n\r\nab",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"})
    {
        auto const found = upload_to_resetting_server(success + rest);
        EXPECT_EQ(found.end, exchange_end::whole) << rest;
        EXPECT_EQ(found.body, "ab");
    }
}

TEST(early_answer, with_a_length_or_chunks_it_is_cut_by_a_reset)
{
    for (auto const* rest :
         {"Content-Length: 3\r\n\r\nab",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"})
    {
        auto const found = upload_to_resetting_server(success + rest);
        EXPECT_EQ(found.end, exchange_end::cut) << rest;
    }
}

} // namespace foxtailvale::net
