#include <direct/endpoint_table.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

endpoint_record engine(std::string id, std::string address = "10.0.0.1:80")
{
    endpoint_record made;
    made.id = std::move(id);
    made.service = "s";
    made.address = std::move(address);
    made.failure_domain = "d";
    made.slots = 16;
    made.weights = {"m", 1, true};
    return made;
}

} // namespace

TEST(endpoint_book, what_left_is_gone_at_once)
{
    endpoint_table table;
    put(table, engine("a"));
    remove(table, "a", false, start);
    EXPECT_TRUE(table.endpoints.empty());
}

// Failure: the platform is down, the records of its list expire, and it comes
// back with an empty list. All callers are refused until the endpoints have
// registered again, although all of them are alive.
TEST(endpoint_book, what_a_lost_list_misses_is_used_a_little_longer)
{
    endpoint_table table;
    put(table, engine("a"));
    replace_all(table, {}, true, start);
    expire(table, start + milliseconds(1400));
    EXPECT_EQ(table.endpoints.size(), 1U);
    expire(table, start + removal_grace);
    EXPECT_TRUE(table.endpoints.empty());
}

TEST(endpoint_book, one_that_returns_does_not_lapse)
{
    endpoint_table table;
    put(table, engine("a"));
    replace_all(table, {}, true, start);
    put(table, engine("a"));
    expire(table, start + seconds(10));
    EXPECT_EQ(table.endpoints.size(), 1U);
}

// Failure: an endpoint announces that it leaves, and the list is lost at that
// moment. With the usual grace period it would get requests after its end.
TEST(endpoint_book, one_that_was_leaving_does_not_stay)
{
    endpoint_table table;
    auto leaving = engine("a");
    leaving.draining = true;
    put(table, leaving);
    replace_all(table, {}, true, start);
    EXPECT_TRUE(table.endpoints.empty());
}

TEST(endpoint_book, a_fresh_report_goes_before_the_list)
{
    endpoint_table table;
    put(table, engine("a"));
    note_report(table, "10.0.0.1", {.weights = {"m", 2, true}}, start);
    auto const& state = table.endpoints.at("a");
    EXPECT_EQ(weights_of(state, start).version, 2U);
    EXPECT_EQ(weights_of(state, start + seconds(5)).version, 1U);
}

// Failure: a report relayed by two entries resets the count of requests that
// were sent to the endpoint between the two copies.
TEST(endpoint_book, a_report_that_was_passed_on_counts_once)
{
    endpoint_table table;
    put(table, engine("a"));
    auto const came = start - milliseconds(150);
    note_relayed_report(table, "10.0.0.1", {.running = 3}, came);
    note_request_begun(table, "a", start);
    auto const& state = table.endpoints.at("a");
    note_relayed_report(
        table, "10.0.0.1", {.running = 3}, came + milliseconds(3));
    EXPECT_EQ(state.own_delta, 1);
    note_relayed_report(
        table, "10.0.0.1", {.running = 9}, came - milliseconds(100));
    EXPECT_EQ(state.report->running, 3U);
    note_relayed_report(
        table, "10.0.0.1", {.running = 5}, came + milliseconds(100));
    EXPECT_EQ(state.report->running, 5U);
    EXPECT_EQ(state.reported, came + milliseconds(100));
    // The report was taken before the request was sent and does not include it.
    EXPECT_EQ(state.own_delta, 1);
    note_relayed_report(
        table, "10.0.0.1", {.running = 6}, start + milliseconds(100));
    EXPECT_EQ(state.own_delta, 0);
}

// Failure: the address of an ended endpoint is reused, and the report on the
// old endpoint is applied to the new one.
TEST(endpoint_book, a_report_does_not_outlive_its_address)
{
    endpoint_table table;
    put(table, engine("a"));
    note_report(table, "10.0.0.1", {.weights = {"m", 2, true}}, start);
    put(table, engine("a", "10.0.0.2:80"));
    EXPECT_EQ(weights_of(table.endpoints.at("a"), start).version, 1U);
}

TEST(versions, an_older_one_is_allowed_until_its_time)
{
    endpoint_table table;
    announce_version(table, "m", {2, start, start + seconds(7)});
    announce_version(table, "m", {3, start, start + seconds(11)});
    EXPECT_FALSE(announce_version(table, "m", {2, start, start}));
    auto const oldest_allowed = [&table](char const* model, seconds passed)
    {
        std::uint64_t version = 0;
        while (version_retires_at(table, model, version) &&
               *version_retires_at(table, model, version) <= start + passed)
        {
            ++version;
        }
        return version;
    };
    EXPECT_EQ(oldest_allowed("m", seconds(0)), 0U);
    EXPECT_EQ(oldest_allowed("m", seconds(7)), 2U);
    EXPECT_EQ(oldest_allowed("m", seconds(11)), 3U);
    EXPECT_EQ(oldest_allowed("other", seconds(11)), 0U);
}

TEST(versions, the_use_of_one_ends_with_the_first_newer_one)
{
    endpoint_table table;
    EXPECT_FALSE(version_retires_at(table, "m", 1));
    EXPECT_FALSE(superseded_at(table, "m", 1));
    announce_version(table, "m", {2, start, start + seconds(7)});
    announce_version(table, "m", {3, start + seconds(4), start + seconds(11)});
    EXPECT_EQ(version_retires_at(table, "m", 1), start + seconds(7));
    EXPECT_EQ(version_retires_at(table, "m", 2), start + seconds(11));
    EXPECT_FALSE(version_retires_at(table, "m", 3));
    EXPECT_EQ(superseded_at(table, "m", 1), start);
    EXPECT_EQ(superseded_at(table, "m", 2), start + seconds(4));
    EXPECT_FALSE(superseded_at(table, "m", 3));
    EXPECT_FALSE(version_retires_at(table, "other", 1));
}

