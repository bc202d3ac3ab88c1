#include "test_address.hpp"

#include <gtest/gtest.h>
#include <http/http_client.hpp>
#include <standins/object_api.hpp>

namespace foxtailvale::standins
{

namespace
{

constexpr std::uint16_t port = 46201;

std::string base_address()
{
    return "http://" + testing::own_address() + ":" + std::to_string(port);
}

std::uint32_t put(std::string const& expected, std::string const& value)
{
    http::request outgoing;
    outgoing.base = base_address();
    outgoing.method = "PUT";
    outgoing.path = "/objects/a";
    outgoing.headers["If-Match"] = expected;
    outgoing.body = value;
    return http::call(outgoing).value().status;
}

void control(std::string const& switches)
{
    http::request outgoing;
    outgoing.base = base_address();
    outgoing.method = "POST";
    outgoing.path = "/control";
    outgoing.body = switches;
    EXPECT_EQ(http::call(outgoing).value().status, 200U);
}

std::uint32_t get(std::string const& path)
{
    http::request outgoing;
    outgoing.base = base_address();
    outgoing.path = path;
    return http::call(outgoing).value().status;
}

} // namespace

TEST(object_api, of_two_writers_one_wins_and_a_lost_answer_took_effect)
{
    object_api api({testing::own_address(), port, 8}, nlohmann::json::array());
    EXPECT_EQ(put("0", "one"), 200U);
    EXPECT_EQ(put("0", "two"), 412U);
    control(R"({"lost_answers": 1})");
    EXPECT_EQ(put("1", "three"), 503U);
    http::request outgoing;
    outgoing.base = base_address();
    outgoing.path = "/objects/a";
    EXPECT_EQ(http::call(outgoing).value().body, "three");
}

TEST(object_api, refuses_values_over_a_megabyte)
{
    object_api api({testing::own_address(), port, 8}, nlohmann::json::array());
    std::string const megabyte(1024U * 1024U, 'x');
    EXPECT_EQ(put("0", megabyte + "x"), 413U);
    EXPECT_EQ(put("0", megabyte), 200U);
}

TEST(object_api, a_watch_from_before_the_compaction_is_gone)
{
    object_api api({testing::own_address(), port, 8}, nlohmann::json::array());
    EXPECT_EQ(put("0", "one"), 200U);
    EXPECT_EQ(put("1", "two"), 200U);
    EXPECT_EQ(get("/watch/a?after=1&wait_ms=0"), 200U);
    control(R"({"compact": true})");
    EXPECT_EQ(get("/watch/a?after=1&wait_ms=0"), 410U);
    EXPECT_EQ(get("/watch/a?after=2&wait_ms=0"), 204U);
}

// At 0.01 calls per second the first call is admitted after 100 seconds, so
// each call in this test is over the limit.
TEST(object_api, refuses_calls_over_its_rates)
{
    object_api api({testing::own_address(), port, 8}, nlohmann::json::array());
    control(R"({"writes_per_second": 0.01, "reads_per_second": 0.01})");
    EXPECT_EQ(put("0", "one"), 429U);
    EXPECT_EQ(get("/vms"), 429U);
    control(R"({"writes_per_second": 0, "reads_per_second": 0})");
    EXPECT_EQ(put("0", "one"), 200U);
    EXPECT_EQ(get("/vms"), 200U);
}

} // namespace foxtailvale::standins
