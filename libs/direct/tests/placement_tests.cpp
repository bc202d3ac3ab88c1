#include <direct/placement.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};

endpoint_record
engine(std::string const& id, std::string address, std::string domain)
{
    endpoint_record made;
    made.id = id;
    made.service = "s";
    made.address = std::move(address);
    made.failure_domain = std::move(domain);
    made.slots = 16;
    made.weights = {"m", 1, true};
    return made;
}

// Engines e0, e1, ... at 10.0.0.N, in two failure domains by turns.
endpoint_table engines(std::size_t count)
{
    endpoint_table book;
    book.regions = {{"d0", "r0"}, {"d1", "r1"}};
    for (std::size_t number = 0; number < count; ++number)
    {
        auto const name = std::to_string(number);
        put(book, engine(
                      "e" + name, "10.0.0." + name + ":80",
                      "d" + std::to_string(number % 2)));
    }
    return book;
}

placement_query ask_from(std::string domain)
{
    placement_query ask;
    ask.service = "s";
    ask.model = "m";
    ask.own_domain = std::move(domain);
    return ask;
}

std::string chosen_id(endpoint_table const& book, placement_query const& ask)
{
    base::random_state random{3};
    auto const found = choose(book, ask, start, random);
    return found.chosen == nullptr ? "" : found.chosen->listed.id;
}

void report(
    endpoint_table& book,
    std::string const& address,
    std::uint32_t running,
    base::time_point at = start)
{
    load_report said;
    said.running = running;
    said.weights = {"m", 1, true};
    note_report(book, address, said, at);
}

} // namespace

TEST(placement, own_failure_domain_comes_first_while_it_has_room)
{
    auto book = engines(2);
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e0");
    EXPECT_EQ(chosen_id(book, ask_from("d1")), "e1");
    report(book, "10.0.0.0", 12);
    report(book, "10.0.0.1", 2);
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e1");
}

TEST(placement, what_may_not_serve_is_never_chosen)
{
    auto ask = ask_from("d0");
    auto draining = engines(1);
    draining.endpoints.at("e0").listed.draining = true;
    EXPECT_EQ(chosen_id(draining, ask), "");
    auto out = engines(1);
    out.domains_out.insert("d0");
    EXPECT_EQ(chosen_id(out, ask), "");
    auto elsewhere = engines(1);
    ask.regions = {"r1"};
    EXPECT_EQ(chosen_id(elsewhere, ask), "");
    ask.regions = {};
    auto part = engines(1);
    part.endpoints.at("e0").listed.weights.whole = false;
    EXPECT_EQ(chosen_id(part, ask), "");
    auto other = engines(1);
    other.endpoints.at("e0").listed.weights.model = "n";
    EXPECT_EQ(chosen_id(other, ask), "");
}

// Guards against choices that rank all entries for all engines each time.
TEST(placement, parts_are_worked_out_once_for_the_entries_that_are_known)
{
    constexpr std::size_t count = 138;
    auto book = engines(count);
    std::set<std::string> names;
    for (std::size_t entry = 0; entry < 148; ++entry)
    {
        names.insert("10.1.0." + std::to_string(entry));
    }
    share_cache parts;
    auto ask = ask_from("d0");
    ask.entries = names.size();
    ask.all_entries = &names;
    ask.own_entry = "10.1.0.1";
    ask.cold = {21, 5};
    ask.parts = &parts;
    base::random_state random{1};
    choose(book, ask, start, random);
    EXPECT_EQ(parts.asked, count);
    choose(book, ask, start, random);
    EXPECT_EQ(parts.asked, count);
    names.insert("10.1.0.200");
    choose(book, ask, start, random);
    EXPECT_EQ(parts.asked, 2 * count);
    // One domain has no engines any more, then another one of the same size.
    book.domain_entries = {{"d8", {"10.1.0.8"}}, {"d9", {"10.1.0.9"}}};
    put(book, engine("e8", "10.0.8.1:80", "d8"));
    choose(book, ask, start, random);
    auto const asked = parts.asked;
    EXPECT_GT(asked, 2 * count);
    remove(book, "e8", false, start);
    put(book, engine("e9", "10.0.9.1:80", "d9"));
    choose(book, ask, start, random);
    EXPECT_GT(parts.asked, asked + count / 2);
}

