#include "test_address.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/http_client.hpp>

#include <array>
#include <chrono>
#include <string>
#include <thread>

// Answers whose connection ends before their last byte.
namespace foxtailvale::http
{

namespace
{

enum class ending
{
    close,
    reset,
};

constexpr std::array endings{ending::close, ending::reset};

// A message and how many of its bytes are its head.
struct sample
{
    std::string head;
    std::string body;

    std::string bytes() const
    {
        return this->head + this->body;
    }
};

sample const answer_with_length{
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    "Content-Length: 5\r\nX-Answer: one\r\n\r\n",
    "whole"};
sample const answer_in_chunks{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Content-Type: text/plain\r\n\r\n",
    "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"};
sample const answer_after_continue{
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Content-Length: 5\r\n\r\n",
    "whole"};
sample const answer_without_body{"HTTP/1.1 204 No Content\r\n\r\n", ""};
sample const stream_in_chunks{
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n"};
sample const answer_without_length{
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Answer: one\r\n\r\n",
    "whole"};

// Accepts one connection after the other, reads a request, sends the first
// bytes of an answer and ends the connection.
class cutting_server
{
public:
    cutting_server()
        : listener(Poco::Net::SocketAddress(testing::own_address(), 0))
    {
    }

    base::result<response> answer(std::string const& bytes, ending end)
    {
        std::thread server(
            [&]
            {
                auto socket = this->listener.acceptConnection();
                char piece[1024];
                socket.receiveBytes(piece, sizeof piece);
                if (!bytes.empty())
                {
                    socket.sendBytes(
                        bytes.data(), static_cast<int>(bytes.size()));
                }
                socket.setLinger(end == ending::reset, 0);
            });
        request call_request;
        call_request.base = "http://" + this->listener.address().toString();
        call_request.path = "/";
        call_request.timeout = std::chrono::seconds(5);
        auto received = call(call_request);
        server.join();
        return received;
    }

private:
    Poco::Net::ServerSocket listener;
};

void expect_cut_answers_to_fail(sample const& answer)
{
    cutting_server server;
    auto const bytes = answer.bytes();
    for (auto const end : endings)
    {
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            EXPECT_FALSE(server.answer(bytes.substr(0, size), end))
                << size << " of " << bytes.size() << " bytes, "
                << (end == ending::reset ? "reset" : "closed");
        }
    }
    auto const whole = server.answer(bytes, ending::close);
    ASSERT_TRUE(whole);
}

} // namespace

// Guards against an answer that breaks off in its head or body and that the
// caller gets as whole, with an empty or short body.
TEST(cut_answer, one_with_a_length_fails)
{
    expect_cut_answers_to_fail(answer_with_length);
}

TEST(cut_answer, one_in_chunks_fails)
{
    expect_cut_answers_to_fail(answer_in_chunks);
}

TEST(cut_answer, one_after_an_interim_answer_fails)
{
    expect_cut_answers_to_fail(answer_after_continue);
}

TEST(cut_answer, one_without_a_body_fails)
{
    expect_cut_answers_to_fail(answer_without_body);
}

TEST(cut_answer, a_stream_of_events_fails)
{
    expect_cut_answers_to_fail(stream_in_chunks);
}

// Guards against the same on a connection that carried an answer without a body
// before.
TEST(cut_answer, one_after_an_answer_without_a_body_fails)
{
    Poco::Net::ServerSocket listener(
        Poco::Net::SocketAddress(testing::own_address(), 0));
    auto const answer =
        [](Poco::Net::StreamSocket& socket, std::string const& bytes)
    {
        char piece[1024];
        socket.receiveBytes(piece, sizeof piece);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    };
    std::thread server(
        [&]
        {
            {
                auto socket = listener.acceptConnection();
                answer(socket, answer_without_body.bytes());
                answer(socket, "HTTP/1.1 200 OK\r\nContent-Type: te");
            }
            if (listener.poll(
                    Poco::Timespan(2, 0), Poco::Net::Socket::SELECT_READ))
            {
                auto socket = listener.acceptConnection();
                answer(socket, answer_with_length.bytes());
            }
        });
    request call_request;
    call_request.base = "http://" + listener.address().toString();
    call_request.path = "/";
    call_request.timeout = std::chrono::seconds(5);
    call_request.idle_pool = make_idle_connection_pool();
    auto const first = call(call_request);
    auto const second = call(call_request);
    server.join();
    ASSERT_TRUE(first);
    EXPECT_EQ(first.value().status, 204U);
    ASSERT_TRUE(second);
    EXPECT_EQ(second.value().body, answer_with_length.body);
}

// The end of the connection is the end of such a body, but not of a head.
TEST(cut_answer, one_without_a_length_fails_in_its_head_or_when_it_is_reset)
{
    cutting_server server;
    auto const bytes = answer_without_length.bytes();
    for (std::size_t size = 0; size <= bytes.size(); ++size)
    {
        auto const part = bytes.substr(0, size);
        EXPECT_FALSE(server.answer(part, ending::reset)) << size;
        auto const closed = server.answer(part, ending::close);
        auto const ends_in_head = size < answer_without_length.head.size();
        ASSERT_EQ(closed.has_value(), !ends_in_head) << size;
        if (!ends_in_head)
        {
            EXPECT_EQ(
                closed.value().body,
                part.substr(answer_without_length.head.size()));
        }
    }
}

} // namespace foxtailvale::http
