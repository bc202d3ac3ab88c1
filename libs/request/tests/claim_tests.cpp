#include <request/claim.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::request
{

TEST(claim, survives_its_stored_form_with_any_bytes)
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

// An answer is larger than the platform's values. Were it cut to fit, a
// re-send would be answered with half an invoice; it is left out and said so.
TEST(claim, an_answer_over_the_limit_is_marked_and_never_cut)
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

TEST(claim, what_is_not_a_claim_is_refused)
{
    for (auto const* const text :
         {"", "{}", "[]", R"({"state":"running"})",
          R"({"state":"other","attempt":"00000000000000000000000000000001"})"})
    {
        EXPECT_FALSE(parse_claim(text).has_value()) << text;
    }
}

TEST(claim, equal_keys_of_two_workspaces_are_two_calls)
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
