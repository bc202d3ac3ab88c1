#include "test_address.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/parking_server.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

// Requests whose connection ends before their last byte.
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

std::string const request_with_length =
    "POST /book HTTP/1.1\r\nHost: entry\r\nContent-Length: 5\r\n"
    "X-Last: field\r\n\r\nwhole";
std::string const request_in_chunks =
    "POST /book HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n";
std::string const request_without_body =
    "GET /book HTTP/1.1\r\nHost: entry\r\nX-Last: field\r\n\r\n";

// A server of either kind that counts the requests whose handler got all of
// them.
template <class Server, class Options>
class counting_server
{
public:
    explicit counting_server(std::uint16_t given)
        : port(given), server(
                           options(given),
                           [this](auto& incoming, auto& reply)
                           {
                               this->answer(incoming, reply);
                           })
    {
    }

    // Sends the bytes, ends the sending direction, and returns what the server
    // sends back.
    std::string send(std::string const& bytes, ending end)
    {
        Poco::Net::StreamSocket socket(
            Poco::Net::SocketAddress(testing::own_address(), this->port));
        if (!bytes.empty())
        {
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        }
        if (end == ending::reset)
        {
            socket.setLinger(true, 0);
            socket.close();
            return {};
        }
        socket.shutdownSend();
        std::string answer;
        char piece[1024];
        for (auto count = 1; count > 0;)
        {
            count = socket.receiveBytes(piece, sizeof piece);
            answer.append(piece, static_cast<std::size_t>(count));
        }
        return answer;
    }

    std::atomic<std::size_t> handled = 0;

private:
    static Options options(std::uint16_t port)
    {
        Options made;
        made.address = testing::own_address();
        made.port = port;
        return made;
    }

    void answer(
        Poco::Net::HTTPServerRequest& incoming,
        Poco::Net::HTTPServerResponse& reply)
    {
        std::string body;
        if (read_body(incoming, 1024, body))
        {
            ++this->handled;
        }
        send_text(reply, 200, "text/plain", "done");
    }

    std::uint16_t port;
    Server server;
};

using plain_server = counting_server<server, server_options>;
using shared_server = counting_server<parking_server, parking_options>;

template <class Server>
void expect_cut_requests_to_be_refused(
    std::uint16_t port, std::string const& request)
{
    Server server(port);
    for (auto const end : endings)
    {
        for (std::size_t size = 0; size < request.size(); ++size)
        {
            auto const answer = server.send(request.substr(0, size), end);
            auto const heard = end == ending::close && size > 0;
            EXPECT_EQ(answer.substr(0, 12), heard ? "HTTP/1.1 400" : "")
                << size << " of " << request.size() << " bytes";
        }
    }
    EXPECT_EQ(server.handled, 0U);
    EXPECT_EQ(
        server.send(request, ending::close).substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(server.handled, 1U);
}

constexpr std::uint16_t plain_port = 46130;
constexpr std::uint16_t shared_port = 46131;

} // namespace

// Guards against a request that breaks off in its head or body and is carried
// out with what came of it.
TEST(cut_request, one_with_a_length_is_refused)
{
    expect_cut_requests_to_be_refused<plain_server>(
        plain_port, request_with_length);
    expect_cut_requests_to_be_refused<shared_server>(
        shared_port, request_with_length);
}

TEST(cut_request, one_in_chunks_is_refused)
{
    expect_cut_requests_to_be_refused<plain_server>(
        plain_port, request_in_chunks);
    expect_cut_requests_to_be_refused<shared_server>(
        shared_port, request_in_chunks);
}

TEST(cut_request, one_without_a_body_is_refused)
{
    expect_cut_requests_to_be_refused<plain_server>(
        plain_port, request_without_body);
    expect_cut_requests_to_be_refused<shared_server>(
        shared_port, request_without_body);
}

// Guards against half a request that its handler gets as whole when the rest
// does not come in time.
TEST(cut_request, one_that_stalls_is_not_carried_out)
{
    parking_options options;
    options.address = testing::own_address();
    options.port = shared_port;
    options.stall_limit = std::chrono::milliseconds(200);
    std::atomic<bool> handled = false;
    parking_server server(
        options,
        [&handled](
            Poco::Net::HTTPServerRequest& incoming,
            Poco::Net::HTTPServerResponse& reply)
        {
            std::string body;
            handled = read_body(incoming, 1024, body);
            send_text(reply, 200, "text/plain", "done");
        });
    Poco::Net::StreamSocket socket(
        Poco::Net::SocketAddress(testing::own_address(), shared_port));
    auto const part =
        request_with_length.substr(0, request_with_length.size() - 1);
    socket.sendBytes(part.data(), static_cast<int>(part.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    EXPECT_FALSE(handled);
}

// Guards against a request that is read until its connection ends: one with
// neither a length nor chunks has no body.
TEST(cut_request, one_without_a_length_has_an_empty_body)
{
    shared_server server(shared_port);
    Poco::Net::StreamSocket socket(
        Poco::Net::SocketAddress(testing::own_address(), shared_port));
    std::string const request = "POST /book HTTP/1.1\r\nHost: entry\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    EXPECT_TRUE(
        socket.poll(Poco::Timespan(2, 0), Poco::Net::Socket::SELECT_READ));
    EXPECT_EQ(server.handled, 1U);
}

// Guards against a request that nobody sent: the body of another one, whose
// coding the server does not know.
TEST(coded_request, of_an_unknown_coding_is_refused_with_its_body)
{
    auto const expect_refused = [](auto& server)
    {
        for (auto const* coding :
             {"xchunked", "identity", "chunked, gzip",
              "chunked\r\nTransfer-Encoding: chunked"})
        {
            auto const answer = server.send(
                std::string("POST /book HTTP/1.1\r\nHost: entry\r\n"
                            "Transfer-Encoding: ") +
                    coding + "\r\n\r\n" + request_with_length,
                ending::close);
            EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << coding;
        }
        EXPECT_EQ(server.handled, 0U);
    };
    plain_server plain(plain_port);
    expect_refused(plain);
    shared_server shared(shared_port);
    expect_refused(shared);
}

} // namespace foxtailvale::http
