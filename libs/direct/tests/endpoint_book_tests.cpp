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
    endpoint_table book;
    put(book, engine("a"));
    remove(book, "a", false, start);
    EXPECT_TRUE(book.endpoints.empty());
}

// The platform is away, the entries of its list run out, and it comes back
// with an empty list. All callers are refused until the endpoints have
// registered anew, although all of them live.
TEST(endpoint_book, what_a_lost_list_misses_is_used_a_little_longer)
{
    endpoint_table book;
    put(book, engine("a"));
    replace_all(book, {}, true, start);
    expire(book, start + milliseconds(1400));
    EXPECT_EQ(book.endpoints.size(), 1U);
    expire(book, start + lapse_time);
    EXPECT_TRUE(book.endpoints.empty());
}

TEST(endpoint_book, one_that_returns_does_not_lapse)
{
    endpoint_table book;
    put(book, engine("a"));
    replace_all(book, {}, true, start);
    put(book, engine("a"));
    expire(book, start + seconds(10));
    EXPECT_EQ(book.endpoints.size(), 1U);
}

// An endpoint announced that it leaves, and the list is lost just then. Kept
// as one that lapsed, it would get requests after its end.
TEST(endpoint_book, one_that_was_leaving_does_not_stay)
{
    endpoint_table book;
    auto leaving = engine("a");
    leaving.draining = true;
    put(book, leaving);
    replace_all(book, {}, true, start);
    EXPECT_TRUE(book.endpoints.empty());
}

TEST(endpoint_book, a_fresh_report_goes_before_the_list)
{
    endpoint_table book;
    put(book, engine("a"));
    note_report(book, "10.0.0.1", {.weights = {"m", 2, true}}, start);
    auto const& state = book.endpoints.at("a");
    EXPECT_EQ(weights_of(state, start).version, 2U);
    EXPECT_EQ(weights_of(state, start + seconds(5)).version, 1U);
}

// Guards against a report that two entries pass on wiping out what was sent to
// the endpoint between the two.
TEST(endpoint_book, a_report_that_was_passed_on_counts_once)
{
    endpoint_table book;
    put(book, engine("a"));
    auto const came = start - milliseconds(150);
    note_relayed_report(book, "10.0.0.1", {.running = 3}, came);
    note_request_begun(book, "a", start);
    auto const& state = book.endpoints.at("a");
    note_relayed_report(
        book, "10.0.0.1", {.running = 3}, came + milliseconds(3));
    EXPECT_EQ(state.own_change, 1);
    note_relayed_report(
        book, "10.0.0.1", {.running = 9}, came - milliseconds(100));
    EXPECT_EQ(state.report->running, 3U);
    note_relayed_report(
        book, "10.0.0.1", {.running = 5}, came + milliseconds(100));
    EXPECT_EQ(state.report->running, 5U);
    EXPECT_EQ(state.reported, came + milliseconds(100));
    // It came before the request was sent, and cannot show it.
    EXPECT_EQ(state.own_change, 1);
    note_relayed_report(
        book, "10.0.0.1", {.running = 6}, start + milliseconds(100));
    EXPECT_EQ(state.own_change, 0);
}

// The address of an endpoint that ended is used again by another. The report
// on the old one must not speak for the new one.
TEST(endpoint_book, a_report_does_not_outlive_its_address)
{
    endpoint_table book;
    put(book, engine("a"));
    note_report(book, "10.0.0.1", {.weights = {"m", 2, true}}, start);
    put(book, engine("a", "10.0.0.2:80"));
    EXPECT_EQ(weights_of(book.endpoints.at("a"), start).version, 1U);
}

