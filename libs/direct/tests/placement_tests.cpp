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

// Engines e0, e1, ... at 10.0.0.N, alternating between two failure domains.
endpoint_table engines(std::size_t count)
{
    endpoint_table table;
    table.regions = {{"d0", "r0"}, {"d1", "r1"}};
    for (std::size_t number = 0; number < count; ++number)
    {
        auto const name = std::to_string(number);
        put(table, engine(
                       "e" + name, "10.0.0." + name + ":80",
                       "d" + std::to_string(number % 2)));
    }
    return table;
}

placement_query query_from(std::string domain)
{
    placement_query query;
    query.service = "s";
    query.model = "m";
    query.own_domain = std::move(domain);
    return query;
}

std::string chosen_id(endpoint_table const& table, placement_query const& query)
{
    base::random_state random{3};
    auto const found = choose(table, query, start, random);
    return found.chosen == nullptr ? "" : found.chosen->listed.id;
}

void report(
    endpoint_table& table,
    std::string const& address,
    std::uint32_t running,
    base::time_point at = start)
{
    load_report latest;
    latest.running = running;
    latest.weights = {"m", 1, true};
    note_report(table, address, latest, at);
}

// Two engines of the same domain with equal load. The first was just sent a
// prompt that takes 0.2 s to read.
endpoint_table engines_with_long_prompt()
{
    auto table = engines(3);
    table.domains_out.insert("d1");
    report(table, "10.0.0.0", 4);
    report(table, "10.0.0.2", 4);
    note_prompt_sent(table, "e0", 2000, start);
    return table;
}

// Number of requests of fifty that would go to the first engine.
int sends_to_first(endpoint_table const& table, base::time_point now)
{
    base::random_state random{3};
    auto query = query_from("d0");
    query.read_per_second = 10'000;
    auto sent = 0;
    for (auto number = 0; number < 50; ++number)
    {
        auto const found = choose(table, query, now, random);
        sent += found.chosen->listed.id == "e0" ? 1 : 0;
    }
    return sent;
}

} // namespace

TEST(placement, own_failure_domain_comes_first_while_it_has_room)
{
    auto table = engines(2);
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e0");
    EXPECT_EQ(chosen_id(table, query_from("d1")), "e1");
    report(table, "10.0.0.0", 12);
    report(table, "10.0.0.1", 2);
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e1");
}

// Failure: the free slots of endpoints that run nothing counted as capacity,
// and requests were admitted that no endpoint could take.
TEST(placement, free_slots_are_those_of_endpoints_in_service)
{
    auto const query = query_from("d0");
    auto table = engines(3);
    report(table, "10.0.0.0", 12);
    report(table, "10.0.0.1", 20);
    EXPECT_EQ(count_free_slots(table, query, start), 4U + 0U + 16U);
    table.endpoints.at("e2").listed.draining = true;
    EXPECT_EQ(count_free_slots(table, query, start), 4U);
    table.endpoints.at("e0").report->switching = true;
    EXPECT_EQ(count_free_slots(table, query, start), 0U);
}

TEST(placement, what_may_not_serve_is_never_chosen)
{
    auto query = query_from("d0");
    auto draining = engines(1);
    draining.endpoints.at("e0").listed.draining = true;
    EXPECT_EQ(chosen_id(draining, query), "");
    auto out = engines(1);
    out.domains_out.insert("d0");
    EXPECT_EQ(chosen_id(out, query), "");
    auto elsewhere = engines(1);
    query.regions = {"r1"};
    EXPECT_EQ(chosen_id(elsewhere, query), "");
    query.regions = {};
    auto partial = engines(1);
    partial.endpoints.at("e0").listed.weights.whole = false;
    EXPECT_EQ(chosen_id(partial, query), "");
    auto other = engines(1);
    other.endpoints.at("e0").listed.weights.model = "n";
    EXPECT_EQ(chosen_id(other, query), "");
}

