#include "test_address.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/http_client.hpp>
#include <http/parking_server.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace foxtailvale::http
{

namespace
{

constexpr std::uint16_t port = 46301;

std::string server_address()
{
    return testing::own_address() + ":" + std::to_string(port);
}

parking_options options_for(std::size_t workers)
{
    parking_options options;
    options.address = testing::own_address();
    options.port = port;
    options.max_workers = workers;
    return options;
}

void answer_path(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    send_text(response, 200, "text/plain", request.getURI());
}

std::string send_get(Poco::Net::StreamSocket& socket, std::string const& path)
{
    auto const text = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    std::string answer;
    char piece[1024];
    while (!answer.ends_with(path))
    {
        auto const got = socket.receiveBytes(piece, sizeof piece);
        if (got <= 0)
        {
            break;
        }
        answer.append(piece, static_cast<std::size_t>(got));
    }
    return answer;
}

} // namespace

// Many callers keep idle connections open. With a thread for each, the first
// two would take both workers and all others would wait.
TEST(parking_server, idle_connections_hold_no_worker)
{
    parking_server server(options_for(2), answer_path);
    std::vector<Poco::Net::StreamSocket> idle;
    Poco::Net::SocketAddress const address(server_address());
    for (int index = 0; index < 50; ++index)
    {
        idle.emplace_back(address);
        EXPECT_NE(
            send_get(idle.back(), "/first").find("200"), std::string::npos);
    }
    for (auto& socket : idle)
    {
        EXPECT_NE(send_get(socket, "/again").find("200"), std::string::npos);
    }
}

TEST(parking_server, two_requests_sent_at_once_are_both_answered)
{
    parking_server server(options_for(1), answer_path);
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server_address())};
    std::string const first = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n";
    socket.sendBytes(first.data(), static_cast<int>(first.size()));
    auto const answers = send_get(socket, "/two");
    EXPECT_NE(answers.find("/two"), std::string::npos);
}

TEST(parking_server, what_is_no_request_harms_nobody)
{
    parking_server server(options_for(1), answer_path);
    Poco::Net::StreamSocket bad{Poco::Net::SocketAddress(server_address())};
    std::string noise = "\r\n\r\n";
    noise.push_back('\0');
    noise += "\1\2 no request\r\n\r\n";
    bad.sendBytes(noise.data(), static_cast<int>(noise.size()));
    Poco::Net::StreamSocket good{Poco::Net::SocketAddress(server_address())};
    EXPECT_NE(send_get(good, "/good").find("200"), std::string::npos);
}

// A caller disconnects while its response is streamed. If writing to the closed
// connection raised SIGPIPE, the system would end the whole process: all other
// callers would lose their responses, without a line in the log.
TEST(parking_server, a_caller_that_hangs_up_does_not_end_the_process)
{
    std::atomic<bool> aborted{false};
    auto const stream_until_closed =
        [&aborted](
            Poco::Net::HTTPServerRequest& request,
            Poco::Net::HTTPServerResponse& response)
    {
        if (request.getURI() != "/stream")
        {
            return answer_path(request, response);
        }
        response.setChunkedTransferEncoding(true);
        auto& body = response.send();
        std::string const piece(64 * 1024, 'x');
        while (body)
        {
            body << piece << std::flush;
        }
        aborted = true;
    };
    parking_server server(options_for(2), stream_until_closed);
    {
        Poco::Net::StreamSocket caller{
            Poco::Net::SocketAddress(server_address())};
        std::string const text = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";
        caller.sendBytes(text.data(), static_cast<int>(text.size()));
        char byte = 0;
        caller.receiveBytes(&byte, 1);
    }
    while (!aborted)
    {
        std::this_thread::yield();
    }
    Poco::Net::StreamSocket other{Poco::Net::SocketAddress(server_address())};
    EXPECT_NE(send_get(other, "/good").find("200"), std::string::npos);
}

} // namespace foxtailvale::http
