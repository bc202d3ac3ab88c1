#include "burst.hpp"

#include <http/http_client.hpp>
#include <load/run_load.hpp>
#include <process_usage.hpp>
#include <standins/synthetic.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

namespace foxtailvale::bench_weights
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t chunk_bytes = 256 * 1024;
constexpr std::uint64_t small_bytes = 512 * 1024;
constexpr std::uint64_t small_seed = 1;
constexpr std::uint64_t large_seed = 2;
constexpr std::uint64_t link_bits_per_second = 20'000'000;
constexpr std::uint64_t link_latency_us = 1000;
constexpr int two_regions_domains = 7;
constexpr std::uint32_t model_memory_mib = 64;
constexpr milliseconds poll_interval{50};
constexpr seconds setup_time{60};
constexpr seconds idle_time{4};
constexpr std::uint32_t chats_per_second = 30;
constexpr char const* live_model = "live";
constexpr char const* large_model = "large";

scenario::deployment make_deployment(burst_settings const& settings)
{
    scenario::deployment fleet_layout;
    fleet_layout.name = "bench-weights";
    fleet_layout.model = live_model;
    fleet_layout.booking_service = "booking";
    fleet_layout.supporting_service = "portal";
    fleet_layout.store_region = "region-1";
    fleet_layout.region_latency_us = link_latency_us;
    fleet_layout.region_bits_per_second = link_bits_per_second;
    fleet_layout.workspaces = json::array({{{"name", "bench"}, {"weight", 1}}});
    fleet_layout.network = settings.network;
    fleet_layout.distribution = settings.distribution;
    for (int index = 0; index < settings.domains; ++index)
    {
        auto const region =
            settings.domains == two_regions_domains ? 1 + index % 2 : 1 + index;
        scenario::domain domain;
        domain.name = "domain-" + std::to_string(index + 1);
        domain.region = "region-" + std::to_string(region);
        domain.entries = 1;
        domain.engines = static_cast<std::uint32_t>(
            settings.agents / settings.domains +
            (index < settings.agents % settings.domains ? 1 : 0));
        fleet_layout.domains.push_back(domain);
    }
    return fleet_layout;
}

json model_clause(scenario::deployment const& from, std::string const& digest)
{
    json replicas;
    for (auto const& place : from.domains)
    {
        replicas[place.name] = place.engines;
    }
    return {
        {"digest", digest},
        {"replicas", replicas},
        {"limit", 8},
        {"cold_limit", 4},
        {"memory_mib", model_memory_mib}};
}

json first_note(scenario::deployment const& from, std::string const& digest)
{
    json note{{"note", 1}, {"follows", 0}};
    note["added"]["models"][live_model] = model_clause(from, digest);
    for (auto const& place : from.domains)
    {
        note["added"]["domains"][place.name] = {{"region", place.region}};
    }
    note["added"]["workspaces"]["bench"] = {{"weight", 1}};
    return note;
}

json burst_note(scenario::deployment const& from, std::string const& digest)
{
    return {
        {"note", 2},
        {"follows", 1},
        {"added", {{"models", {{large_model, model_clause(from, digest)}}}}}};
}

double seconds_since(clock::time_point start)
{
    return std::chrono::duration<double>(clock::now() - start).count();
}

