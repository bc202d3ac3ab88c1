#include "../src/page_text.hpp"

#include <gateway/view_feed.hpp>
#include <proto/foxtailvale.pb.h>

#include <gtest/gtest.h>

#include <optional>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds on_its_way{1500};
constexpr milliseconds age_at_sender{200};

// A page with one version, as another entry sends it.
std::string one_version(bool whole)
{
    wire::ViewPage page;
    page.set_revision(7);
    page.set_whole(whole);
    auto& sent = *page.add_objects();
    sent.set_name("m");
    sent.set_revision(7);
    sent.set_content("{}");
    sent.set_age_ms(age_at_sender.count());
    return compress(page.SerializeAsString());
}

// What a feed hands on that was sent the page when it had asked long before.
struct handed_on
{
    std::optional<milliseconds> age;
    wire::ViewPage further;
};

handed_on take_late(std::string const& page)
{
    handed_on found;
    boost::asio::io_context loop;
    watch_settings chosen;
    chosen.kind = platform::object_kind::versions;
    view_feed feed(
        loop, chosen,
        {[&found](std::vector<platform::store_object> const& objects, bool)
         {
             found.age = objects.at(0).age;
         },
         [&found](platform::store_object const& object, bool)
         {
             found.age = object.age;
         },
         [](base::boot_time) {}, [](bool, std::string const&) {},
         [](bool, base::boot_time) {}});
    EXPECT_TRUE(feed.take_page(page, base::boot_now() - on_its_way));
    EXPECT_TRUE(found.further.ParseFromString(
        expand(feed.page_for(0)).value_or(std::string())));
    return found;
}

} // namespace

// A page that named a version waited on a full link. Its objects were as old as
// the sender had said, and the older version was used for longer by the time
// that the page was on its way; so by whoever was told next.
TEST(view_feed, the_way_of_a_page_counts_into_the_age_of_what_it_brings)
{
    for (auto const whole : {false, true})
    {
        auto const found = take_late(one_version(whole));
        ASSERT_TRUE(found.age);
        EXPECT_GE(*found.age, on_its_way + age_at_sender);
        EXPECT_LT(*found.age, 2 * on_its_way);
        ASSERT_EQ(found.further.objects_size(), 1);
        EXPECT_GE(
            milliseconds(found.further.objects(0).age_ms()),
            on_its_way + age_at_sender);
        EXPECT_LT(
            milliseconds(found.further.objects(0).age_ms()), 2 * on_its_way);
    }
}

} // namespace foxtailvale::gateway
