#include "page.hpp"

#include "fleet_shape.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <set>
#include <stdexcept>

namespace foxtailvale::capacity
{

namespace
{

// Limits of the control overhead per node and of the platform's call rates,
// from CONTRIBUTING.md.
constexpr double core_share_limit = 3.2;
constexpr double memory_limit_mib = 128;
constexpr double bytes_limit = 4096;
constexpr double platform_reads_limit = 2000;
constexpr double platform_writes_limit = 300;
constexpr double target_requests = 1200;
constexpr double target_tokens = 480'000;
constexpr double no_limit = std::numeric_limits<double>::infinity();

std::string format(double value)
{
    if (std::isnan(value))
    {
        return "not measured";
    }
    char text[32];
    auto const digits = std::abs(value) < 10    ? 2
                        : std::abs(value) < 100 ? 1
                                                : 0;
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

// A quantity that grows with the fleet, for one role.
struct quantity
{
    std::string role;
    std::string what;
    std::string unit;
    double limit = no_limit;
    // Names of the samples that add up to the quantity.
    std::vector<std::string> parts;
    // Number of nodes to multiply the sum by; 1 for a quantity per node.
    double multiplier = 1;
};

std::vector<quantity> quantities()
{
    auto const entries = static_cast<double>(target_entries);
    return {
        {"entry",
         "processor time, core alone",
         "% of a core",
         core_share_limit,
         {"entry.control.core_share"}},
        {"entry",
         "processor time, process",
         "% of a core",
         core_share_limit,
         {"process.entry.core_share"}},
        {"entry",
         "messages and platform answers",
         "B/s",
         bytes_limit,
         {"entry.control.sent_bytes", "entry.control.received_bytes",
          "entry.platform.bytes"}},
        {"entry",
         "of these, between processes",
         "B/s",
         no_limit,
         {"entry.control.sent_bytes", "entry.control.received_bytes"}},
        {"entry",
         "frames",
         "frames/s",
         no_limit,
         {"entry.control.sent_frames", "entry.control.received_frames"}},
        {"entry",
         "state of the core",
         "B",
         memory_limit_mib * 1024 * 1024,
         {"entry.state.bytes"}},
        {"entry",
         "memory, process",
         "MiB",
         memory_limit_mib,
         {"process.entry.resident"}},
        {"planner entry",
         "processor time, core alone",
         "% of a core",
         core_share_limit,
         {"planner.control.core_share"}},
        {"planner entry",
         "messages and platform answers",
         "B/s",
         bytes_limit,
         {"planner.control.sent_bytes", "planner.control.received_bytes",
          "planner.platform.bytes"}},
        {"planner entry",
         "state of the core",
         "B",
         memory_limit_mib * 1024 * 1024,
         {"planner.state.bytes"}},
        {"agent",
         "processor time, core alone",
         "% of a core",
         core_share_limit,
         {"agent.control.core_share"}},
        {"agent",
         "processor time, process",
         "% of a core",
         core_share_limit,
         {"process.agent.core_share"}},
        {"agent",
         "messages",
         "B/s",
         bytes_limit,
         {"agent.control.sent_bytes", "agent.control.received_bytes"}},
        {"agent",
         "state of the core",
         "B",
         memory_limit_mib * 1024 * 1024,
         {"agent.state.bytes"}},
        {"agent",
         "memory, process with 1 MiB of weights",
         "MiB",
         memory_limit_mib,
         {"process.agent.resident"}},
        {"platform",
         "reads of all entries",
         "calls/s",
         platform_reads_limit,
         {"entry.platform.reads", "entry.platform.watches"},
         entries},
        {"platform",
         "writes of all planners",
         "calls/s",
         platform_writes_limit,
         {"planner.platform.writes"},
         target_domains},
    };
}

slope sum_of(samples const& all, quantity const& of)
{
    slope sum;
    sum.points = std::numeric_limits<std::size_t>::max();
    for (auto const& part : of.parts)
    {
        auto const line = slope_of(all, part);
        sum.intercept += line.intercept;
        sum.gradient += line.gradient;
        sum.points = std::min(sum.points, line.points);
    }
    return sum;
}

// Value at the target's size and how it was obtained: measured at that size,
// extrapolated, or the highest measured value.
struct target_value
{
    double value = std::numeric_limits<double>::quiet_NaN();
    std::string source;
};

// Sum of the highest values of the parts, each at any size.
double highest_measured(samples const& all, quantity const& of)
{
    double sum = 0;
    for (auto const& part : of.parts)
    {
        double max_value = 0;
        for (auto const& next : all)
        {
            max_value =
                next.name == part ? std::max(max_value, next.value) : max_value;
        }
        sum += max_value;
    }
    return sum;
}

target_value value_of(samples const& all, quantity const& of, slope const& line)
{
    target_value found;
    if (line.points < 2)
    {
        return found;
    }
    double sum = 0;
    for (auto const& part : of.parts)
    {
        sum += sample_value(all, part, target_endpoints);
    }
    found.source = "measured at this size";
    if (std::isnan(sum) && line.gradient > 0)
    {
        sum = value_at(line, target_endpoints);
        found.source = "extended along the slope";
    }
    else if (std::isnan(sum))
    {
        // A slope of zero or below is noise; extrapolating it could give a
        // negative value.
        sum = highest_measured(all, of);
        found.source = "highest measured; does not grow";
    }
    found.value = sum * of.multiplier;
    return found;
}

char const* verdict(double value, double limit)
{
    if (std::isnan(value))
    {
        return "not measured";
    }
    if (std::isinf(limit))
    {
        return "no limit of its own";
    }
    return value <= limit ? "met" : "**not met**";
}

// Formats the number of endpoints at which the line reaches the limit.
std::string size_at_limit(quantity const& of, slope const& line)
{
    if (std::isinf(of.limit) || line.points < 2)
    {
        return "";
    }
    auto const limit = of.limit / of.multiplier;
    if (line.intercept >= limit)
    {
        return "any";
    }
    if (line.gradient <= 0)
    {
        return "none";
    }
    return format((limit - line.intercept) / line.gradient);
}

std::string growth_table(samples const& all)
{
    std::string text =
        "| role | quantity | at none | each endpoint | at 1,500 | limit | "
        "verdict | breaks at endpoints | how |\n"
        "| --- | --- | ---: | ---: | ---: | ---: | --- | ---: | --- |\n";
    for (auto const& next : quantities())
    {
        auto const line = sum_of(all, next);
        auto const at_target = value_of(all, next, line);
        auto const limit = std::isinf(next.limit) ? "" : format(next.limit);
        char each[32];
        std::snprintf(
            each, sizeof each, "%.4g", line.gradient * next.multiplier);
        text += "| " + next.role + " | " + next.what + ", " + next.unit +
                " | " + format(line.intercept * next.multiplier) + " | " +
                each + " | " + format(at_target.value) + " | " + limit + " | " +
                verdict(at_target.value, next.limit) + " | " +
                size_at_limit(next, line) + " | " + at_target.source + " |\n";
    }
    return text;
}

// Cost of the peak load in the cores, excluding socket I/O.
std::string load_table(samples const& all)
{
    auto const at = [&all](char const* name)
    {
        return sample_value(all, name, target_endpoints);
    };
    auto const share = [&](char const* request, char const* token, double nodes)
    {
        auto const microseconds = at(request) * target_requests / nodes +
                                  at(token) * target_tokens / nodes;
        return format(microseconds / 1e6 * 100);
    };
    std::string text = "| role | one request, us | one token, us | share of a "
                       "core at the peak, % |\n"
                       "| --- | ---: | ---: | ---: |\n";
    text +=
        "| entry's core, before 1,500 endpoints | " +
        format(at("entry.step.request.us")) + " | " +
        format(at("entry.step.token.us")) + " | " +
        share("entry.step.request.us", "entry.step.token.us", target_entries) +
        " |\n";
    text +=
        "| agent's core | " + format(at("agent.step.run.us")) + " | " +
        format(at("agent.step.token.us")) + " | " +
        share("agent.step.run.us", "agent.step.token.us", target_endpoints) +
        " |\n";
    return text;
}

std::string size_table(samples const& all)
{
    std::set<std::uint64_t> sizes;
    std::set<std::string> names;
    std::map<std::string, std::string> units;
    for (auto const& next : all)
    {
        sizes.insert(next.size);
        names.insert(next.name);
        units[next.name] = next.unit;
    }
    std::string text = "| figure | unit |";
    std::string rule = "| --- | --- |";
    for (auto const size : sizes)
    {
        text += " " + std::to_string(size) + " |";
        rule += " ---: |";
    }
    text += "\n" + rule + "\n";
    for (auto const& name : names)
    {
        text += "| `" + name + "` | " + units[name] + " |";
        for (auto const size : sizes)
        {
            auto const value = sample_value(all, name, size);
            text += std::isnan(value) ? " |" : " " + format(value) + " |";
        }
        text += "\n";
    }
    return text;
}

} // namespace

std::string make_tables(samples const& all)
{
    return "\n### What grows with the fleet\n\n" + growth_table(all) +
           "\n### What the peak costs the cores\n\n" + load_table(all) +
           "\n### All figures, by number of endpoints\n\n" + size_table(all) +
           "\n";
}

std::string replace_tables(std::string const& page, std::string const& tables)
{
    auto const begin = page.find(tables_begin);
    auto const end = page.find(tables_end);
    if (begin == std::string::npos || end == std::string::npos || end < begin)
    {
        throw std::runtime_error("the page lacks the markers for its tables or "
                                 "has them in wrong order");
    }
    auto const after_begin = begin + std::string_view(tables_begin).size();
    return page.substr(0, after_begin) + "\n" + tables + page.substr(end);
}

} // namespace foxtailvale::capacity
