#include <direct/placement.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <vector>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

// Of each entry, for the endpoint.
constexpr int requests_per_second = 20;

struct played_limit
{
    double per_second = 1;
    std::size_t entries = 8;
    // So many of the entries know only every other one.
    std::size_t uninformed = 0;
    seconds time{60};
};

// An entry before one endpoint that names its limit in each answer.
struct limited_entry
{
    endpoint_table table;
    placement_query query;
    std::set<std::string> known;
    share_cache parts;
    std::deque<base::time_point> answers;
};

std::string name_of(std::size_t number)
{
    return "10.1." + std::to_string(number / 250) + "." +
           std::to_string(number % 250);
}

// All entries always have requests for the endpoint. Each of them was told of
// the limit before the start. Returns when requests were sent.
std::vector<base::time_point> play(played_limit const& course)
{
    std::vector<limited_entry> entries(course.entries);
    for (std::size_t number = 0; number < entries.size(); ++number)
    {
        auto& entry = entries[number];
        auto const step = number < course.uninformed ? 2U : 1U;
        for (std::size_t other = number % step; other < entries.size();
             other += step)
        {
            entry.known.insert(name_of(other));
        }
        endpoint_record record;
        record.id = "e";
        record.service = "s";
        record.address = "10.0.0.1:80";
        record.slots = 64;
        put(entry.table, record);
        note_named(
            entry.table.endpoints.at("e").limit, course.per_second, start,
            true);
        entry.query.service = "s";
        entry.query.all_sharers = entry.known.size();
        entry.query.all_entries = &entry.known;
        entry.query.own_entry = name_of(number);
        entry.query.limit_parts = &entry.parts;
    }
    std::vector<base::time_point> sent;
    base::random_state random{7};
    for (auto now = start; now < start + course.time;
         now += milliseconds(1000 / requests_per_second))
    {
        for (auto& entry : entries)
        {
            while (!entry.answers.empty() && entry.answers.front() <= now)
            {
                entry.answers.pop_front();
                note_request_ended(
                    entry.table, "e", request_outcome::answered, now);
                note_named(
                    entry.table.endpoints.at("e").limit, course.per_second, now,
                    true);
            }
            auto const found = choose(entry.table, entry.query, now, random);
            if (found.chosen != nullptr)
            {
                note_request_begun(entry.table, "e", now);
                entry.answers.push_back(now + milliseconds(100));
                sent.push_back(now);
            }
        }
    }
    return sent;
}

// Most requests in any four seconds.
std::size_t most_in_window(std::vector<base::time_point> const& sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last)
    {
        while (sent[last] - sent[first] > seconds(4))
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::size_t allowed(double per_second)
{
    return static_cast<std::size_t>(1.5 * 4 * per_second + 5);
}

} // namespace

class limited_fleet : public ::testing::TestWithParam<std::size_t>
{
};

// Guards against entries that each keep to a limit of their own, and together
// exceed that of the endpoint.
TEST_P(limited_fleet, keeps_to_the_sum)
{
    for (auto const rate : {0.0, 0.1, 0.5, 1.0, 1.9, 2.2, 10.0, 100.0})
    {
        auto const sent = play({.per_second = rate, .entries = GetParam()});
        EXPECT_LE(most_in_window(sent), allowed(rate)) << rate;
        // The endpoint is not left idle.
        auto const offered =
            requests_per_second * static_cast<double>(GetParam());
        EXPECT_GE(
            static_cast<double>(sent.size()), std::min(rate, offered) * 60 / 4)
            << rate;
        EXPECT_GE(sent.size(), 2U) << rate;
    }
}

// Guards against entries that take too large a part since they do not know all
// others.
TEST_P(limited_fleet, keeps_to_the_sum_though_two_know_half_of_the_others)
{
    for (auto const rate : {0.1, 1.0, 2.2, 10.0})
    {
        auto const sent =
            play({.per_second = rate, .entries = GetParam(), .uninformed = 2});
        EXPECT_LE(most_in_window(sent), allowed(rate)) << rate;
    }
}

INSTANTIATE_TEST_SUITE_P(
    entries, limited_fleet, ::testing::Values(1, 3, 8, 24, 100, 508));

// Guards against a limit that an answer from before it ends.
TEST(rate_limit, ends_with_an_answer_to_a_later_request_only)
{
    rate_limit limit;
    EXPECT_TRUE(note_named(limit, 1, start, true));
    EXPECT_FALSE(note_named(limit, 1, start + seconds(1), true));
    EXPECT_TRUE(note_named(limit, 2, start + seconds(2), true));
    EXPECT_FALSE(
        note_not_named(limit, start + seconds(2), start + milliseconds(2500)));
    EXPECT_TRUE(limit.per_second);
    EXPECT_TRUE(note_not_named(limit, start + seconds(3), start + seconds(4)));
    EXPECT_FALSE(limit.per_second);
    EXPECT_EQ(next_send(limit, {}), base::time_point());
}

// Guards against entries that tell each other of a limit that has ended, and
// keep it in force for good.
TEST(rate_limit, older_news_change_nothing)
{
    rate_limit limit;
    note_named(limit, 1, start, true);
    EXPECT_FALSE(note_ended(limit, start - seconds(1)));
    EXPECT_FALSE(note_named(limit, 5, start - seconds(2), false));
    EXPECT_EQ(limit.per_second, 1.0);
    EXPECT_TRUE(note_ended(limit, start + seconds(1)));
    EXPECT_FALSE(limit.first_hand);
    EXPECT_FALSE(note_named(limit, 1, start + milliseconds(500), false));
    EXPECT_FALSE(limit.per_second);
    EXPECT_TRUE(note_named(limit, 3, start + seconds(2), false));
    EXPECT_EQ(limit.per_second, 3.0);
}

// Guards against a request that waits for an endpoint that it knows to be at
// its limit, and against one that is refused though another endpoint may have
// room.
TEST(rate_limit, tells_when_there_is_room)
{
    endpoint_table table;
    endpoint_record record;
    record.service = "s";
    record.slots = 4;
    record.id = "a";
    put(table, record);
    placement_query query;
    query.service = "s";
    base::random_state random{1};
    auto& limit = table.endpoints.at("a").limit;
    note_named(limit, 0.5, start, true);
    note_request_begun(table, "a", start);
    auto const refused = choose(table, query, start, random);
    EXPECT_EQ(refused.chosen, nullptr);
    EXPECT_GE(refused.room_at, start + milliseconds(2500));
    auto const room_at = *refused.room_at;
    record.id = "b";
    put(table, record);
    EXPECT_EQ(choose(table, query, start, random).chosen->listed.id, "b");
    for (auto count = 0; count < 4; ++count)
    {
        note_request_begun(table, "b", start);
    }
    auto const busy = choose(table, query, start, random);
    EXPECT_EQ(busy.chosen, nullptr);
    EXPECT_FALSE(busy.room_at);
    EXPECT_EQ(choose(table, query, room_at, random).chosen->listed.id, "a");
}

} // namespace foxtailvale::direct
