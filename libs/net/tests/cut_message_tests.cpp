#include <net/client_connection.hpp>
#include <net/http_server.hpp>

#include <boost/asio/write.hpp>
#include <cut_server.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>

// Requests and responses whose connection ends before their last byte.
namespace foxtailvale::net
{

namespace
{

using boost::asio::ip::tcp;

struct sample
{
    std::string head;
    std::string body;
};

sample const answer_with_length{
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Answer: one\r\n\r\n", "whole"};
sample const answer_in_chunks{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"};
sample const answer_after_continue{
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Content-Length: 5\r\n\r\n",
    "whole"};
sample const stream_in_chunks{
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"};
sample const answer_without_length{
    "HTTP/1.1 200 OK\r\nX-Answer: one\r\n\r\n", "whole"};

// How an exchange ends whose response is cut after so many bytes.
exchange_end end_after(std::string const& bytes, bool resets)
{
    boost::asio::io_context loop;
    testing::cut_server server(loop);
    server.bytes = bytes;
    server.resets = resets;
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    std::optional<exchange_end> end;
    connection->start(
        serialize(request{"GET", "/", {{"Host", "here"}}, {}}),
        {[](response_head const&)
         {
             return head_verdict::take;
         },
         [](std::string_view) {},
         [&end](exchange_result const& result)
         {
             end = result.end;
         }});
    while (!end && loop.run_one() > 0)
    {
    }
    connection->close();
    return end.value_or(exchange_end::whole);
}

void expect_cut_answers_not_whole(sample const& answer)
{
    auto const bytes = answer.head + answer.body;
    for (auto const resets : {false, true})
    {
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            EXPECT_NE(
                end_after(bytes.substr(0, size), resets), exchange_end::whole)
                << size << " of " << bytes.size() << " bytes";
        }
    }
    EXPECT_EQ(end_after(bytes, false), exchange_end::whole);
}

} // namespace

// Guards against an answer that breaks off in its head or body and that counts
// as whole, with an empty or short body.
TEST(cut_answer, is_not_whole_wherever_it_is_cut)
{
    expect_cut_answers_not_whole(answer_with_length);
    expect_cut_answers_not_whole(answer_in_chunks);
    expect_cut_answers_not_whole(answer_after_continue);
    expect_cut_answers_not_whole(stream_in_chunks);
}

// The end of the connection is the end of such a body, but not of a head.
TEST(cut_answer, without_a_length_is_not_whole_in_its_head_or_when_it_is_reset)
{
    auto const bytes = answer_without_length.head + answer_without_length.body;
    for (std::size_t size = 0; size <= bytes.size(); ++size)
    {
        auto const part = bytes.substr(0, size);
        EXPECT_NE(end_after(part, true), exchange_end::whole) << size;
        auto const ends_in_head = size < answer_without_length.head.size();
        EXPECT_EQ(end_after(part, false) == exchange_end::whole, !ends_in_head)
            << size;
    }
}

// Guards against a request that breaks off and is carried out with what came of
// it.
TEST(cut_request, is_not_handed_on_wherever_it_is_cut)
{
    std::array<std::string, 3> const requests{
        "POST /book HTTP/1.1\r\nHost: entry\r\nContent-Length: 5\r\n\r\nwhole",
        "POST /book HTTP/1.1\r\nHost: entry\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
        "GET /book HTTP/1.1\r\nHost: entry\r\nX-Last: field\r\n\r\n"};
    boost::asio::io_context loop;
    std::size_t handed_on = 0;
    server_handlers handlers;
    handlers.on_request =
        [&handed_on](
            std::shared_ptr<server_session> const& session, request const&)
    {
        ++handed_on;
        session->respond(200, {}, "done");
    };
    handlers.on_fault = [](server_session& session, read_fault)
    {
        session.abort();
    };
    auto const server = std::make_shared<http_server>(
        loop, server_limits{}, std::move(handlers));
    tcp_endpoint const address(
        boost::asio::ip::make_address("127.0.0.1"), 21490);
    ASSERT_FALSE(server->listen(address));
    auto const send = [&](std::string const& bytes, bool resets)
    {
        tcp::socket socket(loop);
        socket.connect(address);
        boost::asio::write(socket, boost::asio::buffer(bytes));
        socket.set_option(boost::asio::socket_base::linger(resets, 0));
        socket.close();
        loop.run_for(std::chrono::milliseconds(1));
        loop.restart();
    };
    for (auto const& request : requests)
    {
        for (std::size_t size = 0; size < request.size(); ++size)
        {
            send(request.substr(0, size), false);
            send(request.substr(0, size), true);
        }
    }
    loop.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(handed_on, 0U);
    loop.restart();
    tcp::socket caller(loop);
    caller.connect(address);
    boost::asio::write(caller, boost::asio::buffer(requests[0]));
    loop.run_for(std::chrono::milliseconds(100));
    EXPECT_EQ(handed_on, 1U);
    server->stop();
}

} // namespace foxtailvale::net
