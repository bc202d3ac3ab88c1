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

kept_view listed()
{
    kept_view view;
    put_list(view, {object("a", "1"), object("b", "1")}, at(10), start);
    return view;
}

// Takes a page as a follower does.
void take(kept_view& follower, kept_view const& source)
{
    auto const page = page_after(source, follower.mark);
    std::vector<platform::store_object> objects;
    for (auto const* kept : page.objects)
    {
        objects.push_back(kept->object);
        objects.back().revision = kept->revision;
    }
    if (page.whole)
    {
        put_list(follower, objects, source.mark, start);
        return;
    }
    for (auto const& object : objects)
    {
        put_change(follower, object, source.mark, start);
    }
    follower.mark = std::max(follower.mark, source.mark);
}

std::map<std::string, std::string> contents(kept_view const& view)
{
    std::map<std::string, std::string> found;
    for (auto const& [name, kept] : view.objects)
    {
        found[name] = kept.object.content;
    }
    return found;
}

// A number that writers count up.
std::uint64_t number_in(std::string const& content)
{
    return std::stoull(content);
}

// A store of a few objects that change in turn, with all that it ever held.
struct played_store
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
            // A removal does not always say its own revision.
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

void list(kept_view& view, played_store const& store)
{
    std::vector<platform::store_object> all;
    for (auto const& [name, held] : store.objects)
    {
        all.push_back(held);
    }
    put_list(view, all, at(store.revision), start);
}

void watch(kept_view& view, played_store const& store)
{
    auto const after = view.mark.revision;
    for (std::size_t place = 0; place < store.history.size(); ++place)
    {
        if (store.revisions[place] > after)
        {
            put_change(view, store.history[place], at(store.revision), start);
        }
    }
    view.mark = at(store.revision);
}

} // namespace

TEST(kept_view, whoever_has_nothing_gets_all)
{
    auto const view = listed();
    auto const page = page_after(view, {});
    EXPECT_TRUE(page.whole);
    EXPECT_EQ(page.objects.size(), 2U);
}

TEST(kept_view, whoever_has_the_list_gets_what_changed)
{
    auto view = listed();
    put_change(view, object("a", "2"), at(12), start);
    put_change(view, removal("b"), at(14), start);
    auto const all = page_after(view, at(10));
    EXPECT_FALSE(all.whole);
    ASSERT_EQ(all.objects.size(), 2U);
    auto const last = page_after(view, at(12));
    ASSERT_EQ(last.objects.size(), 1U);
    EXPECT_TRUE(last.objects[0]->object.removed);
    EXPECT_TRUE(page_after(view, at(14)).objects.empty());
}

// Guards against a removal that is missed because a listing, and no event,
// showed it.
TEST(kept_view, what_a_new_listing_lacks_is_handed_on_as_removed)
{
    auto view = listed();
    auto follower = view;
    put_change(view, object("a", "2"), at(12), start);
    put_list(view, {object("a", "3")}, at(20), start);
    EXPECT_FALSE(page_after(view, at(12)).whole);
    take(follower, view);
    EXPECT_EQ(contents(follower), contents(view));
    EXPECT_EQ(follower.objects.size(), 1U);
}

// Guards against whole lists that cross the links each time that the list was
// read anew: only what changed goes on.
TEST(kept_view, a_new_listing_hands_on_no_more_than_what_changed)
{
    kept_view view;
    std::vector<platform::store_object> all;
    for (std::uint64_t number = 0; number < 3000; ++number)
    {
        all.push_back(object("e" + std::to_string(number), "1"));
        all.back().revision = 1 + number;
    }
    put_list(view, all, at(4000), start);
    all[17].content = "2";
    all[17].revision = 4002;
    put_list(view, all, at(4003), start);
    auto const page = page_after(view, at(4000));
    EXPECT_FALSE(page.whole);
    EXPECT_EQ(page.objects.size(), 1U);
}

// Guards against followers of several watchers that miss a change between a
// watcher's two listings, in random courses.
TEST(kept_view, whoever_takes_pages_from_anybody_holds_what_the_store_holds)
{
    base::random_state random{77};
    for (auto course = 0; course < 500; ++course)
    {
        played_store store;
        std::array<kept_view, 2> watchers;
        kept_view follower;
        for (auto round = 0; round < 40; ++round)
        {
            auto const changes = base::random_below(random, 5);
            for (std::uint64_t next = 0; next < changes; ++next)
            {
                store.change(random);
            }
            auto& watcher = watchers.at(base::random_below(random, 2));
            auto const lists = watcher.mark.revision == 0 ||
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
            if (source.mark > follower.mark)
            {
                take(follower, source);
                ASSERT_EQ(contents(follower), contents(source))
                    << "seed 77, course " << course << ", round " << round;
            }
        }
    }
}