// Failure: every placement ranks all entries for all engines.
TEST(placement, parts_are_worked_out_once_for_the_entries_that_are_known)
{
    constexpr std::size_t count = 138;
    auto table = engines(count);
    std::set<std::string> names;
    for (std::size_t entry = 0; entry < 148; ++entry)
    {
        names.insert("10.1.0." + std::to_string(entry));
    }
    share_cache shares;
    auto query = query_from("d0");
    query.entries = names.size();
    query.all_entries = &names;
    query.own_entry = "10.1.0.1";
    query.cold = {21, 5};
    query.parts = &shares;
    base::random_state random{1};
    choose(table, query, start, random);
    EXPECT_EQ(shares.evaluations, count);
    choose(table, query, start, random);
    EXPECT_EQ(shares.evaluations, count);
    names.insert("10.1.0.200");
    choose(table, query, start, random);
    EXPECT_EQ(shares.evaluations, 2 * count);
    // One domain loses its engines, then another one of the same size.
    table.domain_entries = {{"d8", {"10.1.0.8"}}, {"d9", {"10.1.0.9"}}};
    put(table, engine("e8", "10.0.8.1:80", "d8"));
    choose(table, query, start, random);
    auto const evaluations = shares.evaluations;
    EXPECT_GT(evaluations, 2 * count);
    remove(table, "e8", false, start);
    put(table, engine("e9", "10.0.9.1:80", "d9"));
    choose(table, query, start, random);
    EXPECT_GT(shares.evaluations, evaluations + count / 2);
}

// Failure: the estimated time to start grows with the fleet, and entries send
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
            auto table = engines(1);
            announce_version(table, "m", {2, start, ends});
            auto const now = ends - left;
            report(table, "10.0.0.0", 0, now);
            auto query = query_from("d0");
            query.entries = entries;
            query.expected = milliseconds(10);
            std::size_t senders = 0;
            for (std::size_t entry = 0; entry < entries; ++entry)
            {
                query.own_entry = "10.1.0." + std::to_string(entry);
                base::random_state random{entry};
                senders +=
                    choose(table, query, now, random).chosen != nullptr ? 1 : 0;
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
    // A fifth of the time for which a version may be used.
    EXPECT_LE(unused[410], milliseconds(1600));
}

// Failure: entries continue to send to paused engines, and the unread requests
// run after their callers have disconnected.
TEST(placement, an_engine_that_fell_silent_gets_a_request_to_try_now_and_then)
{
    for (std::size_t const entries : {8UL, 40UL, 148UL, 410UL})
    {
        auto table = engines(1);
        report(table, "10.0.0.0", 4);
        std::size_t tries = 0;
        std::size_t most_in_a_second = 0;
        for (auto second = 1; second <= 20; ++second)
        {
            auto const now = start + seconds(second);
            std::size_t senders = 0;
            for (std::size_t entry = 0; entry < entries; ++entry)
            {
                auto query = query_from("d0");
                query.entries = entries;
                query.own_entry = "10.1.0." + std::to_string(entry);
                base::random_state random{entry};
                senders +=
                    choose(table, query, now, random).chosen != nullptr ? 1 : 0;
            }
            tries += senders;
            most_in_a_second = std::max(most_in_a_second, senders);
        }
        EXPECT_LE(most_in_a_second, 6U) << entries << " entries";
        EXPECT_GE(tries, 2U) << entries << " entries";
    }
}

// Failures: a second request goes to an engine that still owes the answer to
// the probing one; an engine that answers is avoided for good.
TEST(placement, an_engine_that_is_tried_gets_nothing_more_until_it_answers)
{
    auto table = engines(1);
    report(table, "10.0.0.0", 4);
    auto const now = start + seconds(2);
    auto query = query_from("d0");
    query.own_entry = "10.1.0.1";
    base::random_state random{1};
    ASSERT_NE(choose(table, query, now, random).chosen, nullptr);
    note_request_begun(table, "e0", now);
    EXPECT_EQ(
        choose(table, query, now + milliseconds(1), random).chosen, nullptr);
    EXPECT_EQ(
        choose(table, query, now + milliseconds(400), random).chosen, nullptr);
    note_heard(table, "e0", now + milliseconds(450));
    EXPECT_NE(
        choose(table, query, now + milliseconds(460), random).chosen, nullptr);
}

