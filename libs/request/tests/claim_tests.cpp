#include <request/claim.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

TEST(claim, any_bytes_survive_a_round_trip_through_the_stored_form)
{
    claim before;
    before.state = claim_state::finished;
    before.attempt = {1, 2};
    before.agent = "agent-1";
    before.request_digest = "d";
    before.status = 201;
    before.content_type = "application/json";
    before.body = std::string("\0\xff\n\"", 4);
    auto const after = parse_claim(to_text(before));
    ASSERT_TRUE(after.has_value());
    EXPECT_EQ(after.value().state, claim_state::finished);
    EXPECT_EQ(after.value().attempt, before.attempt);
    EXPECT_EQ(after.value().status, 201U);
    EXPECT_EQ(after.value().body, before.body);
    EXPECT_TRUE(after.value().body_kept);
}

// An answer is larger than a value on the platform may be. If it were
// truncated, a retry would get a truncated answer, such as half an invoice. The
// body must be omitted and marked as omitted.
TEST(claim, an_answer_over_the_limit_is_omitted_and_never_truncated)
{
    claim before;
    before.state = claim_state::finished;
    before.body.assign(max_stored_bytes + 1, 'x');
    auto const text = to_text(before);
    EXPECT_LT(text.size(), 1024U);
    auto const after = parse_claim(text);
    ASSERT_TRUE(after.has_value());
    EXPECT_FALSE(after.value().body_kept);
    EXPECT_TRUE(after.value().body.empty());
    before.body.pop_back();
    EXPECT_LT(to_text(before).size(), 1024U * 1024U);
}

TEST(claim, malformed_text_is_rejected)
{
    for (auto const* const text :
         {"", "{}", "[]", R"({"state":"running"})",
          R"({"state":"other","attempt":"00000000000000000000000000000001"})"})
    {
        EXPECT_FALSE(parse_claim(text).has_value()) << text;
    }
}

TEST(claim, equal_keys_of_two_workspaces_name_two_calls)
{
    auto const one = claim_path("claims/", {"a", "booking", "k"});
    EXPECT_EQ(one, claim_path("claims/", {"a", "booking", "k"}));
    EXPECT_NE(one, claim_path("claims/", {"b", "booking", "k"}));
    EXPECT_NE(
        claim_path("claims/", {"ab", "c", "k"}),
        claim_path("claims/", {"a", "bc", "k"}));
    EXPECT_NE(
        request_digest("POST", "/a", "", "b"),
        request_digest("POST", "/ab", "", ""));
}

} // namespace foxtailvale::request
