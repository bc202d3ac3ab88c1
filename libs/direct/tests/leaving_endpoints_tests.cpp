#include <direct/leaving_endpoints.hpp>
#include <direct/placement.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

endpoint_record plain_endpoint(std::uint64_t started_ms)
{
    endpoint_record made;
    made.id = "e0";
    made.service = "s";
    made.address = "10.0.0.1:80";
    made.failure_domain = "d0";
    made.slots = 4;
    made.started_ms = started_ms;
    return made;
}

bool is_chosen(endpoint_table const& table, base::time_point now)
{
    placement_query query;
    query.service = "s";
    query.own_domain = "d0";
    base::random_state random{3};
    return choose(table, query, now, random).chosen != nullptr;
}

} // namespace

// Guards against requests for an endpoint that has said that it leaves, as the
// list says so late or never, or loses it for a moment.
TEST(leaving_endpoints, are_not_chosen_whatever_the_list_says)
{
    endpoint_table table;
    put(table, plain_endpoint(7));
    EXPECT_TRUE(is_chosen(table, start));
    EXPECT_TRUE(note_leaving(table, "e0", start));
    EXPECT_FALSE(note_leaving(table, "e0", start));
    EXPECT_FALSE(is_chosen(table, start));
    auto again = plain_endpoint(7);
    again.slots = 5;
    put(table, again);
    EXPECT_FALSE(is_chosen(table, start + seconds(30)));
    remove(table, "e0", false, start);
    put(table, plain_endpoint(7));
    EXPECT_FALSE(is_chosen(table, start + seconds(30)));
}

// Guards against an endpoint that stays unused after it started again under the
// id that it had.
TEST(leaving_endpoints, one_that_started_again_is_chosen)
{
    endpoint_table table;
    put(table, plain_endpoint(7));
    note_leaving(table, "e0", start);
    put(table, plain_endpoint(9));
    EXPECT_TRUE(is_chosen(table, start));
}

// Guards against an engine that has told only its agent that it leaves.
TEST(leaving_endpoints, the_agents_word_counts_while_it_is_fresh)
{
    endpoint_table table;
    put(table, plain_endpoint(7));
    load_report report;
    report.leaving = true;
    note_report(table, "10.0.0.1", report, start);
    EXPECT_FALSE(is_chosen(table, start));
    note_report(table, "10.0.0.1", {}, start);
    EXPECT_TRUE(is_chosen(table, start));
}

} // namespace foxtailvale::direct