// Guards against a second return that makes forget what the first lost.
TEST(kept_view, what_is_ahead_outlives_a_second_return)
{
    kept_view view;
    view.number = number_in;
    put_list(view, {object("main", "7")}, at(50), start);
    put_list(view, {object("main", "5")}, {2, 40}, start);
    put_list(view, {object("main", "5")}, {3, 40}, start);
    put_list(view, {object("main", "5")}, {3, 41}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    put_change(view, object("main", "8"), {3, 42}, start);
    EXPECT_EQ(contents(view).at("main"), "8");
    EXPECT_TRUE(view.ahead.empty());
}

// Guards against removals that are remembered without end.
TEST(kept_view, removals_are_bounded)
{
    auto view = listed();
    for (std::uint64_t number = 0; number < 2 * most_removals; ++number)
    {
        auto const name = std::to_string(number);
        put_change(view, object(name, "1"), at(11 + 2 * number), start);
        put_change(view, removal(name), at(12 + 2 * number), start);
    }
    EXPECT_EQ(view.removed.size(), most_removals);
    EXPECT_TRUE(page_after(view, at(10)).whole);
    auto const late = at(view.mark.revision - 1);
    EXPECT_FALSE(page_after(view, late).whole);
    EXPECT_EQ(page_after(view, late).objects.size(), 1U);
}

// Guards against a follower that takes a difference of another era.
TEST(kept_view, whoever_is_of_another_era_gets_all)
{
    auto view = listed();
    put_list(view, {object("a", "1")}, {2, 5}, start);
    for (auto const& known : {at(10), at(4), platform::store_position{3, 5}})
    {
        EXPECT_TRUE(page_after(view, known).whole);
    }
    EXPECT_FALSE(page_after(view, {2, 5}).whole);
    EXPECT_EQ(view.objects.size(), 1U);
}

// Guards against what was in force falling back to what the copy holds.
TEST(kept_view, a_return_does_not_take_back_what_is_newer_by_its_own_number)
{
    kept_view view;
    view.number = number_in;
    put_list(view, {object("main", "7"), object("m", "2")}, at(50), start);
    put_list(view, {object("main", "5")}, {2, 40}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    EXPECT_EQ(contents(view).at("m"), "2");
    put_change(view, object("main", "6"), {2, 41}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    put_list(view, {object("main", "6")}, {2, 42}, start);
    EXPECT_EQ(contents(view).at("main"), "7");
    EXPECT_EQ(contents(view).at("m"), "2");
    put_change(view, object("main", "8"), {2, 43}, start);
    EXPECT_EQ(contents(view).at("main"), "8");
    put_change(view, removal("main"), {2, 44}, start);
    EXPECT_FALSE(view.objects.contains("main"));
}

// A version was named long ago and the list is read anew. Handed on as news,
// it would be counted from now.
TEST(kept_view, what_a_new_listing_repeats_keeps_its_age)
{
    auto view = listed();
    put_list(
        view, {object("a", "1"), object("b", "2")}, at(20), {seconds(107)});
    EXPECT_EQ(view.objects.at("a").learned, start);
    EXPECT_EQ(view.objects.at("b").learned, (base::boot_time{seconds(107)}));
}

// Random courses of questions and answers that are late on their way, or lie
// unread while one of both processes stands still: a follower never takes its
// view for fresher than the watcher's was.
TEST(kept_view, no_course_makes_a_followed_view_fresher_than_it_is)
{
    base::random_state random{23};
    auto const some = [&random](std::uint64_t most)
    {
        return milliseconds(base::random_below(random, most));
    };
    for (auto course = 0; course < 2000; ++course)
    {
        kept_view follower;
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
                << "seed 23, course " << course;
        }
    }
}

TEST(kept_view, a_confirmation_never_goes_back)
{
    kept_view view;
    confirm(view, start);
    confirm(view, start - milliseconds(500));
    EXPECT_EQ(view.confirmed, start);
}

} // namespace foxtailvale::gateway