// An entry that learns of successive versions from entries that have known them
// for longer may compute an earlier time for the later version than for the
// first one.
TEST(versions, the_use_of_one_ends_when_it_is_no_longer_allowed)
{
    endpoint_table table;
    announce_version(table, "m", {2, start, start + seconds(9)});
    announce_version(table, "m", {3, start, start + seconds(8)});
    EXPECT_EQ(version_retires_at(table, "m", 1), start + seconds(8));
    EXPECT_EQ(version_retires_at(table, "m", 2), start + seconds(8));
    EXPECT_FALSE(version_retires_at(table, "m", 3));
}

TEST(use, an_endpoint_that_cannot_be_reached_is_left_alone_longer_each_time)
{
    endpoint_table table;
    put(table, engine("a"));
    auto& state = table.endpoints.at("a");
    note_request_begun(table, "a", start);
    note_request_ended(table, "a", request_outcome::not_connected, start);
    auto const first = state.avoid_until;
    EXPECT_GT(first, start);
    note_request_begun(table, "a", first);
    note_request_ended(table, "a", request_outcome::not_connected, first);
    EXPECT_GT(state.avoid_until - first, first - start);
}

// Failure: all machines lose power, and engines restart empty while the list
// still shows their former weights. Every request is rejected, and the retry
// budget is spent.
TEST(use, an_engine_that_turned_a_request_away_is_left_alone_until_it_changes)
{
    endpoint_table table;
    put(table, engine("a"));
    auto const& state = table.endpoints.at("a");
    note_request_begun(table, "a", start);
    note_request_ended(table, "a", request_outcome::misdirected, start);
    EXPECT_GE(state.avoid_until, start + milliseconds(500));
    auto loaded = engine("a");
    loaded.weights.version = 2;
    put(table, loaded);
    EXPECT_LE(state.avoid_until, start);
}

TEST(use, silence_while_answers_are_owed_is_a_stall)
{
    endpoint_table table;
    put(table, engine("a"));
    auto const& state = table.endpoints.at("a");
    note_request_begun(table, "a", start);
    EXPECT_FALSE(is_stalled(state, start + milliseconds(400)));
    EXPECT_TRUE(is_stalled(state, start + milliseconds(600)));
    note_heard(table, "a", start + milliseconds(550));
    EXPECT_FALSE(is_stalled(state, start + milliseconds(600)));
    note_request_ended(
        table, "a", request_outcome::answered, start + milliseconds(700));
    EXPECT_FALSE(is_stalled(state, start + seconds(60)));
}

// Failure: an engine is drained and removed while a version is announced. Its
// agent is told to fetch chunks for all others and is stopped a moment later.
TEST(endpoint_book, agents_of_endpoints_that_leave_take_no_part)
{
    endpoint_record engine;
    engine.service = "s";
    EXPECT_TRUE(participates_in_transfer(engine, "s"));
    EXPECT_FALSE(participates_in_transfer(engine, "other"));
    engine.draining = true;
    EXPECT_FALSE(participates_in_transfer(engine, "s"));
}

// Failure: a report counts for an endpoint that has left the address, or not
// for the one that has taken it.
TEST(endpoint_book, reports_follow_an_address_to_its_new_endpoint)
{
    endpoint_table table;
    endpoint_record record;
    record.id = "first";
    record.address = "10.0.0.1:8000";
    put(table, record);
    load_report report;
    report.running = 3;
    record.address = "10.0.0.2:8000";
    put(table, record);
    record.id = "second";
    record.address = "10.0.0.1:8000";
    put(table, record);
    note_report(table, "10.0.0.1", report, {});
    EXPECT_FALSE(table.endpoints.at("first").report.has_value());
    EXPECT_EQ(table.endpoints.at("second").report->running, 3U);
    remove(table, "second", false, {});
    EXPECT_TRUE(endpoints_at(table, "10.0.0.1").empty());
    EXPECT_EQ(table.ids_by_ip.size(), 1U);
}

// Failure: an endpoint whose removal was put off, or one of several, stays.
TEST(endpoint_book, endpoints_are_removed_when_their_time_has_come)
{
    endpoint_table table;
    for (auto const* id : {"a", "b", "c"})
    {
        endpoint_record record;
        record.id = id;
        record.address = std::string("10.0.0.1:") + id;
        put(table, record);
    }
    remove(table, "a", true, start);
    remove(table, "b", true, start + std::chrono::milliseconds(500));
    expire(table, start + removal_grace - std::chrono::milliseconds(1));
    EXPECT_EQ(table.endpoints.size(), 3U);
    expire(table, start + removal_grace);
    EXPECT_EQ(
        endpoints_at(table, "10.0.0.1"), (std::set<std::string>{"b", "c"}));
    expire(table, start + removal_grace + std::chrono::milliseconds(500));
    EXPECT_EQ(endpoints_at(table, "10.0.0.1"), (std::set<std::string>{"c"}));
    EXPECT_FALSE(table.next_removal.has_value());
}

} // namespace foxtailvale::direct