// Guards against a time to begin that grows with the fleet: entries would send
// nothing to an engine for the last seconds of its version.
TEST(placement, an_older_version_is_used_as_long_in_a_large_fleet)
{
    std::map<std::size_t, milliseconds> unused;
    auto const ends = start + seconds(8);
    for (std::size_t const entries : {8UL, 40UL, 148UL, 410UL})
    {
        for (auto left = milliseconds(50); left < milliseconds(8000);
             left += milliseconds(50))
        {
            auto book = engines(1);
            announce_version(book, "m", {2, start, ends});
            auto const now = ends - left;
            report(book, "10.0.0.0", 0, now);
            auto ask = ask_from("d0");
            ask.entries = entries;
            ask.expected = milliseconds(10);
            std::size_t senders = 0;
            for (std::size_t entry = 0; entry < entries; ++entry)
            {
                ask.own_entry = "10.1.0." + std::to_string(entry);
                base::random_state random{entry};
                senders +=
                    choose(book, ask, now, random).chosen != nullptr ? 1 : 0;
            }
            if (senders > 0)
            {
                unused[entries] = left;
                break;
            }
        }
    }
    EXPECT_EQ(unused[40], unused[148]);
    EXPECT_EQ(unused[148], unused[410]);
    // A fifth of the time that a version has.
    EXPECT_LE(unused[410], milliseconds(1600));
}

// Guards against entries that go on sending to engines which stand still: what
// lies unread there runs after its callers have left.
TEST(placement, an_engine_that_fell_silent_gets_a_request_to_try_now_and_then)
{
    for (std::size_t const entries : {8UL, 40UL, 148UL, 410UL})
    {
        auto book = engines(1);
        report(book, "10.0.0.0", 4);
        std::size_t tries = 0;
        std::size_t most_in_a_second = 0;
        for (auto second = 1; second <= 20; ++second)
        {
            auto const now = start + seconds(second);
            std::size_t senders = 0;
            for (std::size_t entry = 0; entry < entries; ++entry)
            {
                auto ask = ask_from("d0");
                ask.entries = entries;
                ask.own_entry = "10.1.0." + std::to_string(entry);
                base::random_state random{entry};
                senders +=
                    choose(book, ask, now, random).chosen != nullptr ? 1 : 0;
            }
            tries += senders;
            most_in_a_second = std::max(most_in_a_second, senders);
        }
        EXPECT_LE(most_in_a_second, 6U) << entries << " entries";
        EXPECT_GE(tries, 2U) << entries << " entries";
    }
}

// Guards against a second request to an engine that owes the answer to the one
// that tries it, and against one that answers being left alone for good.
TEST(placement, an_engine_that_is_tried_gets_nothing_more_until_it_answers)
{
    auto book = engines(1);
    report(book, "10.0.0.0", 4);
    auto const now = start + seconds(2);
    auto ask = ask_from("d0");
    ask.own_entry = "10.1.0.1";
    base::random_state random{1};
    ASSERT_NE(choose(book, ask, now, random).chosen, nullptr);
    note_request_begun(book, "e0", now);
    EXPECT_EQ(choose(book, ask, now + milliseconds(1), random).chosen, nullptr);
    EXPECT_EQ(
        choose(book, ask, now + milliseconds(400), random).chosen, nullptr);
    note_heard(book, "e0", now + milliseconds(450));
    EXPECT_NE(
        choose(book, ask, now + milliseconds(460), random).chosen, nullptr);
}

// A fleet of 34 entries at full load. One engine's report shows a single free
// slot, and every entry has a request that waits for room. Sent by all of them,
// 33 requests stand in the engine's queue for seconds.
TEST(placement, many_entries_do_not_all_take_the_same_free_slot)
{
    constexpr std::size_t entries = 34;
    std::vector<std::size_t> sent;
    std::set<std::string> ever;
    for (auto draw = 0; draw < 60; ++draw)
    {
        auto const now = start + draw * milliseconds(100);
        std::size_t senders = 0;
        for (std::size_t entry = 0; entry < entries; ++entry)
        {
            auto book = engines(1);
            load_report said;
            said.running = 15;
            said.weights = {"m", 1, true};
            note_report(book, "10.0.0.0", said, now);
            auto ask = ask_from("d0");
            ask.entries = entries;
            ask.own_entry = "10.1.0." + std::to_string(entry);
            base::random_state random{entry};
            if (choose(book, ask, now, random).chosen != nullptr)
            {
                ++senders;
                ever.insert(ask.own_entry);
            }
        }
        sent.push_back(senders);
    }
    EXPECT_LE(std::ranges::max(sent), 12U);
    std::ranges::sort(sent);
    EXPECT_GE(sent[sent.size() / 2], 2U);
    EXPECT_EQ(ever.size(), entries) << "some entry never had its turn";
}

