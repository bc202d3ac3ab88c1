#include "../src/page_text.hpp"

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
        expand(feed.page_for({})).value_or(std::string())));
    return found;
}

// A page of the second era with the configuration of this number.
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

// A feed of configurations whose content is their number.
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
            own_numbers{
                number, [this]
                {
                    return this->in_force;
                }});
    }

    // What it hands on to one that knows nothing.
    std::string handed_on() const
    {
        wire::ViewPage page;
        EXPECT_TRUE(page.ParseFromString(
            expand(this->feed->page_for({})).value_or(std::string())));
        return page.objects_size() == 1 ? page.objects(0).content() : "";
    }

    boost::asio::io_context loop;
    std::uint64_t in_force = 0;
    std::size_t returns = 0;
    std::unique_ptr<view_feed> feed;
};

} // namespace

// Guards against an entry that was told what is ahead of the store, reads the
// store itself later and tells the next one less.
TEST(view_feed, what_was_told_as_ahead_of_the_store_outlives_a_listing)
{
    configuration_feed one;
    auto const now = base::boot_now();
    EXPECT_TRUE(one.feed->take_page(configuration_page(5, "7", true), now));
    EXPECT_TRUE(one.feed->is_ahead());
    EXPECT_TRUE(one.feed->take_page(configuration_page(6, "5", false), now));
    EXPECT_EQ(one.handed_on(), "7");
    EXPECT_TRUE(one.feed->is_ahead());
    EXPECT_TRUE(one.feed->take_page(configuration_page(7, "8", false), now));
    EXPECT_EQ(one.handed_on(), "8");
    EXPECT_FALSE(one.feed->is_ahead());
}

// Guards against pages, confirmations and differences of the era before.
TEST(view_feed, nothing_of_an_era_before_is_believed)
{
    configuration_feed one;
    auto const now = base::boot_now();
    EXPECT_TRUE(one.feed->take_page(configuration_page(5, "7", false), now));
    auto const confirmed = one.feed->confirmed();
    wire::ViewPage old;
    old.set_era(1);
    old.set_revision(90);
    old.set_whole(true);
    auto& sent = *old.add_objects();
    sent.set_name("main");
    sent.set_content("9");
    auto const later = now + milliseconds(1000);
    one.feed->take_page(compress(old.SerializeAsString()), later);
    EXPECT_EQ(one.in_force, 7U);
    one.feed->confirm_by_peer({1, 90}, later);
    EXPECT_EQ(one.feed->confirmed(), confirmed);
    old.set_era(3);
    old.set_whole(false);
    EXPECT_FALSE(one.feed->take_page(compress(old.SerializeAsString()), later));
    EXPECT_EQ(one.in_force, 7U);
    EXPECT_EQ(one.returns, 0U);
    old.set_whole(true);
    EXPECT_TRUE(one.feed->take_page(compress(old.SerializeAsString()), later));
    EXPECT_EQ(one.returns, 1U);
}

// Guards against a store that shows less being believed by an entry that holds
// less, too, while another knows more.
TEST(view_feed, only_what_is_newer_is_taken_from_what_is_ahead)
{
    configuration_feed one;
    auto const now = base::boot_now();
    EXPECT_TRUE(one.feed->take_page(configuration_page(5, "5", false), now));
    one.feed->take_ahead(configuration_page(4, "7", true), now);
    EXPECT_EQ(one.in_force, 7U);
    EXPECT_EQ(one.feed->mark().revision, 5U);
    one.feed->take_ahead(configuration_page(4, "6", true), now);
    EXPECT_EQ(one.in_force, 7U);
    EXPECT_EQ(one.handed_on(), "7");
}

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
