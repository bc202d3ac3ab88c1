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

// A stalled server: the system accepts connections for it, but it reads nothing
// until reads_a_reset().
class stalled_server
{
public:
    stalled_server()
        : listener(Poco::Net::SocketAddress(testing::own_address(), 0))
    {
    }

    request call_to() const
    {
        request call_request;
        call_request.base = "http://" + this->listener.address().toString();
        call_request.method = "POST";
        call_request.path = "/";
        call_request.body = "x";
        call_request.timeout = std::chrono::milliseconds(100);
        return call_request;
    }

    // Resumes the server; returns whether what it reads ends with a reset.
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

// A stalled server must not execute a call that timed out meanwhile when it
// resumes: it has to see that the call was aborted.
TEST(http_client, a_call_that_is_given_up_ends_with_a_reset)
{
    stalled_server server;
    EXPECT_FALSE(call(server.call_to()));
    EXPECT_TRUE(server.reads_a_reset());
}

// The same for a call that its owner has cancelled.
TEST(http_client, a_call_that_is_cancelled_ends_with_a_reset)
{
    stalled_server server;
    auto call_request = server.call_to();
    call_request.timeout = std::chrono::seconds(10);
    call_request.control = std::make_shared<call_control>();
    std::thread canceller(
        [control = call_request.control]
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            control->cancel();
        });
    EXPECT_FALSE(call(call_request));
    canceller.join();
    EXPECT_TRUE(server.reads_a_reset());
}

} // namespace foxtailvale::http