// The same fleet just before an older version's time ends: others may have sent
// to the engine on the same report, and what waits behind them begins too late.
TEST(placement, many_entries_stop_sooner_before_a_version_ends)
{
    auto book = engines(1);
    announce_version(
        book, "m", {2, start - seconds(7), start + milliseconds(1000)});
    report(book, "10.0.0.0", 0);
    auto ask = ask_from("d0");
    ask.entries = 8;
    EXPECT_EQ(chosen_id(book, ask), "e0");
    ask.entries = 34;
    EXPECT_EQ(chosen_id(book, ask), "");
}

// A newer version was named long ago and one engine has not reached it. A
// caller would be answered from weights that operators withdrew.
TEST(placement, an_engine_on_a_version_past_its_time_gets_nothing)
{
    auto book = engines(2);
    announce_version(book, "m", {2, start - seconds(9), start - seconds(1)});
    base::random_state random{3};
    auto const none = choose(book, ask_from("d0"), start, random);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, no_endpoint_reason::no_weights);
    book.endpoints.at("e1").listed.weights.version = 2;
    auto const found = choose(book, ask_from("d0"), start, random);
    ASSERT_NE(found.chosen, nullptr);
    EXPECT_EQ(found.version, 2U);
}

// A version is named and the machine is suspended for five seconds. Its steady
// clock stood still: counted on it alone, requests would begin on the older
// version five seconds after everybody else has stopped.
TEST(placement, a_suspend_counts_towards_the_end_of_an_older_version)
{
    auto book = engines(1);
    announce_version(
        book, "m", {2, start - seconds(2), start + milliseconds(5600)});
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e0");
    note_suspended(book, seconds(5));
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e0");
    note_suspended(book, milliseconds(400));
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "");
}

// All machines lose power. The list still shows engines that held weights; they
// are back at the same addresses with nothing. An entry that has just started
// sends to them by the list, each turns its requests away, and the repeats that
// all entries share are spent.
TEST(placement, an_entry_that_just_started_waits_for_reports)
{
    auto book = engines(2);
    auto ask = ask_from("d0");
    ask.newcomer = true;
    EXPECT_EQ(chosen_id(book, ask), "");
    report(book, "10.0.0.1", 3);
    EXPECT_EQ(chosen_id(book, ask), "e1");
    ask.newcomer = false;
    EXPECT_EQ(chosen_id(book, ask), "e0");
}

// The time of an older version is nearly over. A request sent to a full engine
// waits in its queue and begins after that time: its caller is answered from
// weights that were withdrawn.
TEST(placement, a_full_engine_gets_nothing_just_before_its_version_ends)
{
    auto book = engines(1);
    auto const ends = start + milliseconds(1000);
    announce_version(book, "m", {2, start - seconds(7), ends});
    report(book, "10.0.0.0", 4);
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e0");
    report(book, "10.0.0.0", 16);
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "");
    book.versions["m"].front().older_until = start + milliseconds(300);
    report(book, "10.0.0.0", 0);
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "");
}

// A request began on an older version after its time. What the entry had
// counted on was nowhere to be read, so nobody could say whether the engine was
// fuller than reported, the report old, or the end learned late.
TEST(placement, a_choice_tells_what_it_went_by)
{
    auto book = engines(1);
    load_report said;
    said.running = 9;
    said.waiting = 3;
    said.weights = {"m", 1, true};
    note_report(book, "10.0.0.0", said, start);
    announce_version(book, "m", {2, start, start + seconds(7)});
    note_request_begun(book, "e0", start + milliseconds(100));
    auto ask = ask_from("d0");
    ask.entries = 2;
    base::random_state random{3};
    auto const now = start + milliseconds(200);
    auto const found = choose(book, ask, now, random);
    ASSERT_NE(found.chosen, nullptr);
    auto const& expected = found.expected;
    EXPECT_EQ(expected.slots, 16U);
    EXPECT_EQ(expected.work, 14U);
    EXPECT_EQ(expected.line, 3U);
    EXPECT_EQ(expected.report_age, milliseconds(200));
    EXPECT_GT(expected.begins, now);
    EXPECT_EQ(expected.ends, start + seconds(7));
    // What it expects is what decides: it is sent as long as it begins before
    // the end.
    auto const slack = *expected.ends - expected.begins;
    auto const last = now + slack - milliseconds(1);
    note_report(book, "10.0.0.0", said, last);
    EXPECT_NE(choose(book, ask, last, random).chosen, nullptr);
    note_report(book, "10.0.0.0", said, now + slack);
    EXPECT_EQ(choose(book, ask, now + slack, random).chosen, nullptr);
}

