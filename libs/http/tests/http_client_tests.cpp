#include "test_address.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/http_client.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace foxtailvale::http
{

namespace
{

// A server whose machine stands still: the system takes connections for it, and
// it reads nothing before it goes on.
class standing_server
{
public:
    standing_server()
        : listener(Poco::Net::SocketAddress(testing::own_address(), 0))
    {
    }

    request call_to() const
    {
        request ask;
        ask.base = "http://" + this->listener.address().toString();
        ask.method = "POST";
        ask.path = "/";
        ask.body = "x";
        ask.timeout = std::chrono::milliseconds(100);
        return ask;
    }

    // Whether what it reads when it goes on ends with a reset.
    bool reads_a_reset()
    {
        auto socket = this->listener.acceptConnection();
        char piece[1024];
        try
        {
            while (socket.receiveBytes(piece, sizeof piece) > 0)
            {
            }
        }
        catch (Poco::Net::ConnectionResetException const&)
        {
            return true;
        }
        return false;
    }

private:
    Poco::Net::ServerSocket listener;
};

} // namespace

// Guards against a server that stood still running, at its return, a call whose
// time was up.
TEST(http_client, a_call_that_is_given_up_ends_with_a_reset)
{
    standing_server server;
    EXPECT_FALSE(call(server.call_to()));
    EXPECT_TRUE(server.reads_a_reset());
}

// The same for a call whose owner no longer wants it.
TEST(http_client, a_call_that_is_cancelled_ends_with_a_reset)
{
    standing_server server;
    auto ask = server.call_to();
    ask.timeout = std::chrono::seconds(10);
    ask.control = std::make_shared<call_control>();
    std::thread canceller(
        [control = ask.control]
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            control->cancel();
        });
    EXPECT_FALSE(call(ask));
    canceller.join();
    EXPECT_TRUE(server.reads_a_reset());
}

} // namespace foxtailvale::http
