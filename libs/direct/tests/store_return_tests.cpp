#include <direct/store_restore.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

base::time_point const start{std::chrono::seconds(100)};

endpoint_record record(std::string id, bool draining)
{
    endpoint_record made;
    made.id = std::move(id);
    made.service = "plain";
    made.address = "10.0.0.1:80";
    made.draining = draining;
    return made;
}

bool takes_work(endpoint_table const& book, std::string const& id)
{
    auto const found = book.endpoints.find(id);
    return found != book.endpoints.end() && !found->second.listed.draining;
}

// A list with one that left, one that is leaving and one that stays.
endpoint_table before_return()
{
    endpoint_table book;
    for (auto const* id : {"gone", "leaving", "stays"})
    {
        put(book, record(id, false));
    }
    remove(book, "gone", false, start);
    put(book, record("leaving", true));
    return book;
}

// The copy of before all that.
void list_copy(endpoint_table& book, base::time_point now)
{
    replace_all(
        book,
        {record("gone", false), record("leaving", false),
         record("stays", false)},
        true, now);
}

} // namespace

// Guards against requests to endpoints that the copy still lists.
TEST(store_return, what_left_is_not_used_while_the_copy_may_be_wrong)
{
    auto book = before_return();
    note_store_restored(book, start + milliseconds(100));
    list_copy(book, start + milliseconds(200));
    EXPECT_FALSE(takes_work(book, "gone"));
    EXPECT_FALSE(takes_work(book, "leaving"));
    EXPECT_TRUE(takes_work(book, "stays"));
    expire(book, start + copy_time);
    EXPECT_FALSE(takes_work(book, "gone"));
}

// Guards against endpoints that are kept back for good though they live.
TEST(store_return, what_is_still_listed_after_three_heartbeats_is_believed)
{
    auto book = before_return();
    note_store_restored(book, start);
    list_copy(book, start);
    expire(book, start + copy_time);
    EXPECT_TRUE(takes_work(book, "gone"));
    EXPECT_TRUE(takes_work(book, "leaving"));
}

// Guards against waiting for an endpoint that has said itself that it is there.
TEST(store_return, what_writes_itself_anew_is_believed_at_once)
{
    auto book = before_return();
    note_store_restored(book, start);
    list_copy(book, start);
    put(book, record("gone", false));
    EXPECT_TRUE(takes_work(book, "gone"));
}

// Guards against an endpoint that is missed in the copy, writes itself again
// and is doubted when the list is read once more.
TEST(store_return, what_only_lapsed_is_believed_when_it_is_listed_again)
{
    endpoint_table book;
    put(book, record("joined", false));
    note_store_restored(book, start);
    replace_all(book, {}, true, start);
    expire(book, start + lapse_time);
    EXPECT_FALSE(takes_work(book, "joined"));
    auto const later = start + lapse_time + milliseconds(300);
    replace_all(book, {record("joined", false)}, true, later);
    EXPECT_TRUE(takes_work(book, "joined"));
}

// Guards against the same where a second reader of the list did not see the
// store's absence.
TEST(store_return, what_the_copy_lacks_has_not_left)
{
    endpoint_table book;
    put(book, record("joined", false));
    note_store_restored(book, start);
    replace_all(book, {}, false, start);
    EXPECT_TRUE(takes_work(book, "joined"));
    expire(book, start + lapse_time);
    auto const later = start + lapse_time + milliseconds(300);
    replace_all(book, {record("joined", false)}, false, later);
    EXPECT_TRUE(takes_work(book, "joined"));
}

// Guards against the same for one that was removed and then started anew.
TEST(store_return, what_wrote_itself_anew_is_believed_in_later_lists)
{
    auto book = before_return();
    note_store_restored(book, start);
    list_copy(book, start);
    put(book, record("gone", false));
    list_copy(book, start + milliseconds(300));
    EXPECT_TRUE(takes_work(book, "gone"));
}

// Guards against a record of the copy that comes back after its removal.
TEST(store_return, what_is_removed_meanwhile_does_not_come_back)
{
    auto book = before_return();
    note_store_restored(book, start);
    list_copy(book, start);
    remove(book, "gone", false, start + milliseconds(3600));
    expire(book, start + copy_time);
    EXPECT_FALSE(book.endpoints.contains("gone"));
}

// Guards against doubts about the lists of a store that loses nothing.
TEST(store_return, without_a_return_a_list_holds_as_it_is)
{
    auto book = before_return();
    list_copy(book, start);
    EXPECT_TRUE(takes_work(book, "gone"));
    EXPECT_TRUE(takes_work(book, "leaving"));
}

// Guards against work in a failure domain that the copy does not show as out.
TEST(store_return, a_domain_that_the_copy_lacks_stays_out_for_a_while)
{
    endpoint_table book;
    take_out_of_service(book, "a");
    note_store_restored(book, start);
    EXPECT_TRUE(replace_domains(book, {}, start).empty());
    EXPECT_TRUE(expire_domains(book, start + milliseconds(29999)).empty());
    EXPECT_TRUE(book.domains_out.contains("a"));
    EXPECT_EQ(
        expire_domains(book, start + held_out_time),
        std::vector<std::string>{"a"});
    EXPECT_FALSE(book.domains_out.contains("a"));
}

// Guards against a domain that comes back because it once was held out.
TEST(store_return, a_domain_that_is_written_again_is_out_as_before)
{
    endpoint_table book;
    take_out_of_service(book, "a");
    note_store_restored(book, start);
    replace_domains(book, {}, start);
    take_out_of_service(book, "a");
    EXPECT_TRUE(expire_domains(book, start + held_out_time).empty());
    EXPECT_TRUE(book.domains_out.contains("a"));
    EXPECT_TRUE(return_to_service(book, "a"));
}

TEST(store_return, without_a_return_a_domain_comes_back_with_the_list)
{
    endpoint_table book;
    take_out_of_service(book, "a");
    EXPECT_EQ(replace_domains(book, {}, start), std::vector<std::string>{"a"});
    EXPECT_TRUE(book.domains_out.empty());
}

// Guards against a memory that grows with each endpoint that ever left.
TEST(store_return, the_memory_of_what_left_is_bounded)
{
    endpoint_table book;
    for (std::size_t number = 0; number < 3 * most_left; ++number)
    {
        note_left(book, std::to_string(number), start);
    }
    EXPECT_EQ(book.doubt.left.size(), most_left);
    note_left(book, "later", start + left_memory + milliseconds(1));
    EXPECT_EQ(book.doubt.left.size(), 1U);
}

} // namespace foxtailvale::direct
