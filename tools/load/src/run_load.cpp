#include "balancer.hpp"
#include "requests.hpp"

#include <base/random.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <thread>

namespace foxtailvale::load
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

char const* name_of(outcome ended)
{
    switch (ended)
    {
    case outcome::right:
        return "right";
    case outcome::wrong:
        return "wrong";
    case outcome::mixed:
        return "mixed";
    case outcome::lost:
        return "lost";
    case outcome::refused:
        return "refused";
    case outcome::failed:
        break;
    }
    return "failed";
}

// A request and its start time, relative to the start of the run.
struct scheduled_request
{
    microseconds at{0};
    planned_request planned;
};

std::string
pick_workspace(load_settings const& settings, base::random_state& random)
{
    std::uint64_t total = 0;
    for (auto const& workspace : settings.workspaces)
    {
        total += workspace.weight;
    }
    auto point = base::random_below(random, total);
    for (auto const& workspace : settings.workspaces)
    {
        if (point < workspace.weight)
        {
            return workspace.name;
        }
        point -= workspace.weight;
    }
    return settings.workspaces.front().name;
}

std::vector<scheduled_request> make_schedule(load_settings const& settings)
{
    std::vector<scheduled_request> schedule;
    base::random_state random{settings.seed};
    auto const add = [&](std::uint32_t rate, bool booking)
    {
        if (rate == 0)
        {
            return;
        }
        microseconds const step(1'000'000 / rate);
        for (microseconds at{0}; at < settings.duration; at += step)
        {
            planned_request planned;
            planned.booking = booking;
            planned.id = (booking ? "booking-" : "chat-") +
                         std::to_string(settings.seed) + "-" +
                         std::to_string(schedule.size());
            planned.workspace = pick_workspace(settings, random);
            planned.prompt =
                "household " +
                std::to_string(base::random_below(random, settings.prompts));
            planned.slow_reader = !booking && base::random_below(random, 100) <
                                                  settings.slow_readers_percent;
            schedule.push_back({at, std::move(planned)});
        }
    };
    add(settings.chats_per_second, false);
    add(settings.bookings_per_second, true);
    std::ranges::stable_sort(schedule, {}, &scheduled_request::at);
    return schedule;
}

double percentile(std::vector<microseconds> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::ranges::sort(values);
    auto const last = static_cast<double>(values.size() - 1);
    auto const index = static_cast<std::size_t>(std::lround(part * last));
    return static_cast<double>(values[index].count()) / 1000;
}

json latencies(
    std::vector<request_record> const& records,
    microseconds request_record::*member)
{
    std::vector<microseconds> values;
    for (auto const& record : records)
    {
        if (record.ended == outcome::right && !record.booking)
        {
            values.push_back(record.*member);
        }
    }
    return {
        {"p50_ms", percentile(values, 0.50)},
        {"p95_ms", percentile(values, 0.95)},
        {"p99_ms", percentile(values, 0.99)}};
}

// Returns one row per second of the run: the counts of outcomes and the
// latencies of the first token.
json rows_by_second(std::vector<request_record> const& records)
{
    std::map<std::int64_t, std::vector<request_record>> seconds;
    for (auto const& record : records)
    {
        seconds[record.begun.count() / 1000].push_back(record);
    }
    json rows = json::array();
    for (auto const& [second, records_in_second] : seconds)
    {
        std::map<std::string, std::uint64_t> outcomes;
        for (auto const& record : records_in_second)
        {
            ++outcomes[name_of(record.ended)];
        }
        rows.push_back(
            {{"second", second},
             {"outcomes", outcomes},
             {"first_token",
              latencies(records_in_second, &request_record::first_token)}});
    }
    return rows;
}

json record_json(request_record const& record)
{
    return {
        {"id", record.id},
        {"entry", record.entry},
        {"booking", record.booking},
        {"ended", name_of(record.ended)},
        {"error", record.error},
        {"ran", record.ran},
        {"begun_ms", record.begun.count()},
        {"whole_ms",
         std::chrono::duration_cast<milliseconds>(record.whole).count()},
        {"generation", record.generation},
        {"digest", record.digest}};
}

json make_report(std::vector<request_record> const& records)
{
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> errors;
    json bookings = json::array();
    json all = json::array();
    for (auto const& record : records)
    {
        ++outcomes[name_of(record.ended)];
        if (!record.error.empty())
        {
            ++errors[record.error];
        }
        all.push_back(record_json(record));
        if (record.booking)
        {
            bookings.push_back(
                {{"id", record.id},
                 {"ended", name_of(record.ended)},
                 {"ran", record.ran}});
        }
    }
    return {
        {"requests", records.size()},
        {"outcomes", outcomes},
        {"errors", errors},
        {"first_token", latencies(records, &request_record::first_token)},
        {"whole", latencies(records, &request_record::whole)},
        {"by_second", rows_by_second(records)},
        {"bookings", std::move(bookings)},
        {"records", std::move(all)}};
}

// Sends the request to the entry that the load balancer picks. If the
// connection is refused, no part of the request was sent, so the next entry is
// tried, as a load balancer does.
request_record send_balanced(
    load_settings const& settings,
    balancer const& entries,
    planned_request planned,
    std::size_t number)
{
    request_record record;
    for (std::size_t tries = 0; tries < settings.entries.size(); ++tries)
    {
        planned.entry = entries.pick(number + tries);
        record = make_request(settings, planned);
        if (!record.unreachable)
        {
            break;
        }
    }
    return record;
}

} // namespace

json run_load(load_settings const& settings)
{
    auto const schedule = make_schedule(settings);
    balancer const entries(settings.entries, settings.readiness);
    std::vector<request_record> records(schedule.size());
    std::vector<std::thread> threads;
    auto const started_ms = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto const start = clock::now();
    for (std::size_t number = 0; number < schedule.size(); ++number)
    {
        auto const& next = schedule[number];
        std::this_thread::sleep_until(start + next.at);
        threads.emplace_back(
            [&, number]
            {
                records[number] = send_balanced(
                    settings, entries, schedule[number].planned, number);
                records[number].begun =
                    std::chrono::duration_cast<milliseconds>(
                        schedule[number].at);
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    auto report = make_report(records);
    report["started_ms"] = started_ms.count();
    return report;
}

} // namespace foxtailvale::load
