#include <gateway/listing.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::gateway
{

namespace
{

platform::store_reply
page(std::vector<std::string> const& names, bool truncated)
{
    platform::store_reply reply;
    reply.revision = 7;
    reply.truncated = truncated;
    for (auto const& name : names)
    {
        platform::store_object object;
        object.name = name;
        reply.objects.push_back(object);
    }
    return reply;
}

} // namespace

TEST(listing, goes_on_after_the_last_name_until_a_page_is_the_last)
{
    listing pages;
    auto const next = add_page(pages, page({"a", "b"}, true));
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(next.value(), "b");
    auto later = page({"c"}, false);
    later.revision = 9;
    auto const end = add_page(pages, std::move(later));
    ASSERT_TRUE(end.has_value());
    EXPECT_FALSE(end.value());
    EXPECT_EQ(pages.objects.size(), 3U);
    EXPECT_EQ(pages.revision, 7U);
}

// Guards against a listing that goes round in circles, and against one that
// counts as complete where its page names nothing to go on after.
TEST(listing, a_page_that_does_not_get_further_is_an_error)
{
    for (auto const& names : std::vector<std::vector<std::string>>{
             {}, {""}, {"a"}, {"a", "b"}, {"c", "a"}})
    {
        listing pages;
        ASSERT_TRUE(add_page(pages, page({"a"}, true)).has_value());
        ASSERT_TRUE(add_page(pages, page({"b"}, true)).has_value());
        EXPECT_TRUE(add_page(pages, page(names, true)).has_error());
    }
    listing empty;
    EXPECT_TRUE(add_page(empty, page({}, true)).has_error());
}

} // namespace foxtailvale::gateway