// Returns the value of an unlabelled counter on a metrics page, or zero when
// the page does not contain it.
double counter(std::string const& page, std::string const& name)
{
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.starts_with(name + " "))
        {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

std::string metrics_page(scenario::vm const& machine)
{
    http::request metrics_request;
    metrics_request.base = "http://" + machine.address + ":" +
                           std::to_string(scenario::operator_port);
    metrics_request.path = "/metrics";
    auto const answer = http::call(metrics_request);
    return answer ? answer.value().body : std::string();
}

double peak_mib(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    constexpr std::string_view label = "VmHWM:";
    constexpr double kib_per_mib = 1024;
    while (std::getline(file, line))
    {
        if (line.starts_with(label))
        {
            return std::stod(line.substr(label.size())) / kib_per_mib;
        }
    }
    return 0;
}

// A single run of the benchmark.
class measurement
{
public:
    explicit measurement(burst_settings const& given)
        : settings(given), running(
                               given.paths,
                               make_deployment(given),
                               {{small_seed, small_bytes, chunk_bytes},
                                {large_seed, given.bytes, chunk_bytes}}),
          small(standins::make_weights(small_seed, small_bytes, chunk_bytes)),
          large(standins::make_weights(large_seed, given.bytes, chunk_bytes))
    {
    }

    burst_result run()
    {
        this->apply(first_note(this->running.layout(), this->small.digest));
        this->wait_for(live_model, this->small.digest, setup_time);
        this->result.live_p95_idle_ms =
            this->load(idle_time)["whole"]["p95_ms"];
        this->record_baseline();
        std::thread live(
            [this]
            {
                auto const load_report = this->load(this->burst_load_time());
                this->result.live_p95_burst_ms = load_report["whole"]["p95_ms"];
                auto const correct =
                    load_report["outcomes"].value("right", std::uint64_t{0});
                this->result.live_failed =
                    load_report["requests"].get<std::uint64_t>() - correct;
            });
        this->apply(burst_note(this->running.layout(), this->large.digest));
        auto const start = clock::now();
        this->result.finished = this->wait_for(
            large_model, this->large.digest, this->settings.max_duration);
        this->result.seconds_all = seconds_since(start);
        this->record_results();
        live.join();
        this->running.stop();
        return this->result;
    }

private:
    double lower_bound_seconds() const
    {
        constexpr double bits_per_byte = 8;
        return static_cast<double>(this->settings.bytes) * bits_per_byte /
               static_cast<double>(link_bits_per_second);
    }

    // The live load lasts for the minimum duration of the burst.
    milliseconds burst_load_time() const
    {
        constexpr double milliseconds_per_second = 1000;
        return milliseconds(static_cast<std::int64_t>(
            this->lower_bound_seconds() * milliseconds_per_second));
    }

    void apply(json const& note)
    {
        auto const start = clock::now();
        while (this->running.apply(note) != 0)
        {
            if (clock::now() - start > setup_time)
            {
                throw std::runtime_error(
                    "the release note was not accepted within the setup time");
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }

    bool serves(
        scenario::vm const& machine,
        std::string const& model,
        std::string const& digest)
    {
        auto const state = this->running.page(
            machine.address, scenario::endpoint_port, "/state");
        if (!state.is_object())
        {
            return false;
        }
        return std::ranges::any_of(
            state["models"],
            [&](json const& loaded)
            {
                return loaded["model"] == model && loaded["digest"] == digest;
            });
    }

    // Waits until all engines serve the version and records when half of them
    // did. Returns false on time-out.
    bool wait_for(
        std::string const& model,
        std::string const& digest,
        seconds max_duration)
    {
        auto const start = clock::now();
        std::vector<scenario::vm> missing;
        for (auto const& machine : this->running.vms())
        {
            if (machine.kind == scenario::vm_kind::engine)
            {
                missing.push_back(machine);
            }
        }
        auto const all = missing.size();
        auto half_reached = false;
        while (!missing.empty() && clock::now() - start < max_duration)
        {
            std::erase_if(
                missing,
                [&](scenario::vm const& machine)
                {
                    return this->serves(machine, model, digest);
                });
            if (!half_reached && missing.size() * 2 <= all)
            {
                half_reached = true;
                this->result.seconds_half = seconds_since(start);
            }
            std::this_thread::sleep_for(poll_interval);
        }
        return missing.empty();
    }

    json load(milliseconds duration)
    {
        load::load_settings load_options;
        for (auto const& machine : this->running.vms())
        {
            if (machine.kind == scenario::vm_kind::entry)
            {
                load_options.entries.push_back(
                    "http://" + machine.address + ":" +
                    std::to_string(scenario::caller_port));
            }
        }
        load_options.workspaces = {{"bench", 1}};
        load_options.model = live_model;
        load_options.chats_per_second = chats_per_second;
        load_options.duration = duration;
        return load::run_load(load_options);
    }

    // Total bytes that crossed the links between regions so far.
    double region_bytes()
    {
        double sum = 0;
        auto port = scenario::link_control_port;
        auto const regions =
            scenario::regions_of(this->running.layout()).size();
        auto const links = regions * (regions - 1) / 2;
        for (std::size_t index = 0; index < links; ++index)
        {
            auto const page = this->running.page(
                scenario::link_control_address(this->running.layout()), port++,
                "/counters");
            sum += page.value("first_to_second_bytes", 0.0);
            sum += page.value("second_to_first_bytes", 0.0);
        }
        return sum;
    }

    double origin_bytes()
    {
        auto const page = this->running.page(
            scenario::store_address(this->running.layout()),
            scenario::origin_port, "/counters");
        return page["versions"][this->large.digest].value("bytes_sent", 0.0);
    }

    double transferred_bytes(scenario::vm const& machine)
    {
        auto const page = metrics_page(machine);
        return counter(page, "foxtailvale_weights_drawn_bytes_total") +
               counter(page, "foxtailvale_weights_received_bytes_total") +
               counter(page, "foxtailvale_weights_sent_bytes_total");
    }

    template <class Function>
    void for_each_agent(Function function)
    {
        for (auto const& machine : this->running.vms())
        {
            if (machine.kind == scenario::vm_kind::engine)
            {
                function(machine);
            }
        }
    }

    void record_baseline()
    {
        this->region_before = this->region_bytes();
        this->for_each_agent(
            [this](scenario::vm const& machine)
            {
                this->transferred_before[machine.name] =
                    this->transferred_bytes(machine);
                this->cpu_before[machine.name] = this->cpu(machine);
            });
    }

    double cpu(scenario::vm const& machine)
    {
        auto const usage =
            scenario::read_usage(this->running.process_id(machine.name));
        return std::chrono::duration<double>(usage.processor).count();
    }

    void record_results()
    {
        auto const size = static_cast<double>(this->settings.bytes);
        auto& into = this->result;
        into.seconds_bound = this->lower_bound_seconds();
        into.origin_copies = this->origin_bytes() / size;
        into.region_copies =
            (this->region_bytes() - this->region_before) / size;
        auto count = 0;
        this->for_each_agent(
            [&](scenario::vm const& machine)
            {
                auto const copies = (this->transferred_bytes(machine) -
                                     this->transferred_before[machine.name]) /
                                    size;
                into.vm_copies_mean += copies;
                into.vm_copies_max = std::max(into.vm_copies_max, copies);
                into.agent_cpu_seconds +=
                    this->cpu(machine) - this->cpu_before[machine.name];
                into.agent_peak_mib = std::max(
                    into.agent_peak_mib,
                    peak_mib(this->running.process_id(machine.name)));
                ++count;
            });
        into.vm_copies_mean /= count;
        into.agent_cpu_seconds /= count;
    }

    burst_settings settings;
    scenario::fleet running;
    standins::synthetic_weights small;
    standins::synthetic_weights large;
    double region_before = 0;
    std::map<std::string, double> transferred_before;
    std::map<std::string, double> cpu_before;
    burst_result result;
};

} // namespace

burst_result measure_burst(burst_settings const& settings)
{
    return measurement(settings).run();
}

} // namespace foxtailvale::bench_weights