// Failure: in a fleet of 34 entries at full load an engine's report shows a
// single free slot, and every entry has a waiting request. If all entries send
// theirs, 33 requests wait in the engine's queue for seconds.
TEST(placement, many_entries_do_not_all_take_the_same_free_slot)
{
    constexpr std::size_t entries = 34;
    std::vector<std::size_t> sent;
    std::set<std::string> ever;
    for (auto round = 0; round < 60; ++round)
    {
        auto const now = start + round * milliseconds(100);
        std::size_t senders = 0;
        for (std::size_t entry = 0; entry < entries; ++entry)
        {
            auto table = engines(1);
            load_report latest;
            latest.running = 15;
            latest.weights = {"m", 1, true};
            note_report(table, "10.0.0.0", latest, now);
            auto query = query_from("d0");
            query.entries = entries;
            query.own_entry = "10.1.0." + std::to_string(entry);
            base::random_state random{entry};
            if (choose(table, query, now, random).chosen != nullptr)
            {
                ++senders;
                ever.insert(query.own_entry);
            }
        }
        sent.push_back(senders);
    }
    EXPECT_LE(std::ranges::max(sent), 12U);
    std::ranges::sort(sent);
    EXPECT_GE(sent[sent.size() / 2], 2U);
    EXPECT_EQ(ever.size(), entries) << "an entry was never selected";
}

// The same fleet just before an older version retires: other entries may have
// sent requests on the same report, and requests queued behind those start too
// late.
TEST(placement, many_entries_stop_sooner_before_a_version_ends)
{
    auto table = engines(1);
    announce_version(
        table, "m", {2, start - seconds(7), start + milliseconds(1000)});
    report(table, "10.0.0.0", 0);
    auto query = query_from("d0");
    query.entries = 8;
    EXPECT_EQ(chosen_id(table, query), "e0");
    query.entries = 34;
    EXPECT_EQ(chosen_id(table, query), "");
}

// Failure: a newer version was announced long ago, one engine has not switched
// to it, and a caller is answered from retired weights.
TEST(placement, an_engine_on_a_version_past_its_time_gets_nothing)
{
    auto table = engines(2);
    announce_version(table, "m", {2, start - seconds(9), start - seconds(1)});
    base::random_state random{3};
    auto const none = choose(table, query_from("d0"), start, random);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, no_endpoint_reason::no_weights);
    table.endpoints.at("e1").listed.weights.version = 2;
    auto const found = choose(table, query_from("d0"), start, random);
    ASSERT_NE(found.chosen, nullptr);
    EXPECT_EQ(found.version, 2U);
}

// Failure: a version is announced and the machine is suspended for 5 s, during
// which its steady clock does not advance. Requests start on the older version
// for 5 s longer than at all other entries.
TEST(placement, a_suspend_counts_towards_the_end_of_an_older_version)
{
    auto table = engines(1);
    announce_version(
        table, "m", {2, start - seconds(2), start + milliseconds(5600)});
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e0");
    note_suspended(table, seconds(5));
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e0");
    note_suspended(table, milliseconds(400));
    EXPECT_EQ(chosen_id(table, query_from("d0")), "");
}

// Failure: all machines lose power and engines restart empty at the same
// addresses, while the list still shows their former weights. An entry that has
// just started sends to them by the list, every request is rejected, and the
// retry budget of all entries is spent.
TEST(placement, an_entry_that_just_started_waits_for_reports)
{
    auto table = engines(2);
    auto query = query_from("d0");
    query.newcomer = true;
    EXPECT_EQ(chosen_id(table, query), "");
    report(table, "10.0.0.1", 3);
    EXPECT_EQ(chosen_id(table, query), "e1");
    query.newcomer = false;
    EXPECT_EQ(chosen_id(table, query), "e0");
}