TEST(placement, a_choice_by_the_list_tells_that_it_had_no_report)
{
    auto book = engines(1);
    auto const ask = ask_from("d0");
    base::random_state random{3};
    auto const unreported = choose(book, ask, start, random).expected;
    EXPECT_FALSE(unreported.report_age);
    EXPECT_FALSE(unreported.ends);
    report(book, "10.0.0.0", 12);
    auto const later = start + seconds(2);
    auto const stale = choose(book, ask, later, random).expected;
    EXPECT_EQ(stale.report_age, seconds(2));
    EXPECT_EQ(stale.work, 0U);
}

// A request began on older weights after their time: it stood in the engine's
// line for longer than thought. The engine is handed the version's end as the
// deadline, so a request that needs longer than that goes elsewhere; one that
// needs longer than a version has after the next one's naming goes in good time
// to begin.
TEST(placement, work_on_a_version_that_ends_has_its_end_as_deadline)
{
    auto book = engines(1);
    auto const ends = start + milliseconds(7000);
    auto ask = ask_from("d0");
    ask.entries = 8;
    ask.expected = milliseconds(1500);
    base::random_state random{3};
    EXPECT_FALSE(choose(book, ask, start, random).works_until);
    announce_version(book, "m", {2, start - seconds(1), ends});
    auto const at = [&](milliseconds left)
    {
        report(book, "10.0.0.0", 0, ends - left);
        return choose(book, ask, ends - left, random);
    };
    EXPECT_EQ(at(milliseconds(6000)).works_until, ends);
    EXPECT_EQ(at(milliseconds(1501)).works_until, ends);
    EXPECT_EQ(at(milliseconds(1500)).chosen, nullptr);
    ask.expected = milliseconds(5000);
    EXPECT_EQ(at(milliseconds(5001)).works_until, ends);
    EXPECT_EQ(at(milliseconds(5000)).chosen, nullptr);
    EXPECT_EQ(at(milliseconds(3000)).chosen, nullptr);
    ask.expected = milliseconds(8000);
    EXPECT_EQ(at(milliseconds(2999)).chosen, nullptr);
    ASSERT_NE(at(milliseconds(3000)).chosen, nullptr);
    EXPECT_FALSE(at(milliseconds(3000)).works_until);
    // A stream that goes on has nowhere else to go.
    ask.version = 1;
    EXPECT_EQ(at(milliseconds(1000)).works_until, ends);
    EXPECT_EQ(at(milliseconds(400)).chosen, nullptr);
}

// A stream is cut in the middle of a version change and goes on elsewhere.
// Its rest must come from the weights that it began with.
TEST(placement, a_stream_goes_on_with_its_version_only)
{
    auto book = engines(2);
    book.endpoints.at("e1").listed.weights.version = 2;
    auto ask = ask_from("d1");
    ask.version = 1;
    EXPECT_EQ(chosen_id(book, ask), "e0");
    ask.version = 3;
    EXPECT_EQ(chosen_id(book, ask), "");
}

TEST(placement, an_engine_that_switches_soon_gets_only_what_ends_before)
{
    auto book = engines(1);
    load_report said;
    said.weights = {"m", 1, true};
    said.switches_at = start + milliseconds(800);
    note_report(book, "10.0.0.0", said, start);
    auto ask = ask_from("d0");
    ask.expected = milliseconds(500);
    EXPECT_EQ(chosen_id(book, ask), "e0");
    ask.expected = milliseconds(900);
    EXPECT_EQ(chosen_id(book, ask), "");
    ask.version = 1;
    EXPECT_EQ(chosen_id(book, ask), "e0");
}

TEST(placement, a_silent_agents_engine_is_the_last_choice)
{
    auto book = engines(2);
    report(book, "10.0.0.0", 0);
    report(book, "10.0.0.1", 15);
    book.endpoints.at("e0").reported = start - seconds(2);
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e1");
    book.endpoints.erase("e1");
    EXPECT_EQ(chosen_id(book, ask_from("d0")), "e0");
}

TEST(placement, full_engines_leave_the_request_waiting)
{
    auto book = engines(2);
    report(book, "10.0.0.0", 17);
    report(book, "10.0.0.1", 17);
    base::random_state random{3};
    auto const none = choose(book, ask_from("d0"), start, random);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, no_endpoint_reason::all_busy);
}

