#include "../src/fetch.hpp"

#include <platform/engine_calls.hpp>

#include <cut_server.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace foxtailvale::gateway
{

namespace
{

// What fetch() passes on of an answer that is cut after these bytes.
std::optional<fetched> fetch_from(std::string const& bytes, bool resets)
{
    boost::asio::io_context loop;
    testing::cut_server server(loop);
    server.bytes = bytes;
    server.resets = resets;
    connection_pool pool(loop);
    auto const address = server.address();
    std::optional<fetched> received;
    auto done = false;
    fetch(
        loop, pool,
        address.address().to_string() + ":" + std::to_string(address.port()),
        platform::manifest_request("m", 2), std::chrono::seconds(5),
        [&](std::optional<fetched> response)
        {
            received = std::move(response);
            done = true;
        });
    while (!done && loop.run_one() > 0)
    {
    }
    return received;
}

std::string const manifest = platform::to_text(
    {"m", 2, 32768, {std::string(64, 'a'), std::string(64, 'b')}});

} // namespace

// Guards against an answer of the store, the origin, an engine or another agent
// that breaks off and is used as far as it came.
TEST(fetch, a_cut_answer_is_none)
{
    auto const framed = "HTTP/1.1 200 OK\r\nContent-Length: " +
                        std::to_string(manifest.size()) + "\r\n\r\n" + manifest;
    for (auto const resets : {false, true})
    {
        for (std::size_t size = 0; size < framed.size(); ++size)
        {
            EXPECT_FALSE(fetch_from(framed.substr(0, size), resets)) << size;
        }
    }
    ASSERT_TRUE(fetch_from(framed, false));
}

// Guards against half a manifest: an answer without a length is whole when its
// connection closes, wherever that is.
TEST(fetch, a_manifest_without_a_length_that_is_cut_cannot_be_read)
{
    std::string const head = "HTTP/1.1 200 OK\r\n\r\n";
    for (std::size_t size = 0; size < manifest.size(); ++size)
    {
        auto const cut = fetch_from(head + manifest.substr(0, size), false);
        ASSERT_TRUE(cut) << size;
        EXPECT_FALSE(platform::read_manifest(cut->body)) << size;
    }
    auto const whole = fetch_from(head + manifest, false);
    ASSERT_TRUE(whole);
    EXPECT_TRUE(platform::read_manifest(whole->body));
}

} // namespace foxtailvale::gateway
