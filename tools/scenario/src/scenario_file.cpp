#include "scenario_file.hpp"

#include <release/object_reader.hpp>

#include <algorithm>
#include <array>
#include <filesystem>

namespace foxtailvale::scenario
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds max_time{600'000};
constexpr std::uint64_t max_rate = 1000;
constexpr std::uint64_t max_amount = 100'000;
constexpr std::uint64_t bytes_per_kib = 1024;

struct kind_row
{
    step_kind kind;
    std::string_view name;
    bool needs_target;
};

constexpr std::array kinds{
    kind_row{step_kind::kill, "kill", true},
    kind_row{step_kind::freeze, "freeze", true},
    kind_row{step_kind::stop, "stop", true},
    kind_row{step_kind::start, "start", true},
    kind_row{step_kind::domain_out, "domain_out", true},
    kind_row{step_kind::domain_in, "domain_in", true},
    kind_row{step_kind::new_version, "new_version", false},
    kind_row{step_kind::cut_links, "cut_links", false},
    kind_row{step_kind::platform_outage, "platform_outage", false},
    kind_row{step_kind::platform_slow, "platform_slow", false},
    kind_row{step_kind::platform_lose_answers, "platform_lose_answers", false},
    kind_row{step_kind::origin_outage, "origin_outage", false},
    kind_row{step_kind::origin_corrupt, "origin_corrupt", false},
    kind_row{step_kind::turn_cold, "turn_cold", true},
    kind_row{step_kind::fall_over, "fall_over", true},
    kind_row{step_kind::slow_engine, "slow_engine", true},
    kind_row{step_kind::crash_request, "crash_request", false}};

bool is_known_target(deployment const& fleet, std::string const& target)
{
    auto const vms = make_vms(fleet);
    return std::ranges::find(vms, target, &vm::name) != vms.end() ||
           std::ranges::find(fleet.domains, target, &domain::name) !=
               fleet.domains.end();
}

scenario_step read_step(release::object_reader reader, deployment const& fleet)
{
    scenario_step step;
    step.at = reader.milliseconds_or(
        "at_ms", milliseconds(0), milliseconds(0), max_time);
    auto const step_name = reader.text("do");
    auto const row = std::ranges::find(kinds, step_name, &kind_row::name);
    if (row == kinds.end())
    {
        reader.add_fault("do", "no such step: " + step_name);
        return step;
    }
    step.kind = row->kind;
    step.target = reader.text_or("target", "");
    if (row->needs_target && !is_known_target(fleet, step.target))
    {
        reader.add_fault("target", "no such VM or failure domain");
    }
    step.length = reader.milliseconds_or(
        "for_ms", milliseconds(0), milliseconds(0), max_time);
    step.amount = reader.number_or("amount", 1, 1, max_amount);
    reader.finish();
    return step;
}

void read_load(release::object_reader reader, scenario_file& into)
{
    auto const rate = [&](char const* key)
    {
        return static_cast<std::uint32_t>(
            reader.number_or(key, 0, 0, max_rate));
    };
    into.chats_per_second = rate("chats_per_second");
    into.bookings_per_second = rate("bookings_per_second");
    into.load_length = reader.milliseconds_or(
        "length_ms", milliseconds(8000), milliseconds(1), max_time);
    into.deadline = reader.milliseconds_or(
        "deadline_ms", milliseconds(5000), milliseconds(1), max_time);
    reader.finish();
}

stated_outcomes read_outcomes(release::object_reader reader)
{
    constexpr std::uint64_t all = 100;
    stated_outcomes stated;
    stated.chats_right = reader.number_or("chats_right_percent", 0, 0, all);
    stated.bookings_right =
        reader.number_or("bookings_right_percent", 0, 0, all);
    stated.newest_version_serves =
        reader.flag_or("newest_version_serves", true);
    reader.finish();
    return stated;
}

} // namespace

std::string_view name_of(step_kind kind)
{
    return std::ranges::find(kinds, kind, &kind_row::kind)->name;
}

std::optional<scenario_file>
load_scenario(std::string const& path, std::string& faults)
{
    auto source = release::load_document(path);
    if (!source.faults.empty())
    {
        faults = describe(source, source.faults);
        return std::nullopt;
    }
    release::object_reader reader(source, "", source.faults);
    scenario_file parsed;
    parsed.story = reader.text("story");
    auto const folder = std::filesystem::path(path).parent_path();
    auto layout =
        release::load_document((folder / reader.text("deployment")).string());
    if (layout.faults.empty())
    {
        parsed.fleet = read_deployment(layout);
    }
    if (!layout.faults.empty())
    {
        faults = describe(layout, layout.faults);
        return std::nullopt;
    }
    parsed.model_bytes =
        reader.number_or("model_kib", 1024, 1, 65536) * bytes_per_kib;
    read_load(reader.child("load"), parsed);
    for (std::size_t index = 0; index < reader.size("steps"); ++index)
    {
        parsed.steps.push_back(
            read_step(reader.element("steps", index), parsed.fleet));
    }
    parsed.outcomes = read_outcomes(reader.child("outcomes"));
    reader.finish();
    if (!source.faults.empty())
    {
        faults = describe(source, source.faults);
        return std::nullopt;
    }
    std::ranges::stable_sort(parsed.steps, {}, &scenario_step::at);
    return parsed;
}

} // namespace foxtailvale::scenario
