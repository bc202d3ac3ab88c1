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

// One request at its time.
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
            planned.entry =
                settings.entries[schedule.size() % settings.entries.size()];
            planned.workspace = pick_workspace(settings, random);
            planned.prompt =
                "household " +
                std::to_string(base::random_below(random, settings.prompts));
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

json summarise(std::vector<request_record> const& records)
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
        {"bookings", std::move(bookings)},
        {"records", std::move(all)}};
}

} // namespace

json run_load(load_settings const& settings)
{
    auto const schedule = make_schedule(settings);
    std::vector<request_record> records(schedule.size());
    std::vector<std::thread> threads;
    auto const started_ms = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    auto const start = clock::now();
    auto record = records.begin();
    for (auto const& next : schedule)
    {
        std::this_thread::sleep_until(start + next.at);
        threads.emplace_back(
            [&settings, &next, &into = *record]
            {
                into = make_request(settings, next.planned);
                into.begun = std::chrono::duration_cast<milliseconds>(next.at);
            });
        ++record;
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    auto report = summarise(records);
    report["started_ms"] = started_ms.count();
    return report;
}

} // namespace foxtailvale::load