// One engine fails four answers in ten while its health is good. Its callers
// see faults for as long as it gets its share.
TEST(placement, an_engine_whose_answers_are_faults_gets_little)
{
    auto book = engines(4);
    base::random_state random{7};
    std::map<std::string, int> counts;
    for (auto number = 0; number < 1000; ++number)
    {
        auto const now = start + milliseconds(number * 10);
        auto const found = choose(book, ask_from("d0"), now, random);
        auto const id = found.chosen->listed.id;
        ++counts[id];
        note_request_begun(book, id, now);
        auto const faulty = id == "e0" && base::random_below(random, 10) < 4;
        note_request_ended(book, id, faulty ? request_outcome::faulty : request_outcome::answered, now);
    }
    EXPECT_LT(counts["e0"], counts["e2"] / 2);
}

// Eight entries see the load a tenth of a second late. If all follow the same
// report, one engine gets everything until the next one.
TEST(placement, entries_with_the_same_report_do_not_herd)
{
    constexpr std::size_t entries = 8;
    std::vector<endpoint_table> books(entries, engines(8));
    std::vector<base::random_state> seeds;
    for (std::size_t entry = 0; entry < entries; ++entry)
    {
        seeds.push_back({entry + 1});
    }
    std::map<std::string, std::uint32_t> running;
    for (std::size_t entry = 0; entry < entries; ++entry)
    {
        for (auto number = 0; number < 8; ++number)
        {
            report(books[entry], "10.0.0." + std::to_string(number), 4);
        }
    }
    for (auto round = 0; round < 3; ++round)
    {
        for (std::size_t entry = 0; entry < entries; ++entry)
        {
            auto const found =
                choose(books[entry], ask_from("d0"), start, seeds[entry]);
            note_request_begun(books[entry], found.chosen->listed.id, start);
            ++running[found.chosen->listed.id];
        }
    }
    auto const most = std::ranges::max_element(
        running, {},
        [](auto const& entry)
        {
            return entry.second;
        });
    // 24 requests for the four engines of the domain: six each on average.
    EXPECT_LE(most->second, 10U);
}

// Seven of eight engines are gone when one comes back empty, and every entry
// has requests waiting. All are sent there within the same tenth of a second.
TEST(placement, an_engine_that_returns_is_not_overrun)
{
    constexpr std::size_t entries = 8;
    std::vector<endpoint_table> books(entries, engines(1));
    std::uint32_t sent = 0;
    for (auto& book : books)
    {
        report(book, "10.0.0.0", 0);
        auto ask = ask_from("d0");
        ask.entries = entries;
        base::random_state random{5};
        for (auto waiting = 0; waiting < 20; ++waiting)
        {
            auto const found = choose(book, ask, start, random);
            if (found.chosen != nullptr)
            {
                note_request_begun(book, found.chosen->listed.id, start);
                ++sent;
            }
        }
    }
    EXPECT_GE(sent, 16U);
    EXPECT_LE(sent, 24U);
}

// Lasting overload: there is always a line. What has waited half its goal is
// answered late and has taken the place of another that is late in turn.
TEST(longest_wait, leaves_time_for_the_first_event)
{
    request::measured_time first;
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(200));
    first = {milliseconds(240), milliseconds(40), true};
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(140));
    first = {milliseconds(900), milliseconds(40), true};
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(80));
    first = {milliseconds(20), milliseconds(4), true};
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(200));
}

// A caller that was refused comes back when its goal is past. Served before
// fresh ones, it makes one of them late for an answer that is late itself.
TEST(placement, callers_who_have_come_back_get_room_to_spare_only)
{
    auto book = engines(1);
    auto ask = ask_from("d0");
    ask.depth = depth_for_expired_goal(16);
    report(book, "10.0.0.0", 14);
    EXPECT_EQ(chosen_id(book, ask), "e0");
    report(book, "10.0.0.0", 15);
    EXPECT_EQ(chosen_id(book, ask), "");
    ask.depth = 0;
    EXPECT_EQ(chosen_id(book, ask), "e0");
}

TEST(expected_time, grows_with_the_answer_and_falls_back_to_the_usual)
{
    routing::engine_costs costs;
    costs.slots = 16;
    costs.step = std::chrono::duration<double, std::milli>(6.73);
    costs.read_per_second = 30600;
    costs.usual_prompt = 964;
    costs.usual_answer = 119;
    auto const usual = expected_time(costs, 0, 0);
    EXPECT_GT(usual, milliseconds(800));
    EXPECT_LT(usual, milliseconds(2000));
    EXPECT_LT(expected_time(costs, 600, 30), usual);
    EXPECT_GT(expected_time(costs, 600, 300), usual);
}

} // namespace foxtailvale::direct