// Failure: an older version is about to retire. A request that is sent to a
// full engine waits in its queue, starts too late and is answered from retired
// weights.
TEST(placement, a_full_engine_gets_nothing_just_before_its_version_ends)
{
    auto table = engines(1);
    auto const ends = start + milliseconds(1000);
    announce_version(table, "m", {2, start - seconds(7), ends});
    report(table, "10.0.0.0", 4);
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e0");
    report(table, "10.0.0.0", 16);
    EXPECT_EQ(chosen_id(table, query_from("d0")), "");
    table.versions["m"].front().predecessor_retires_at =
        start + milliseconds(300);
    report(table, "10.0.0.0", 0);
    EXPECT_EQ(chosen_id(table, query_from("d0")), "");
}

// Failure: a request started on an older version after its retirement. The
// entry's estimates were not recorded, so that it was unclear whether the
// engine was fuller than reported, the report was old, or the retirement became
// known late.
TEST(placement, a_choice_tells_what_it_went_by)
{
    auto table = engines(1);
    load_report latest;
    latest.running = 9;
    latest.waiting = 3;
    latest.weights = {"m", 1, true};
    note_report(table, "10.0.0.0", latest, start);
    announce_version(table, "m", {2, start, start + seconds(7)});
    note_request_begun(table, "e0", start + milliseconds(100));
    auto query = query_from("d0");
    query.entries = 2;
    base::random_state random{3};
    auto const now = start + milliseconds(200);
    auto const found = choose(table, query, now, random);
    ASSERT_NE(found.chosen, nullptr);
    auto const& expected = found.expected;
    EXPECT_EQ(expected.slots, 16U);
    EXPECT_EQ(expected.work, 14U);
    EXPECT_EQ(expected.line, 3U);
    EXPECT_EQ(expected.report_age, milliseconds(200));
    EXPECT_GT(expected.begins, now);
    EXPECT_EQ(expected.ends, start + seconds(7));
    // The recorded estimate is the one that decides: the request is sent as
    // long as it starts before the retirement.
    auto const slack = *expected.ends - expected.begins;
    auto const last = now + slack - milliseconds(1);
    note_report(table, "10.0.0.0", latest, last);
    EXPECT_NE(choose(table, query, last, random).chosen, nullptr);
    note_report(table, "10.0.0.0", latest, now + slack);
    EXPECT_EQ(choose(table, query, now + slack, random).chosen, nullptr);
}

TEST(placement, a_choice_by_the_list_tells_that_it_had_no_report)
{
    auto table = engines(1);
    auto const query = query_from("d0");
    base::random_state random{3};
    auto const unreported = choose(table, query, start, random).expected;
    EXPECT_FALSE(unreported.report_age);
    EXPECT_FALSE(unreported.ends);
    report(table, "10.0.0.0", 12);
    auto const later = start + seconds(2);
    auto const stale = choose(table, query, later, random).expected;
    EXPECT_EQ(stale.report_age, seconds(2));
    EXPECT_EQ(stale.work, 0U);
}

// Failure: a request started on older weights after their retirement because it
// waited in the engine's queue for longer than estimated. The engine is sent
// the retirement time as the deadline, and a request that takes longer goes
// elsewhere. A request that takes longer than the whole time for which a
// version may be used is sent early enough to start.
TEST(placement, work_on_a_version_that_ends_has_its_end_as_deadline)
{
    auto table = engines(1);
    auto const ends = start + milliseconds(7000);
    auto query = query_from("d0");
    query.entries = 8;
    query.expected = milliseconds(1500);
    base::random_state random{3};
    EXPECT_FALSE(choose(table, query, start, random).work_deadline);
    announce_version(table, "m", {2, start - seconds(1), ends});
    auto const at = [&](milliseconds left)
    {
        report(table, "10.0.0.0", 0, ends - left);
        return choose(table, query, ends - left, random);
    };
    EXPECT_EQ(at(milliseconds(6000)).work_deadline, ends);
    EXPECT_EQ(at(milliseconds(1501)).work_deadline, ends);
    EXPECT_EQ(at(milliseconds(1500)).chosen, nullptr);
    query.expected = milliseconds(5000);
    EXPECT_EQ(at(milliseconds(5001)).work_deadline, ends);
    EXPECT_EQ(at(milliseconds(5000)).chosen, nullptr);
    EXPECT_EQ(at(milliseconds(3000)).chosen, nullptr);
    query.expected = milliseconds(8000);
    EXPECT_EQ(at(milliseconds(2999)).chosen, nullptr);
    ASSERT_NE(at(milliseconds(3000)).chosen, nullptr);
    EXPECT_FALSE(at(milliseconds(3000)).work_deadline);
    // A stream that continues on this version has no alternative.
    query.version = 1;
    EXPECT_EQ(at(milliseconds(1000)).work_deadline, ends);
    EXPECT_EQ(at(milliseconds(400)).chosen, nullptr);
}

