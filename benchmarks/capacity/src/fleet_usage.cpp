#include "fleet_usage.hpp"

#include "fleet_shape.hpp"

#include <process_usage.hpp>
#include <standins/synthetic.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <thread>

namespace foxtailvale::capacity
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t model_bytes = 1024ULL * 1024;
constexpr std::uint32_t chunk_bytes = 128 * 1024;
constexpr std::uint64_t seed = 11;
constexpr seconds settle_time{5};
constexpr seconds measured_time{15};
constexpr seconds max_wait{60};
constexpr milliseconds poll_interval{200};
constexpr double bytes_per_mib = 1024.0 * 1024.0;

using usages = std::map<std::string, scenario::process_usage>;

scenario::deployment make_deployment(unsigned network, std::uint32_t agents)
{
    scenario::deployment result;
    result.name = "capacity";
    result.model = "model";
    result.booking_service = "booking";
    result.supporting_service = "tariffs";
    result.store_region = "region-0";
    for (std::uint32_t number = 0; number < target_domains; ++number)
    {
        scenario::domain place;
        place.name = domain_name(number);
        place.region = "region-" + std::to_string(number % target_regions);
        place.entries = 1;
        place.engines = agents;
        result.domains.push_back(std::move(place));
    }
    result.region_latency_us = 1000;
    result.workspaces = json::array({{{"name", "trials"}, {"weight", 1}}});
    result.network = network;
    return result;
}

json make_note(
    scenario::deployment const& from,
    std::string const& digest,
    std::uint32_t agents)
{
    json note{{"note", 1}, {"follows", 0}, {"summary", "capacity"}};
    auto& added = note["added"];
    json replicas;
    for (auto const& place : from.domains)
    {
        replicas[place.name] = agents;
        added["domains"][place.name] = {{"region", place.region}};
    }
    added["models"][from.model] = {
        {"digest", digest},
        {"replicas", replicas},
        {"limit", 8},
        {"cold_limit", 2},
        {"memory_mib", 64}};
    added["workspaces"]["trials"] = {{"weight", 1}};
    return note;
}

template <class Condition>
void wait_for(char const* what, Condition const& condition)
{
    auto const start = clock::now();
    while (!condition())
    {
        if (clock::now() - start > max_wait)
        {
            throw std::runtime_error(
                std::string("timed out waiting for: ") + what);
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

bool all_engines_serve(scenario::fleet& running)
{
    auto const& vms = running.vms();
    return std::ranges::all_of(
        vms,
        [&](scenario::vm const& machine)
        {
            if (machine.kind != scenario::vm_kind::engine)
            {
                return true;
            }
            auto const state = running.page(
                machine.address, scenario::endpoint_port, "/state");
            return state.is_object() && !state["models"].empty();
        });
}

usages read_all(scenario::fleet const& running)
{
    usages all;
    for (auto const& machine : running.vms())
    {
        all[machine.name] =
            scenario::read_usage(running.process_id(machine.name));
    }
    return all;
}

void add_role(
    scenario::fleet const& running,
    scenario::vm_kind kind,
    std::string const& role,
    usages const& before,
    usages const& after,
    std::uint64_t at,
    samples& into)
{
    double share = 0;
    double max_share = 0;
    double resident = 0;
    double max_resident = 0;
    std::uint32_t count = 0;
    for (auto const& machine : running.vms())
    {
        if (machine.kind != kind)
        {
            continue;
        }
        ++count;
        auto const& now = after.at(machine.name);
        auto const spent = now.processor - before.at(machine.name).processor;
        auto const used =
            static_cast<double>(spent.count()) * 100 /
            static_cast<double>(milliseconds(measured_time).count());
        auto const mib =
            static_cast<double>(now.resident_bytes) / bytes_per_mib;
        share += used;
        max_share = std::max(max_share, used);
        resident += mib;
        max_resident = std::max(max_resident, mib);
    }
    auto const add = [&](char const* what, double value, char const* unit)
    {
        into.push_back({"process." + role + "." + what, at, value, unit});
    };
    add("core_share", share / count, "% of a core, mean");
    add("core_share_most", max_share, "% of a core, highest");
    add("resident", resident / count, "MiB, mean");
    add("resident_most", max_resident, "MiB, highest");
}

} // namespace

void measure_fleet(
    scenario::fleet_paths const& paths,
    unsigned network,
    std::uint32_t agents_per_domain,
    samples& into)
{
    auto const layout = make_deployment(network, agents_per_domain);
    auto const weights = standins::make_weights(seed, model_bytes, chunk_bytes);
    scenario::fleet running(paths, layout, {{seed, model_bytes, chunk_bytes}});
    auto const note = make_note(layout, weights.digest, agents_per_domain);
    wait_for(
        "note accepted",
        [&]
        {
            return running.apply(note) == 0;
        });
    wait_for(
        "all engines serve",
        [&]
        {
            return all_engines_serve(running);
        });
    std::this_thread::sleep_for(settle_time);
    auto const store = scenario::store_address(layout);
    auto const calls_before =
        running.page(store, scenario::platform_port, "/counters");
    auto const before = read_all(running);
    std::this_thread::sleep_for(measured_time);
    auto const after = read_all(running);
    auto const calls_after =
        running.page(store, scenario::platform_port, "/counters");
    auto const at = std::uint64_t{agents_per_domain} * target_domains;
    add_role(
        running, scenario::vm_kind::entry, "entry", before, after, at, into);
    add_role(
        running, scenario::vm_kind::engine, "agent", before, after, at, into);
    for (auto const* const kind : {"calls", "reads", "writes", "watches"})
    {
        auto const count =
            calls_after.value(kind, 0.0) - calls_before.value(kind, 0.0);
        into.push_back(
            {std::string("process.platform.") + kind, at,
             count / static_cast<double>(measured_time.count()) /
                 target_domains,
             "calls/s an entry"});
    }
    into.push_back(
        {"process.stopped_in_order", at, running.stop() ? 1.0 : 0.0, "1: yes"});
}

} // namespace foxtailvale::capacity
