#include <base/percent_encoding.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::base
{

TEST(percent_encoding, plain_names_stay_as_they_are)
{
    EXPECT_EQ(percent_encode("i-7f3a.Model_1~"), "i-7f3a.Model_1~");
}

// Guards against a byte that ends a value, a path or a request line, or that is
// read as another one.
TEST(percent_encoding, every_byte_comes_back_and_none_has_a_meaning)
{
    constexpr std::string_view safe =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~%";
    std::string all;
    for (auto byte = 0; byte < 256; ++byte)
    {
        all.push_back(static_cast<char>(byte));
    }
    auto const encoded = percent_encode(all);
    EXPECT_EQ(encoded.find_first_not_of(safe), std::string::npos) << encoded;
    EXPECT_EQ(percent_decode(encoded), all);
}

TEST(percent_encoding, a_malformed_text_is_refused)
{
    EXPECT_FALSE(percent_decode("a%"));
    EXPECT_FALSE(percent_decode("a%2"));
    EXPECT_FALSE(percent_decode("a%zz"));
}

} // namespace foxtailvale::base
