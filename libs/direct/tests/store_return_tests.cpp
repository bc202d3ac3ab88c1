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

bool is_usable(endpoint_table const& table, std::string const& id)
{
    auto const found = table.endpoints.find(id);
    return found != table.endpoints.end() && !found->second.listed.draining;
}

// Returns a table with one endpoint that left, one that is leaving and one that
// stays.
endpoint_table before_restore()
{
    endpoint_table table;
    for (auto const* id : {"gone", "leaving", "stays"})
    {
        put(table, record(id, false));
    }
    remove(table, "gone", false, start);
    put(table, record("leaving", true));
    return table;
}

// Lists the copy, which is older than all these changes.
void list_copy(endpoint_table& table, base::time_point now)
{
    replace_all(
        table,
        {record("gone", false), record("leaving", false),
         record("stays", false)},
        true, now);
}

} // namespace

// Failure: requests go to endpoints that only the copy still lists.
TEST(store_return, what_left_is_not_used_while_the_copy_may_be_wrong)
{
    auto table = before_restore();
    note_store_restored(table, start + milliseconds(100));
    list_copy(table, start + milliseconds(200));
    EXPECT_FALSE(is_usable(table, "gone"));
    EXPECT_FALSE(is_usable(table, "leaving"));
    EXPECT_TRUE(is_usable(table, "stays"));
    expire(table, start + withhold_time);
    EXPECT_FALSE(is_usable(table, "gone"));
}

// Failure: live endpoints are withheld for good.
TEST(store_return, what_is_still_listed_after_three_heartbeats_is_believed)
{
    auto table = before_restore();
    note_store_restored(table, start);
    list_copy(table, start);
    expire(table, start + withhold_time);
    EXPECT_TRUE(is_usable(table, "gone"));
    EXPECT_TRUE(is_usable(table, "leaving"));
}

// Failure: an endpoint is withheld although it has registered again.
TEST(store_return, what_writes_itself_anew_is_believed_at_once)
{
    auto table = before_restore();
    note_store_restored(table, start);
    list_copy(table, start);
    put(table, record("gone", false));
    EXPECT_TRUE(is_usable(table, "gone"));
}

// Failure: an endpoint that the copy lacks registers again, and its record is
// withheld when the list is read once more.
TEST(store_return, what_only_lapsed_is_believed_when_it_is_listed_again)
{
    endpoint_table table;
    put(table, record("joined", false));
    note_store_restored(table, start);
    replace_all(table, {}, true, start);
    expire(table, start + removal_grace);
    EXPECT_FALSE(is_usable(table, "joined"));
    auto const later = start + removal_grace + milliseconds(300);
    replace_all(table, {record("joined", false)}, true, later);
    EXPECT_TRUE(is_usable(table, "joined"));
}

// The same when a second reader of the list did not notice that the store was
// away.
TEST(store_return, what_the_copy_lacks_has_not_left)
{
    endpoint_table table;
    put(table, record("joined", false));
    note_store_restored(table, start);
    replace_all(table, {}, false, start);
    EXPECT_TRUE(is_usable(table, "joined"));
    expire(table, start + removal_grace);
    auto const later = start + removal_grace + milliseconds(300);
    replace_all(table, {record("joined", false)}, false, later);
    EXPECT_TRUE(is_usable(table, "joined"));
}

// The same for an endpoint that was removed and then started again.
TEST(store_return, what_wrote_itself_anew_is_believed_in_later_lists)
{
    auto table = before_restore();
    note_store_restored(table, start);
    list_copy(table, start);
    put(table, record("gone", false));
    list_copy(table, start + milliseconds(300));
    EXPECT_TRUE(is_usable(table, "gone"));
}

// Failure: a withheld record is applied after its endpoint was removed.
TEST(store_return, what_is_removed_meanwhile_does_not_come_back)
{
    auto table = before_restore();
    note_store_restored(table, start);
    list_copy(table, start);
    remove(table, "gone", false, start + milliseconds(3600));
    expire(table, start + withhold_time);
    EXPECT_FALSE(table.endpoints.contains("gone"));
}

// Failure: records are withheld although the store was not restored.
TEST(store_return, without_a_return_a_list_holds_as_it_is)
{
    auto table = before_restore();
    list_copy(table, start);
    EXPECT_TRUE(is_usable(table, "gone"));
    EXPECT_TRUE(is_usable(table, "leaving"));
}

// Failure: requests go to a failure domain that the copy does not list as out
// of service.
TEST(store_return, a_domain_that_the_copy_lacks_stays_out_for_a_while)
{
    endpoint_table table;
    take_out_of_service(table, "a");
    note_store_restored(table, start);
    EXPECT_TRUE(replace_domains(table, {}, start).empty());
    EXPECT_TRUE(expire_domains(table, start + milliseconds(29999)).empty());
    EXPECT_TRUE(table.domains_out.contains("a"));
    EXPECT_EQ(
        expire_domains(table, start + held_out_time),
        std::vector<std::string>{"a"});
    EXPECT_FALSE(table.domains_out.contains("a"));
}

// Failure: a domain returns to service because it was once held out.
TEST(store_return, a_domain_that_is_written_again_is_out_as_before)
{
    endpoint_table table;
    take_out_of_service(table, "a");
    note_store_restored(table, start);
    replace_domains(table, {}, start);
    take_out_of_service(table, "a");
    EXPECT_TRUE(expire_domains(table, start + held_out_time).empty());
    EXPECT_TRUE(table.domains_out.contains("a"));
    EXPECT_TRUE(return_to_service(table, "a"));
}

TEST(store_return, without_a_return_a_domain_comes_back_with_the_list)
{
    endpoint_table table;
    take_out_of_service(table, "a");
    EXPECT_EQ(replace_domains(table, {}, start), std::vector<std::string>{"a"});
    EXPECT_TRUE(table.domains_out.empty());
}

// Failure: the memory of departed endpoints grows without limit.
TEST(store_return, the_memory_of_what_left_is_bounded)
{
    endpoint_table table;
    for (std::size_t number = 0; number < 3 * max_departed; ++number)
    {
        note_departed(table, std::to_string(number), start);
    }
    EXPECT_EQ(table.restore_state.departed.size(), max_departed);
    note_departed(table, "later", start + departed_memory + milliseconds(1));
    EXPECT_EQ(table.restore_state.departed.size(), 1U);
}

} // namespace foxtailvale::direct
