#include "test_address.hpp"

#include <node/endpoint_client.hpp>
#include <node/event_loop.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <array>
#include <string>
#include <thread>

namespace foxtailvale::node
{

namespace
{

// What an agent makes of its endpoint's answer: the last output of the attempt.
agent_core::attempt_output
last_output(Poco::Net::ServerSocket& listener, std::string const& answer)
{
    std::thread endpoint(
        [&]
        {
            auto socket = listener.acceptConnection();
            std::array<char, 1024> piece{};
            socket.receiveBytes(piece.data(), piece.size());
            if (!answer.empty())
            {
                socket.sendBytes(
                    answer.data(), static_cast<int>(answer.size()));
            }
        });
    event_loop loop;
    agent_core::attempt_output last;
    endpoint_client client(
        loop, {"http://" + listener.address().toString(), "", "", "booking"},
        [&](agent_core::event const& event)
        {
            auto const& output = std::get<agent_core::attempt_output>(event);
            if (output.last)
            {
                last = output;
                loop.stop();
            }
        });
    agent_core::start_attempt work;
    work.run.set_method("POST");
    work.run.set_path("/bookings");
    work.run.set_body("visit");
    work.run.set_time_left_ms(5000);
    work.run.set_token(1);
    client.start(std::move(work));
    loop.run();
    endpoint.join();
    return last;
}

} // namespace

// Guards against a caller that gets status 200 with an empty body, framed as
// whole: the endpoint's connection closed within the head or body.
TEST(endpoint_client, an_answer_that_is_cut_is_a_failure)
{
    Poco::Net::ServerSocket listener(
        Poco::Net::SocketAddress(testing::own_address(), 0));
    std::array<std::string, 2> const answers{
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        "Content-Length: 6\r\n\r\nbooked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "6\r\nbooked\r\n0\r\n\r\n"};
    for (auto const& answer : answers)
    {
        for (std::size_t size = 0; size < answer.size(); ++size)
        {
            auto const output = last_output(listener, answer.substr(0, size));
            EXPECT_TRUE(output.failure) << size << " of " << answer.size();
            EXPECT_TRUE(output.body.empty());
        }
        auto const whole = last_output(listener, answer);
        EXPECT_FALSE(whole.failure);
        EXPECT_EQ(whole.body, "booked");
    }
}

} // namespace foxtailvale::node
