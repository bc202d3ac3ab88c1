#include "../src/page_compression.hpp"

#include <gateway/view_feed.hpp>
#include <proto/foxtailvale.pb.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds transit_time{1500};
constexpr milliseconds age_at_sender{200};

// A page with one version object, as another entry sends it.
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

// The age that a feed delivers, and the page it serves next, after it received
// a page long after requesting it.
struct delivered_objects
{
    std::optional<milliseconds> age;
    wire::ViewPage further;
};

delivered_objects deliver_late(std::string const& page)
{
    delivered_objects found;
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
    EXPECT_TRUE(feed.apply_page(page, base::boot_now() - transit_time));
    EXPECT_TRUE(found.further.ParseFromString(
        decompress(feed.page_for({})).value_or(std::string())));
    return found;
}

// A complete page of era 2 with a configuration of this version number.
std::string configuration_page(
    std::uint64_t revision, std::string const& number, bool ahead)
{
    wire::ViewPage page;
    page.set_era(2);
    page.set_revision(revision);
    page.set_whole(true);
    auto& sent = *page.add_objects();
    sent.set_name("main");
    sent.set_revision(revision);
    sent.set_content(number);
    sent.set_ahead(ahead);
    return compress(page.SerializeAsString());
}

// A feed of configurations whose content is their version number.
struct configuration_feed
{
    configuration_feed()
    {
        watch_settings chosen;
        chosen.kind = platform::object_kind::configuration;
        auto const number = [](std::string const& content)
        {
            return static_cast<std::uint64_t>(std::stoull(content));
        };
        auto const take = [this, number](platform::store_object const& object)
        {
            this->in_force = std::max(this->in_force, number(object.content));
        };
        this->feed = std::make_unique<view_feed>(
            this->loop, chosen,
            watch_handlers{
                [take](std::vector<platform::store_object> const& objects, bool)
                {
                    std::ranges::for_each(objects, take);
                },
                [take](platform::store_object const& object, bool)
                {
                    take(object);
                },
                [](base::boot_time) {}, [](bool, std::string const&) {},
                [](bool, base::boot_time) {},
                [this](
                    platform::store_position const&,
                    platform::store_position const&)
                {
                    ++this->returns;
                }},
            content_version_readers{
                number, [this]
                {
                    return this->in_force;
                }});
    }

    // The content that it serves to an entry that knows nothing.
    std::string delivered_objects() const
    {
        wire::ViewPage page;
        EXPECT_TRUE(page.ParseFromString(
            decompress(this->feed->page_for({})).value_or(std::string())));
        return page.objects_size() == 1 ? page.objects(0).content() : "";
    }

    boost::asio::io_context loop;
    std::uint64_t in_force = 0;
    std::size_t returns = 0;
    std::unique_ptr<view_feed> feed;
};

} // namespace

// Guards against an entry that received content ahead of the store from another
// entry, later lists the store itself, and then serves the older content.
TEST(view_feed, content_received_ahead_of_the_store_survives_a_listing)
{
    configuration_feed one;
    auto const now = base::boot_now();
    EXPECT_TRUE(one.feed->apply_page(configuration_page(5, "7", true), now));
    EXPECT_TRUE(one.feed->is_ahead());
    EXPECT_TRUE(one.feed->apply_page(configuration_page(6, "5", false), now));
    EXPECT_EQ(one.delivered_objects(), "7");
    EXPECT_TRUE(one.feed->is_ahead());
    EXPECT_TRUE(one.feed->apply_page(configuration_page(7, "8", false), now));
    EXPECT_EQ(one.delivered_objects(), "8");
    EXPECT_FALSE(one.feed->is_ahead());
}

// Guards against pages, confirmations and partial pages of an earlier era being
// applied.
TEST(view_feed, nothing_of_an_earlier_era_is_applied)
{
    configuration_feed one;
    auto const now = base::boot_now();
    EXPECT_TRUE(one.feed->apply_page(configuration_page(5, "7", false), now));
    auto const confirmed = one.feed->confirmed();
    wire::ViewPage old;
    old.set_era(1);
    old.set_revision(90);
    old.set_whole(true);
    auto& sent = *old.add_objects();
    sent.set_name("main");
    sent.set_content("9");
    auto const later = now + milliseconds(1000);
    one.feed->apply_page(compress(old.SerializeAsString()), later);
    EXPECT_EQ(one.in_force, 7U);
    one.feed->confirm_by_peer({1, 90}, later);
    EXPECT_EQ(one.feed->confirmed(), confirmed);
    old.set_era(3);
    old.set_whole(false);
    EXPECT_FALSE(
        one.feed->apply_page(compress(old.SerializeAsString()), later));
    EXPECT_EQ(one.in_force, 7U);
    EXPECT_EQ(one.returns, 0U);
    old.set_whole(true);
    EXPECT_TRUE(one.feed->apply_page(compress(old.SerializeAsString()), later));
    EXPECT_EQ(one.returns, 1U);
}

// Guards against an entry that believes a restored store which shows older
// content, while another entry holds newer content.
TEST(view_feed, only_newer_content_is_applied_from_an_ahead_page)
{
    configuration_feed one;
    auto const now = base::boot_now();
    EXPECT_TRUE(one.feed->apply_page(configuration_page(5, "5", false), now));
    one.feed->apply_ahead_page(configuration_page(4, "7", true), now);
    EXPECT_EQ(one.in_force, 7U);
    EXPECT_EQ(one.feed->position().revision, 5U);
    one.feed->apply_ahead_page(configuration_page(4, "6", true), now);
    EXPECT_EQ(one.in_force, 7U);
    EXPECT_EQ(one.delivered_objects(), "7");
}

// Guards against a page whose transit time is not counted. A page that
// announced a version was delayed on a full link; its objects were given the
// age at the sender, so this entry, and each one it served, used the older
// version for longer by the transit time.
TEST(view_feed, the_transit_time_of_a_page_adds_to_the_age_of_its_objects)
{
    for (auto const whole : {false, true})
    {
        auto const found = deliver_late(one_version(whole));
        ASSERT_TRUE(found.age);
        EXPECT_GE(*found.age, transit_time + age_at_sender);
        EXPECT_LT(*found.age, 2 * transit_time);
        ASSERT_EQ(found.further.objects_size(), 1);
        EXPECT_GE(
            milliseconds(found.further.objects(0).age_ms()),
            transit_time + age_at_sender);
        EXPECT_LT(
            milliseconds(found.further.objects(0).age_ms()), 2 * transit_time);
    }
}

} // namespace foxtailvale::gateway
