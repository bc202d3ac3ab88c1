#include <base/random.hpp>
#include <gateway/cached_view.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::boot_time const start{seconds(100)};

platform::store_object object(std::string name, std::string content)
{
    return {std::move(name), 0, std::move(content), false, false};
}

platform::store_object removal(std::string name)
{
    return {std::move(name), 0, {}, true, false};
}

platform::store_position at(std::uint64_t revision)
{
    return {1, revision};
}

cached_view listed()
{
    cached_view view;
    apply_listing(view, {object("a", "1"), object("b", "1")}, at(10), start);
    return view;
}

// Applies a page as a follower does.
void follow(cached_view& follower, cached_view const& source)
{
    auto const page = changes_since(source, follower.position);
    std::vector<platform::store_object> objects;
    for (auto const* cached : page.objects)
    {
        objects.push_back(cached->object);
        objects.back().revision = cached->revision;
    }
    if (page.is_complete)
    {
        apply_listing(follower, objects, source.position, start);
        return;
    }
    for (auto const& object : objects)
    {
        apply_change(follower, object, source.position, start);
    }
    follower.position = std::max(follower.position, source.position);
}

std::map<std::string, std::string> contents(cached_view const& view)
{
    std::map<std::string, std::string> found;
    for (auto const& [name, cached] : view.objects)
    {
        found[name] = cached.object.content;
    }
    return found;
}

// The version number that writers increment.
std::uint64_t number_in(std::string const& content)
{
    return std::stoull(content);
}

// A simulated store of a few objects that change at random, with the history of
// all its changes.
struct simulated_store
{
    std::uint64_t revision = 10;
    std::map<std::string, platform::store_object> objects;
    std::vector<platform::store_object> history;

    void change(base::random_state& random)
    {
        ++this->revision;
        auto const name = std::to_string(base::random_below(random, 6));
        auto changed =
            object(name, std::to_string(base::random_below(random, 3)));
        changed.revision = this->revision;
        if (base::random_below(random, 3) == 0)
        {
            // A removal does not always carry its own revision.
            changed = removal(name);
            changed.revision = this->revision - 1;
            if (this->objects.erase(name) == 0)
            {
                return;
            }
        }
        else
        {
            this->objects[name] = changed;
        }
        this->history.push_back(changed);
        this->revisions.push_back(this->revision);
    }

    std::vector<std::uint64_t> revisions;
};

void list(cached_view& view, simulated_store const& store)
{
    std::vector<platform::store_object> all;
    for (auto const& [name, held] : store.objects)
    {
        all.push_back(held);
    }
    apply_listing(view, all, at(store.revision), start);
}

void watch(cached_view& view, simulated_store const& store)
{
    auto const after = view.position.revision;
    for (std::size_t place = 0; place < store.history.size(); ++place)
    {
        if (store.revisions[place] > after)
        {
            apply_change(view, store.history[place], at(store.revision), start);
        }
    }
    view.position = at(store.revision);
}

} // namespace

TEST(kept_view, an_unknown_position_gets_all_objects)
{
    auto const view = listed();
    auto const page = changes_since(view, {});
    EXPECT_TRUE(page.is_complete);
    EXPECT_EQ(page.objects.size(), 2U);
}

TEST(kept_view, a_known_position_gets_only_the_changes)
{
    auto view = listed();
    apply_change(view, object("a", "2"), at(12), start);
    apply_change(view, removal("b"), at(14), start);
    auto const all = changes_since(view, at(10));
    EXPECT_FALSE(all.is_complete);
    ASSERT_EQ(all.objects.size(), 2U);
    auto const last = changes_since(view, at(12));
    ASSERT_EQ(last.objects.size(), 1U);
    EXPECT_TRUE(last.objects[0]->object.removed);
    EXPECT_TRUE(changes_since(view, at(14)).objects.empty());
}

// Guards against a removal that followers miss because a listing, and not a
// change, showed it.
TEST(kept_view, objects_missing_from_a_new_listing_are_sent_as_removed)
{
    auto view = listed();
    auto follower = view;
    apply_change(view, object("a", "2"), at(12), start);
    apply_listing(view, {object("a", "3")}, at(20), start);
    EXPECT_FALSE(changes_since(view, at(12)).is_complete);
    follow(follower, view);
    EXPECT_EQ(contents(follower), contents(view));
    EXPECT_EQ(follower.objects.size(), 1U);
}

// Guards against complete lists being sent over the links each time the store
// is listed again: only what changed is sent.
TEST(kept_view, a_new_listing_sends_only_what_changed)
{
    cached_view view;
    std::vector<platform::store_object> all;
    for (std::uint64_t number = 0; number < 3000; ++number)
    {
        all.push_back(object("e" + std::to_string(number), "1"));
        all.back().revision = 1 + number;
    }
    apply_listing(view, all, at(4000), start);
    all[17].content = "2";
    all[17].revision = 4002;
    apply_listing(view, all, at(4003), start);
    auto const page = changes_since(view, at(4000));
    EXPECT_FALSE(page.is_complete);
    EXPECT_EQ(page.objects.size(), 1U);
}

