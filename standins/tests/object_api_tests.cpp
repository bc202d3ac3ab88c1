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
    http::request ask;
    ask.base = base_address();
    ask.method = "PUT";
    ask.path = "/objects/a";
    ask.headers["If-Match"] = expected;
    ask.body = value;
    return http::call(ask).value().status;
}

} // namespace

TEST(object_api, of_two_writers_one_wins_and_a_lost_answer_took_effect)
{
    object_api api({testing::own_address(), port, 8}, nlohmann::json::array());
    EXPECT_EQ(put("0", "one"), 200U);
    EXPECT_EQ(put("0", "two"), 412U);
    http::request control;
    control.base = base_address();
    control.method = "POST";
    control.path = "/control";
    control.body = R"({"lost_answers": 1})";
    EXPECT_EQ(http::call(control).value().status, 200U);
    EXPECT_EQ(put("1", "three"), 503U);
    http::request get;
    get.base = base_address();
    get.path = "/objects/a";
    EXPECT_EQ(http::call(get).value().body, "three");
}

} // namespace foxtailvale::standins
