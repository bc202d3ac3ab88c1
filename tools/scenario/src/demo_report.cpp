#include "demo_report.hpp"

#include "demo_plots.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;

// Time in seconds after which a failure domain that was taken out of service
// gets no new work.
constexpr double domain_out_limit_s = 2.0;

// Counts how often each booking ran, by the counters of the services.
std::map<std::string, std::uint64_t> booking_runs(fleet& running)
{
    std::map<std::string, std::uint64_t> runs;
    for (auto const& machine : running.vms())
    {
        if (machine.kind != vm_kind::booking)
        {
            continue;
        }
        auto const counters =
            running.required_page(machine.address, endpoint_port, "/counters");
        for (auto const& [id, count] : counters["runs"].items())
        {
            runs[id] += count.get<std::uint64_t>();
        }
    }
    return runs;
}

// Returns the number of copies that the origin sent of the version that it sent
// most bytes of.
double origin_copies(fleet& running, std::uint64_t model_bytes)
{
    auto const origin = running.required_page(
        store_address(running.layout()), origin_port, "/counters");
    std::uint64_t fetched_bytes = 0;
    for (auto const& [digest, version] : origin["versions"].items())
    {
        fetched_bytes =
            std::max(fetched_bytes, version["bytes_sent"].get<std::uint64_t>());
    }
    return static_cast<double>(fetched_bytes) /
           static_cast<double>(model_bytes);
}

json booking_rows(fleet& running, json const& bookings)
{
    auto const runs = booking_runs(running);
    std::uint64_t doubled = 0;
    for (auto const& [id, count] : runs)
    {
        doubled += count > 1 ? 1 : 0;
    }
    std::uint64_t denied = 0;
    for (auto const& booking : bookings)
    {
        auto const ran = runs.contains(booking["id"].get<std::string>());
        denied += booking["ran"] == "no" && ran ? 1 : 0;
    }
    return {{"bookings_doubled", doubled}, {"bookings_run_but_denied", denied}};
}

std::string table_row(std::string const& name, std::string const& value)
{
    return "<tr><td>" + name + "</td><td>" + value + "</td></tr>\n";
}

std::string page_text(json const& report, std::vector<std::string> const& plots)
{
    auto const broken = broken_promises(report);
    std::string text =
        "<!doctype html><meta charset=\"utf-8\"><title>foxtailvale demo</title>"
        "<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}"
        "td{padding:.2em 1em;border-bottom:1px solid #ddd}"
        "img{max-width:100%}</style>\n<h1>Demo of " +
        report["deployment"].get<std::string>() + "</h1>\n<p>";
    text += broken.empty() ? "All promises held." : "Broken promises:";
    for (auto const& promise : broken)
    {
        text += " " + promise;
    }
    text += "</p>\n<table>\n";
    for (auto const& [name, value] : report.items())
    {
        text += table_row(name, value.dump());
    }
    text += "</table>\n";
    for (auto const& plot : plots)
    {
        text += "<p><img src=\"" + plot + "\"></p>\n";
    }
    return text;
}

} // namespace

json make_report(fleet& running, findings const& found)
{
    auto const& load = found.load;
    auto const count = [&load](char const* outcome)
    {
        return load["outcomes"].value(outcome, std::uint64_t{0});
    };
    json report{
        {"deployment", running.layout().name},
        {"requests_total", load["requests"]},
        {"answers_total", count("right")},
        {"answers_wrong", count("wrong")},
        {"answers_lost", count("lost")},
        {"answers_refused", count("refused")},
        {"answers_failed", count("failed")},
        {"mixed_weights", count("mixed")},
        {"origin_copies", origin_copies(running, found.model_bytes)},
        {"vm_link_copies_max", found.vm_link_copies_max},
        {"seconds_to_replicas", found.seconds_to_replicas},
        {"seconds_to_version", found.seconds_to_version},
        {"domain_out_last_new_work_s", found.domain_out_last_new_work_s},
        {"config_in_force_s", found.config_in_force_s},
        {"first_token_p50_ms", load["first_token"]["p50_ms"]},
        {"first_token_p95_ms", load["first_token"]["p95_ms"]},
        {"p50_ms", load["whole"]["p50_ms"]},
        {"p95_ms", load["whole"]["p95_ms"]},
        {"errors", load["errors"]},
        {"orderly_restarts", found.orderly_restarts},
        {"orderly_stop", found.orderly_stop},
        {"in_time", found.in_time}};
    report.update(booking_rows(running, load["bookings"]));
    return report;
}

std::vector<std::string> broken_promises(json const& report)
{
    std::vector<std::string> broken;
    for (auto const* const name :
         {"answers_wrong", "answers_lost", "mixed_weights", "bookings_doubled",
          "bookings_run_but_denied"})
    {
        if (report[name] != 0)
        {
            broken.emplace_back(name);
        }
    }
    for (auto const* const name :
         {"orderly_restarts", "orderly_stop", "in_time"})
    {
        if (report[name] != true)
        {
            broken.emplace_back(name);
        }
    }
    if (report["answers_total"] == 0)
    {
        broken.emplace_back("answers_total");
    }
    if (report["domain_out_last_new_work_s"] > domain_out_limit_s)
    {
        broken.emplace_back("domain_out_last_new_work_s");
    }
    return broken;
}

void print_table(json const& report)
{
    for (auto const& [name, value] : report.items())
    {
        std::printf("  %-28s %s\n", name.c_str(), value.dump().c_str());
    }
}

void write_report(
    std::string const& folder, json const& report, findings const& found)
{
    std::ofstream(folder + "/report.json") << report.dump(2) << "\n";
    auto const plots = draw_plots(folder, found);
    std::ofstream(folder + "/report.html") << page_text(report, plots);
}

} // namespace foxtailvale::scenario