// Guards, in random scenarios, against a follower of several watchers that
// misses a change made between two listings of one of them.
TEST(kept_view, a_follower_of_several_watchers_holds_what_the_store_holds)
{
    base::random_state random{77};
    for (auto scenario = 0; scenario < 500; ++scenario)
    {
        simulated_store store;
        std::array<cached_view, 2> watchers;
        cached_view follower;
        for (auto round = 0; round < 40; ++round)
        {
            auto const changes = base::random_below(random, 5);
            for (std::uint64_t next = 0; next < changes; ++next)
            {
                store.change(random);
            }
            auto& watcher = watchers.at(base::random_below(random, 2));
            auto const lists = watcher.position.revision == 0 ||
                               base::random_below(random, 3) == 0;
            if (lists)
            {
                list(watcher, store);
            }
            else
            {
                watch(watcher, store);
            }
            auto const& source = watchers.at(base::random_below(random, 2));
            if (source.position > follower.position)
            {
                follow(follower, source);
                ASSERT_EQ(contents(follower), contents(source))
                    << "seed 77, scenario " << scenario << ", round " << round;
            }
        }
    }
}

// Guards against a second restore of the store that discards what was held
// ahead of the store since the first.
TEST(kept_view, content_ahead_of_the_store_survives_a_second_restore)
{
    cached_view view;
    view.read_version = number_in;
    apply_listing(view, {object("main", "7")}, at(50), start);
    apply_listing(view, {object("main", "5")}, {2, 40}, start);
    apply_listing(view, {object("main", "5")}, {3, 40}, start);
    apply_listing(view, {object("main", "5")}, {3, 41}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    apply_change(view, object("main", "8"), {3, 42}, start);
    EXPECT_EQ(contents(view).at("main"), "8");
    EXPECT_TRUE(view.ahead.empty());
}

// Guards against an unbounded list of removals.
TEST(kept_view, removals_are_bounded)
{
    auto view = listed();
    for (std::uint64_t number = 0; number < 2 * max_removals; ++number)
    {
        auto const name = std::to_string(number);
        apply_change(view, object(name, "1"), at(11 + 2 * number), start);
        apply_change(view, removal(name), at(12 + 2 * number), start);
    }
    EXPECT_EQ(view.removed.size(), max_removals);
    EXPECT_TRUE(changes_since(view, at(10)).is_complete);
    auto const late = at(view.position.revision - 1);
    EXPECT_FALSE(changes_since(view, late).is_complete);
    EXPECT_EQ(changes_since(view, late).objects.size(), 1U);
}

// Guards against a follower that applies a partial page of another era.
TEST(kept_view, a_position_of_another_era_gets_all_objects)
{
    auto view = listed();
    apply_listing(view, {object("a", "1")}, {2, 5}, start);
    for (auto const& known : {at(10), at(4), platform::store_position{3, 5}})
    {
        EXPECT_TRUE(changes_since(view, known).is_complete);
    }
    EXPECT_FALSE(changes_since(view, {2, 5}).is_complete);
    EXPECT_EQ(view.objects.size(), 1U);
}

// Guards against active content being replaced by the older content of a
// restored store.
TEST(kept_view, a_restore_does_not_revert_content_with_a_higher_version)
{
    cached_view view;
    view.read_version = number_in;
    apply_listing(view, {object("main", "7"), object("m", "2")}, at(50), start);
    apply_listing(view, {object("main", "5")}, {2, 40}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    EXPECT_EQ(contents(view).at("m"), "2");
    apply_change(view, object("main", "6"), {2, 41}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    apply_listing(view, {object("main", "6")}, {2, 42}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    EXPECT_EQ(contents(view).at("m"), "2");
    apply_change(view, object("main", "8"), {2, 43}, start);
    EXPECT_EQ(contents(view).at("main"), "8");
    apply_change(view, removal("main"), {2, 44}, start);
    EXPECT_FALSE(view.objects.contains("main"));
}

// Guards against a version that was announced long ago counting as announced
// now, because the list was read again.
TEST(kept_view, unchanged_objects_of_a_new_listing_keep_their_age)
{
    auto view = listed();
    apply_listing(
        view, {object("a", "1"), object("b", "2")}, at(20), {seconds(107)});
    EXPECT_EQ(view.objects.at("a").learned, start);
    EXPECT_EQ(view.objects.at("b").learned, (base::boot_time{seconds(107)}));
}

// Guards, in random scenarios, against a follower that considers its view
// fresher than the watcher's was. Requests and answers are delayed in transit,
// or lie unread while one of the processes is paused.
TEST(kept_view, no_delay_makes_a_followed_view_fresher_than_it_is)
{
    base::random_state random{23};
    auto const some = [&random](std::uint64_t most)
    {
        return milliseconds(base::random_below(random, most));
    };
    for (auto scenario = 0; scenario < 2000; ++scenario)
    {
        cached_view follower;
        auto read_began = start;
        auto now = start;
        auto latest_truth = start;
        for (auto round = 0; round < 20; ++round)
        {
            auto const asked = now;
            auto const answered = asked + some(2000);
            while (answered - read_began > milliseconds(1600))
            {
                read_began = read_began + milliseconds(100) + some(800);
            }
            auto const age = answered - read_began;
            latest_truth = std::max(latest_truth, read_began);
            now = answered + some(6000);
            confirm(follower, asked - age);
            ASSERT_LE(*follower.confirmed, latest_truth)
                << "seed 23, scenario " << scenario;
        }
    }
}

TEST(kept_view, a_confirmation_never_goes_back)
{
    cached_view view;
    confirm(view, start);
    confirm(view, start - milliseconds(500));
    EXPECT_EQ(view.confirmed, start);
}

} // namespace foxtailvale::gateway