TEST(versions, an_older_one_is_allowed_until_its_time)
{
    endpoint_table book;
    announce_version(book, "m", {2, start, start + seconds(7)});
    announce_version(book, "m", {3, start, start + seconds(11)});
    EXPECT_FALSE(announce_version(book, "m", {2, start, start}));
    auto const oldest_allowed = [&book](char const* model, seconds passed)
    {
        std::uint64_t version = 0;
        while (version_retires_at(book, model, version) &&
               *version_retires_at(book, model, version) <= start + passed)
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
    endpoint_table book;
    EXPECT_FALSE(version_retires_at(book, "m", 1));
    EXPECT_FALSE(superseded_at(book, "m", 1));
    announce_version(book, "m", {2, start, start + seconds(7)});
    announce_version(book, "m", {3, start + seconds(4), start + seconds(11)});
    EXPECT_EQ(version_retires_at(book, "m", 1), start + seconds(7));
    EXPECT_EQ(version_retires_at(book, "m", 2), start + seconds(11));
    EXPECT_FALSE(version_retires_at(book, "m", 3));
    EXPECT_EQ(superseded_at(book, "m", 1), start);
    EXPECT_EQ(superseded_at(book, "m", 2), start + seconds(4));
    EXPECT_FALSE(superseded_at(book, "m", 3));
    EXPECT_FALSE(version_retires_at(book, "other", 1));
}

// An entry that hears of versions in a row from others that knew them longer
// may count the later one's time shorter than the first one's.
TEST(versions, the_use_of_one_ends_when_it_is_no_longer_allowed)
{
    endpoint_table book;
    announce_version(book, "m", {2, start, start + seconds(9)});
    announce_version(book, "m", {3, start, start + seconds(8)});
    EXPECT_EQ(version_retires_at(book, "m", 1), start + seconds(8));
    EXPECT_EQ(version_retires_at(book, "m", 2), start + seconds(8));
    EXPECT_FALSE(version_retires_at(book, "m", 3));
}

TEST(use, an_endpoint_that_cannot_be_reached_is_left_alone_longer_each_time)
{
    endpoint_table book;
    put(book, engine("a"));
    auto& state = book.endpoints.at("a");
    note_request_begun(book, "a", start);
    note_request_ended(book, "a", request_outcome::not_connected, start);
    auto const first = state.avoid_until;
    EXPECT_GT(first, start);
    note_request_begun(book, "a", first);
    note_request_ended(book, "a", request_outcome::not_connected, first);
    EXPECT_GT(state.avoid_until - first, first - start);
}

// All machines lose power. Engines come back empty while the list still shows
// what they held; every request is turned away, and the repeats are spent.
TEST(use, an_engine_that_turned_a_request_away_is_left_alone_until_it_changes)
{
    endpoint_table book;
    put(book, engine("a"));
    auto const& state = book.endpoints.at("a");
    note_request_begun(book, "a", start);
    note_request_ended(book, "a", request_outcome::misdirected, start);
    EXPECT_GE(state.avoid_until, start + milliseconds(500));
    auto loaded = engine("a");
    loaded.weights.version = 2;
    put(book, loaded);
    EXPECT_LE(state.avoid_until, start);
}

TEST(use, silence_while_answers_are_owed_is_a_stall)
{
    endpoint_table book;
    put(book, engine("a"));
    auto const& state = book.endpoints.at("a");
    note_request_begun(book, "a", start);
    EXPECT_FALSE(is_stalled(state, start + milliseconds(400)));
    EXPECT_TRUE(is_stalled(state, start + milliseconds(600)));
    note_heard(book, "a", start + milliseconds(550));
    EXPECT_FALSE(is_stalled(state, start + milliseconds(600)));
    note_request_ended(book, "a", request_outcome::answered, start + milliseconds(700));
    EXPECT_FALSE(is_stalled(state, start + seconds(60)));
}

// An engine is emptied and taken away while a version is named. Its agent would
// be told to draw chunks for all the others, and it is stopped a moment later.
TEST(endpoint_book, agents_of_endpoints_that_leave_take_no_part)
{
    endpoint_record engine;
    engine.service = "s";
    EXPECT_TRUE(participates_in_transfer(engine, "s"));
    EXPECT_FALSE(participates_in_transfer(engine, "other"));
    engine.draining = true;
    EXPECT_FALSE(participates_in_transfer(engine, "s"));
}

} // namespace foxtailvale::direct
