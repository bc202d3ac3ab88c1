#include "test_address.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/http_client.hpp>
#include <malformed_fields.hpp>

#include <string>
#include <thread>

// Answers that HTTP does not allow, read by the own interface's client.
namespace foxtailvale::http
{

namespace
{

// What comes of a call whose answer is these bytes and an orderly end.
base::result<response> answer_of(std::string const& bytes)
{
    Poco::Net::ServerSocket listener(
        Poco::Net::SocketAddress(testing::own_address(), 0));
    std::thread server(
        [&]
        {
            auto socket = listener.acceptConnection();
            char piece[1024];
            socket.receiveBytes(piece, sizeof piece);
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        });
    request call_request;
    call_request.base = "http://" + listener.address().toString();
    call_request.path = "/";
    call_request.timeout = std::chrono::seconds(5);
    auto answer = call(call_request);
    server.join();
    return answer;
}

std::string with_status(std::string const& line)
{
    return line + "\r\nContent-Length: 2\r\n\r\nab";
}

std::string with_line(std::string const& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nab";
}

std::string with_coding(std::string const& coding, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" +
           body;
}

void expect_no_answer(std::string const& bytes)
{
    auto const answer = answer_of(bytes);
    ASSERT_FALSE(answer) << bytes;
    EXPECT_EQ(answer.error().kind, base::error_kind::endpoint_lost) << bytes;
}

} // namespace

// Guards against callers that get an answer with a status that no answer has.
TEST(odd_answer, a_status_line_that_is_none_is_no_answer)
{
    for (auto const* line :
         {"HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd",
          "HTTP/1.1 999 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 -20 Odd",
          "HTTP/9.9 200 OK", "ICY 200 OK"})
    {
        expect_no_answer(with_status(line));
    }
    EXPECT_TRUE(answer_of(with_status("HTTP/1.1 599 Odd")));
}

// Guards against an answer with a line that is no field, and against a body
// that is not the endpoint's since its length or coding was hidden by such a
// line.
TEST(odd_answer, odd_fields_make_no_answer)
{
    for (auto const& line : testing::malformed_fields())
    {
        expect_no_answer(with_line(line));
    }
    auto const sound = answer_of(with_line("Name: x y\tz"));
    ASSERT_TRUE(sound);
    EXPECT_EQ(sound.value().headers.at("Name"), "x y\tz");
    EXPECT_EQ(sound.value().body, "ab");
}

// Guards against a body that is passed on with its coding, or with bytes of
// another one.
TEST(odd_answer, odd_codings_and_chunks_make_no_answer)
{
    std::string const chunks = "2\r\nab\r\n0\r\n\r\n";
    for (auto const* coding : {"gzip", "gzip, chunked", "xchunked", "identity"})
    {
        expect_no_answer(with_coding(coding, chunks));
    }
    for (auto const* body :
         {"2x\r\nab\r\n0\r\n\r\n", "+2\r\nab\r\n0\r\n\r\n", "2\r\nabc0\r\n\r\n",
          "2\r\nab\r\n0\r\nBad Trailer: x\r\n\r\n"})
    {
        expect_no_answer(with_coding("chunked", body));
    }
    auto const sound = answer_of(with_coding("chunked", chunks));
    ASSERT_TRUE(sound);
    EXPECT_EQ(sound.value().body, "ab");
}

} // namespace foxtailvale::http