// Failure: a stream breaks during a version change, is resumed elsewhere, and
// its rest comes from other weights than its beginning.
TEST(placement, a_stream_goes_on_with_its_version_only)
{
    auto table = engines(2);
    table.endpoints.at("e1").listed.weights.version = 2;
    auto query = query_from("d1");
    query.version = 1;
    EXPECT_EQ(chosen_id(table, query), "e0");
    query.version = 3;
    EXPECT_EQ(chosen_id(table, query), "");
}

TEST(placement, an_engine_that_switches_soon_gets_only_what_ends_before)
{
    auto table = engines(1);
    load_report latest;
    latest.weights = {"m", 1, true};
    latest.switches_at = start + milliseconds(800);
    note_report(table, "10.0.0.0", latest, start);
    auto query = query_from("d0");
    query.expected = milliseconds(500);
    EXPECT_EQ(chosen_id(table, query), "e0");
    query.expected = milliseconds(900);
    EXPECT_EQ(chosen_id(table, query), "");
    query.version = 1;
    EXPECT_EQ(chosen_id(table, query), "e0");
}

TEST(placement, a_silent_agents_engine_is_the_last_choice)
{
    auto table = engines(2);
    report(table, "10.0.0.0", 0);
    report(table, "10.0.0.1", 15);
    table.endpoints.at("e0").reported = start - seconds(2);
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e1");
    table.endpoints.erase("e1");
    EXPECT_EQ(chosen_id(table, query_from("d0")), "e0");
}

TEST(placement, full_engines_leave_the_request_waiting)
{
    auto table = engines(2);
    report(table, "10.0.0.0", 17);
    report(table, "10.0.0.1", 17);
    base::random_state random{3};
    auto const none = choose(table, query_from("d0"), start, random);
    EXPECT_EQ(none.chosen, nullptr);
    EXPECT_EQ(none.why, no_endpoint_reason::all_busy);
}

// Failure: an engine fails four of ten answers while its health check passes,
// and callers see errors for as long as it gets its full share.
TEST(placement, an_engine_whose_answers_are_faults_gets_little)
{
    auto table = engines(4);
    base::random_state random{7};
    std::map<std::string, int> counts;
    for (auto number = 0; number < 1000; ++number)
    {
        auto const now = start + milliseconds(number * 10);
        auto const found = choose(table, query_from("d0"), now, random);
        auto const id = found.chosen->listed.id;
        ++counts[id];
        note_request_begun(table, id, now);
        auto const faulty = id == "e0" && base::random_below(random, 10) < 4;
        note_request_ended(
            table, id,
            faulty ? request_outcome::faulty : request_outcome::answered, now);
    }
    EXPECT_LT(counts["e0"], counts["e2"] / 2);
}

