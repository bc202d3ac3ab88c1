#include <net/client_connection.hpp>

#include <cut_server.hpp>
#include <gtest/gtest.h>
#include <malformed_fields.hpp>

#include <string>

// Answers that HTTP does not allow.
namespace foxtailvale::net
{

namespace
{

// How an exchange ends whose response is these bytes and the end of the
// connection.
exchange_end end_of(std::string const& bytes)
{
    boost::asio::io_context loop;
    testing::cut_server server(loop);
    server.bytes = bytes;
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

std::string with_status(std::string const& status)
{
    return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nab";
}

std::string with_line(std::string const& line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nab";
}

} // namespace

// Guards against callers that get an answer with a status that no answer has.
TEST(odd_answer, a_status_outside_of_the_five_classes_is_no_answer)
{
    for (auto const* status :
         {"000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "2x0",
          " 200", ""})
    {
        EXPECT_EQ(end_of(with_status(status)), exchange_end::not_http)
            << status;
    }
    for (auto const* status : {"200", "299", "404", "599"})
    {
        EXPECT_EQ(end_of(with_status(status)), exchange_end::whole) << status;
    }
}

// Guards against a body that is not the server's: a coding that is not removed,
// or a framing field that was hidden by an odd name.
TEST(odd_answer, odd_fields_make_no_answer)
{
    for (auto const& line : testing::malformed_fields())
    {
        EXPECT_EQ(end_of(with_line(line)), exchange_end::not_http) << line;
    }
    EXPECT_EQ(end_of(with_line("Name: x y\tz")), exchange_end::whole);
}

// Guards against a coded body that is passed on as the server's own bytes.
TEST(odd_answer, a_transfer_coding_other_than_chunked_is_no_answer)
{
    auto const coded = [](std::string const& coding)
    {
        return end_of(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
            "\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    };
    for (auto const* coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
          "chunked\r\nTransfer-Encoding: chunked",
          "gzip\r\nTransfer-Encoding: chunked", "identity", "xchunked",
          "\"chunked\"", ""})
    {
        EXPECT_EQ(coded(coding), exchange_end::not_http) << coding;
    }
    EXPECT_EQ(coded("chunked"), exchange_end::whole);
    EXPECT_EQ(coded("Chunked "), exchange_end::whole);
}

} // namespace foxtailvale::net
