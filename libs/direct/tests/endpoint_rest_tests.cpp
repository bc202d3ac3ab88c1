#include <direct/endpoint_rest.hpp>
#include <direct/placement.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

endpoint_record plain_endpoint(std::string const& id)
{
    endpoint_record made;
    made.id = id;
    made.service = "s";
    made.address = "10.0.0.1:80";
    made.failure_domain = "d0";
    made.slots = 4;
    return made;
}

endpoint_table one_endpoint()
{
    endpoint_table table;
    put(table, plain_endpoint("e0"));
    return table;
}

choice choose_at(endpoint_table const& table, base::time_point now)
{
    placement_query query;
    query.service = "s";
    query.own_domain = "d0";
    base::random_state random{3};
    return choose(table, query, now, random);
}

bool is_chosen(endpoint_table const& table, base::time_point now)
{
    return choose_at(table, now).chosen != nullptr;
}

} // namespace

// Guards against requests, retries and resumed streams for an endpoint at rest:
// all of them are placed here.
TEST(endpoint_rest, an_endpoint_at_rest_is_not_chosen)
{
    auto table = one_endpoint();
    note_rest(table, "e0", seconds(3), start);
    EXPECT_FALSE(is_chosen(table, start + milliseconds(600)));
    EXPECT_FALSE(is_chosen(table, start + milliseconds(2999)));
    EXPECT_TRUE(is_chosen(table, start + seconds(3)));
}

// Guards against a rest that ends with another answer's shorter one.
TEST(endpoint_rest, the_longest_rest_counts)
{
    for (auto const shorter_first : {true, false})
    {
        auto table = one_endpoint();
        note_rest(table, "e0", seconds(shorter_first ? 1 : 4), start);
        note_rest(
            table, "e0", seconds(shorter_first ? 3 : 1), start + seconds(1));
        EXPECT_FALSE(is_chosen(table, start + milliseconds(3999)));
        EXPECT_TRUE(is_chosen(table, start + seconds(4)));
    }
}

// Guards against a rest that is forgotten as the platform's list loses the
// endpoint for a moment.
TEST(endpoint_rest, outlasts_a_gap_of_the_list)
{
    auto table = one_endpoint();
    note_rest(table, "e0", seconds(3), start);
    remove(table, "e0", false, start);
    put(table, plain_endpoint("e0"));
    EXPECT_FALSE(is_chosen(table, start + seconds(2)));
    EXPECT_TRUE(is_chosen(table, start + seconds(3)));
}

// Guards against a rest that passes on to another endpoint at the address.
TEST(endpoint_rest, belongs_to_the_endpoint_and_not_to_its_address)
{
    auto table = one_endpoint();
    note_rest(table, "e0", seconds(3), start);
    remove(table, "e0", false, start);
    put(table, plain_endpoint("e1"));
    EXPECT_TRUE(is_chosen(table, start + seconds(1)));
}

// Guards against requests that wait for an endpoint that takes none for longer.
TEST(endpoint_rest, tells_when_the_first_endpoint_has_room)
{
    auto table = one_endpoint();
    put(table, plain_endpoint("e1"));
    note_rest(table, "e0", seconds(3), start);
    note_rest(table, "e1", seconds(2), start);
    EXPECT_EQ(choose_at(table, start).room_at, start + seconds(2));
}

// Guards against a rest that goes on for the time in which the machine, and its
// steady clock, stood still.
TEST(endpoint_rest, goes_on_while_the_machine_is_suspended)
{
    auto table = one_endpoint();
    note_rest(table, "e0", seconds(3), start);
    note_suspended(table, seconds(2));
    EXPECT_FALSE(is_chosen(table, start + milliseconds(999)));
    EXPECT_TRUE(is_chosen(table, start + seconds(1)));
}

} // namespace foxtailvale::direct