// Failure: eight entries see the load 0.1 s late, all follow the same report,
// and one engine gets all requests until the next report.
TEST(placement, entries_with_the_same_report_do_not_herd)
{
    constexpr std::size_t entries = 8;
    std::vector<endpoint_table> tables(entries, engines(8));
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
            report(tables[entry], "10.0.0." + std::to_string(number), 4);
        }
    }
    for (auto round = 0; round < 3; ++round)
    {
        for (std::size_t entry = 0; entry < entries; ++entry)
        {
            auto const found =
                choose(tables[entry], query_from("d0"), start, seeds[entry]);
            note_request_begun(tables[entry], found.chosen->listed.id, start);
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

// Failure: requests follow a long prompt that the engine is still reading,
// while another engine has nothing to read. Half of the reports are lost, so
// that the last one is 0.2 s old.
TEST(placement, long_prompts_that_were_just_sent_count)
{
    auto const table = engines_with_long_prompt();
    auto const later = start + milliseconds(200);
    EXPECT_EQ(sends_to_first(table, start), 0);
    EXPECT_EQ(sends_to_first(table, later), 0);
    EXPECT_GT(sends_to_first(table, start + milliseconds(250)), 0);
}

// Failure: the machine is suspended, its steady clock does not advance, and
// prompts that were read long ago keep requests from an engine.
TEST(placement, a_suspend_ends_the_time_for_which_prompts_count)
{
    auto table = engines_with_long_prompt();
    note_suspended(table, seconds(5));
    EXPECT_GT(sends_to_first(table, start), 0);
}

// Failure: an endpoint starts again under its id, and what its former process
// was sent keeps requests from it.
TEST(placement, a_restarted_endpoint_has_no_prompts_to_read)
{
    auto table = engines_with_long_prompt();
    auto record = table.endpoints.at("e0").listed;
    record.started_ms = 1;
    put(table, record);
    EXPECT_GT(sends_to_first(table, start), 0);
}

// Failure: an entry that is alone, without reports, sends to engines that it
// knows to be busier than others.
TEST(placement, an_entry_without_reports_spreads_its_requests_evenly)
{
    auto table = engines(8);
    base::random_state random{3};
    for (auto number = 0; number < 40; ++number)
    {
        auto const found = choose(table, query_from("d0"), start, random);
        note_request_begun(table, found.chosen->listed.id, start);
    }
    std::set<std::uint32_t> running;
    for (auto const& [id, state] : table.endpoints)
    {
        if (state.listed.failure_domain == "d0")
        {
            running.insert(state.own_running);
        }
    }
    EXPECT_LE(*running.rbegin() - *running.begin(), 2U);
}

// Failure: seven of eight engines are gone, one returns empty, and all entries
// send their waiting requests to it within the same 0.1 s.
TEST(placement, an_engine_that_returns_is_not_overrun)
{
    constexpr std::size_t entries = 8;
    std::vector<endpoint_table> tables(entries, engines(1));
    std::uint32_t sent = 0;
    for (auto& table : tables)
    {
        report(table, "10.0.0.0", 0);
        auto query = query_from("d0");
        query.entries = entries;
        base::random_state random{5};
        for (auto waiting = 0; waiting < 20; ++waiting)
        {
            auto const found = choose(table, query, start, random);
            if (found.chosen != nullptr)
            {
                note_request_begun(table, found.chosen->listed.id, start);
                ++sent;
            }
        }
    }
    EXPECT_GE(sent, 16U);
    EXPECT_LE(sent, 24U);
}

// Under sustained overload there is always a queue. A request that has waited
// for half its goal is answered late and displaces another one, which is late
// in turn.
TEST(longest_wait, leaves_time_for_the_first_event)
{
    scheduling::measured_time first;
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(200));
    first = {milliseconds(240), milliseconds(40), true};
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(140));
    first = {milliseconds(900), milliseconds(40), true};
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(80));
    first = {milliseconds(20), milliseconds(4), true};
    EXPECT_EQ(max_wait(milliseconds(400), first), milliseconds(200));
}

// Failure: a caller that was refused comes back when its goal has expired. If
// it is served before new requests, one of them misses its goal in favour of an
// answer that is late anyway.
TEST(placement, callers_who_have_come_back_get_room_to_spare_only)
{
    auto table = engines(1);
    auto query = query_from("d0");
    query.depth = depth_for_expired_goal(16);
    report(table, "10.0.0.0", 14);
    EXPECT_EQ(chosen_id(table, query), "e0");
    report(table, "10.0.0.0", 15);
    EXPECT_EQ(chosen_id(table, query), "");
    query.depth = 0;
    EXPECT_EQ(chosen_id(table, query), "e0");
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
