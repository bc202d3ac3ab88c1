#include <net/client_connection.hpp>

#include <endless_server.hpp>
#include <gtest/gtest.h>

#include <chrono>

namespace foxtailvale::net
{

namespace
{

struct endless_case
{
    std::string name;
    std::string first;
    std::string repeated;
    head_verdict verdict = head_verdict::take;
    std::size_t body_limit = client_connection::no_body_limit;
};

struct endless_outcome
{
    std::optional<exchange_result> result;
    std::size_t written = 0;
};

endless_outcome read_from(endless_case const& chosen)
{
    boost::asio::io_context loop;
    testing::endless_server server(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0},
        [&chosen](std::string const&)
        {
            return chosen.first;
        },
        chosen.repeated);
    auto const connection =
        std::make_shared<client_connection>(loop, server.address());
    connection->limit_body(chosen.body_limit);
    endless_outcome found;
    connection->start(
        "GET / HTTP/1.1\r\nHost: here\r\n\r\n",
        {[&chosen](response_head const&)
         {
             return chosen.verdict;
         },
         [](std::string_view) {},
         [&found](exchange_result const& result)
         {
             found.result = result;
         }});
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!found.result && std::chrono::steady_clock::now() < end &&
           loop.run_one_for(std::chrono::milliseconds(50)) > 0)
    {
    }
    found.written = server.written;
    connection->close();
    return found;
}

std::string const success = "HTTP/1.1 200 OK\r\n";
std::string const chunked = success + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<endless_case> const cases{
    {"a status line", "HTTP/1.1 200 ", "x"},
    {"bytes that are no answer", "", "x"},
    {"a field", success + "A: ", "x"},
    {"fields", success, "A: b\r\n"},
    {"informational heads", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
    {"answers to other requests", "", success + "Content-Length: 2\r\n\r\nab",
     head_verdict::skip},
    {"the answer to another request", success + "\r\n", "x",
     head_verdict::skip},
    {"a chunk's size", chunked, "0"},
    {"a chunk's extension", chunked + "5;a=", "x"},
    {"a trailing field", chunked + "0\r\nA: ", "x"},
    {"trailing fields", chunked + "0\r\n", "A: b\r\n"},
    {"a body beyond the owner's limit", success + "\r\n", "x",
     head_verdict::take, 100000},
};

} // namespace

// Guards against a server that sends bytes without end in a part of an answer
// that nobody reads, until the memory is spent.
TEST(endless_answer, ends_the_exchange_as_no_answer)
{
    for (auto const& chosen : cases)
    {
        auto const found = read_from(chosen);
        EXPECT_TRUE(found.result && found.result->end == exchange_end::not_http)
            << chosen.name;
        // What the systems on both sides buffer comes on top.
        constexpr std::size_t buffered = 12UL * 1024 * 1024;
        EXPECT_LT(found.written, max_untaken_bytes + buffered) << chosen.name;
    }
}

} // namespace foxtailvale::net
