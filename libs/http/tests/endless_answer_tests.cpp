#include "test_address.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/http_client.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

// Answers without an end, read by the own interface's client.
namespace foxtailvale::http
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Far beyond each bound that the tests set, so that a client without one ends.
constexpr std::size_t max_written = 64UL * 1024 * 1024;

// What the systems on both sides may buffer of one connection.
constexpr std::size_t buffered_bytes = 8UL * 1024 * 1024;

constexpr milliseconds timeout{500};

// Answers one call with some bytes and then with others, over and over, until
// the client closes the connection.
class endless_server
{
public:
    endless_server(
        std::string const& first,
        std::string const& repeated,
        milliseconds pause = {})
        : listener(Poco::Net::SocketAddress(testing::own_address(), 0)),
          thread(
              [this, first, repeated, pause]
              {
                  this->serve(first, repeated, pause);
              })
    {
    }

    ~endless_server()
    {
        this->thread.join();
    }

    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;

    request call_to() const
    {
        request call_request;
        call_request.base = "http://" + this->listener.address().toString();
        call_request.path = "/";
        call_request.timeout = timeout;
        return call_request;
    }

    std::atomic<std::size_t> written = 0;

private:
    void
    serve(std::string const& first, std::string repeated, milliseconds pause)
    {
        constexpr std::size_t block_bytes = 4096;
        while (pause.count() == 0 && repeated.size() < block_bytes)
        {
            repeated += repeated;
        }
        auto socket = this->listener.acceptConnection();
        char piece[1024];
        socket.receiveBytes(piece, sizeof piece);
        try
        {
            socket.sendBytes(first.data(), static_cast<int>(first.size()));
            while (this->written < max_written)
            {
                this->written += static_cast<std::size_t>(socket.sendBytes(
                    repeated.data(), static_cast<int>(repeated.size())));
                std::this_thread::sleep_for(pause);
            }
        }
        catch (Poco::Exception const&)
        {
            // The client closed the connection.
            return;
        }
    }

    Poco::Net::ServerSocket listener;
    std::thread thread;
};

std::string const success = "HTTP/1.1 200 OK\r\n";
std::string const chunked = success + "Transfer-Encoding: chunked\r\n\r\n";
std::string const event_stream =
    success + "Content-Type: text/event-stream\r\n\r\n";

} // namespace

// Guards against a machine whose memory is spent by one faulty server, and that
// fails the requests of everybody else.
TEST(endless_answer, ends_the_call)
{
    struct endless_case
    {
        std::string name;
        std::string first;
        std::string repeated;
    };
    std::vector<endless_case> const cases{
        {"bytes that are no answer", "", "x"},
        {"a status line", "HTTP/1.1 200 ", "x"},
        {"a field", success + "A: ", "x"},
        {"fields", success, "A: b\r\n"},
        {"interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
        {"a body", success + "\r\n", "x"},
        {"chunks", chunked, "4\r\nabcd\r\n"},
        {"a chunk's size", chunked, "0"},
        {"a chunk's extension", chunked + "5;a=", "x"},
        {"trailing fields", chunked + "0\r\n", "A: b\r\n"},
        {"an event", event_stream, "data: x\n"},
        {"a line of an event", event_stream + "data: ", "x"}};
    for (auto const& chosen : cases)
    {
        endless_server server(chosen.first, chosen.repeated);
        auto call_request = server.call_to();
        call_request.max_body_bytes = 1024UL * 1024;
        auto const answer = call(call_request);
        ASSERT_FALSE(answer) << chosen.name;
        EXPECT_EQ(answer.error().kind, base::error_kind::endpoint_lost);
        EXPECT_LT(server.written, buffered_bytes) << chosen.name;
    }
}

// Guards against a call that is held beyond its time by a server that goes on
// sending answers before the answer.
TEST(endless_answer, interim_answers_do_not_extend_the_time)
{
    endless_server server(
        "", "HTTP/1.1 102 Processing\r\n\r\n", milliseconds(20));
    auto const before = clock::now();
    EXPECT_FALSE(call(server.call_to()));
    EXPECT_LT(clock::now() - before, 3 * timeout);
}

// Guards against bodies that stay below the bound of one each and spend the
// memory together, and against a budget that is not given back.
TEST(endless_answer, bodies_of_several_calls_are_bounded_together)
{
    constexpr std::size_t bytes = 100000;
    auto const budget = std::make_shared<body_budget>(bytes);
    std::string const whole =
        success + "Content-Length: 90000\r\n\r\n" + std::string(90000, 'x');
    for (auto round = 0; round < 2; ++round)
    {
        {
            endless_server server(success + "\r\n", "x");
            auto call_request = server.call_to();
            call_request.budget = budget;
            EXPECT_FALSE(call(call_request));
            EXPECT_LT(server.written, buffered_bytes);
        }
        endless_server server(whole, " ", milliseconds(1));
        auto call_request = server.call_to();
        call_request.budget = budget;
        auto const answer = call(call_request);
        ASSERT_TRUE(answer) << answer.error().detail;
        EXPECT_EQ(answer.value().body.size(), 90000U);
    }
}

} // namespace foxtailvale::http
