#include "control_bench.hpp"

#include "process_usage.hpp"

#include <release/configuration.hpp>

#include <http/http_client.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <thread>

namespace foxtailvale::scenario
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;
using wall_time = std::chrono::system_clock::time_point;

constexpr seconds startup_time{12};
constexpr seconds measurement_window{10};
constexpr seconds change_interval{1};
// Time limit for an accepted configuration to be in force everywhere.
constexpr milliseconds in_force_limit{4000};
constexpr int adopted_event = 1101;

// Totals over all nodes of one role.
struct role_totals
{
    double nodes = 0;
    double processor_ms = 0;
    double resident_bytes = 0;
    double largest_resident_bytes = 0;
    double sent_bytes = 0;
    double received_bytes = 0;
};

struct sample
{
    steady::time_point when;
    role_totals entries;
    role_totals agents;
    double platform_calls = 0;
};

// Time at which each accepted generation was sent to the platform.
using acceptances = std::map<std::uint64_t, wall_time>;

deployment make_layout(control_bench_size const& size, unsigned network)
{
    deployment layout;
    layout.name = "control-bench";
    layout.model = "assistant";
    layout.booking_service = "booking";
    layout.supporting_service = "tariffs";
    layout.store_region = "one";
    layout.network = network;
    for (std::uint32_t index = 0; index < size.domains; ++index)
    {
        domain failure_domain;
        failure_domain.name = "domain-" + std::to_string(index + 1);
        failure_domain.region = "one";
        // The remainder of the division goes to the first domains.
        failure_domain.entries = size.entries / size.domains +
                                 (index < size.entries % size.domains ? 1 : 0);
        failure_domain.booking = size.agents / size.domains +
                                 (index < size.agents % size.domains ? 1 : 0);
        layout.domains.push_back(std::move(failure_domain));
    }
    return layout;
}

void add_node(role_totals& totals, fleet& running, vm const& machine)
{
    auto const usage = read_usage(running.process_id(machine.name));
    auto const page =
        running.text_page(machine.address, operator_port, "/metrics");
    constexpr char const* control = "kind=\"control\"";
    auto const resident = static_cast<double>(usage.resident_bytes);
    totals.nodes += 1;
    totals.processor_ms += static_cast<double>(usage.processor.count());
    totals.resident_bytes += resident;
    totals.largest_resident_bytes =
        std::max(totals.largest_resident_bytes, resident);
    totals.sent_bytes +=
        counter_sum(page, "foxtailvale_peer_sent_bytes_total", control);
    totals.received_bytes +=
        counter_sum(page, "foxtailvale_peer_received_bytes_total", control);
}

sample take_sample(fleet& running)
{
    sample taken;
    taken.when = steady::now();
    auto const counters = running.page(
        store_address(running.layout()), platform_port, "/counters");
    taken.platform_calls = counters.value("calls", 0.0);
    for (auto const& machine : running.vms())
    {
        auto const is_entry = machine.kind == vm_kind::entry;
        add_node(is_entry ? taken.entries : taken.agents, running, machine);
    }
    return taken;
}

release::configuration first_configuration(deployment const& layout)
{
    release::configuration made;
    for (auto const& failure_domain : layout.domains)
    {
        made.domains[failure_domain.name] = {failure_domain.region, true, 1};
    }
    made.services[layout.booking_service] = {false, 8, 1};
    // A release of the size that users have: ten workspaces and some models.
    for (int index = 0; index < 10; ++index)
    {
        made.workspaces["workspace-" + std::to_string(index)] = {1};
    }
    return made;
}

// Stores consecutive configurations, as foxtailvalectl does.
class release_writer
{
public:
    explicit release_writer(deployment const& layout)
        : base(
              "http://" + store_address(layout) + ":" +
              std::to_string(platform_port)),
          configuration(first_configuration(layout))
    {
    }

    void write_next()
    {
        ++this->configuration.generation;
        this->configuration.workspaces["workspace-0"].weight =
            static_cast<std::uint32_t>(this->configuration.generation);
        http::request http_request;
        http_request.base = this->base;
        http_request.method = "PUT";
        http_request.path = "/objects/release/current";
        http_request.headers["If-Match"] = std::to_string(this->version);
        http_request.body = to_text(this->configuration);
        auto const sent = std::chrono::system_clock::now();
        auto const answer = http::call(http_request);
        if (!answer || answer.value().status != 200)
        {
            throw std::runtime_error("the platform refused a configuration");
        }
        this->version = std::stoull(answer.value().headers.at("X-Version"));
        this->accepted[this->configuration.generation] = sent;
    }

    acceptances const& times() const
    {
        return this->accepted;
    }

private:
    std::string base;
    release::configuration configuration;
    std::uint64_t version = 0;
    acceptances accepted;
};

// Parses a time such as "2026-01-31T12:00:00.123Z". Throws std::runtime_error
// if the text is not one.
wall_time parse_time(std::string const& text)
{
    std::tm parts{};
    if (strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts) == nullptr)
    {
        throw std::runtime_error("no time of day: " + text);
    }
    auto const milliseconds_at = text.find('.') + 1;
    return std::chrono::system_clock::from_time_t(timegm(&parts)) +
           milliseconds(std::stol(text.substr(milliseconds_at, 3)));
}

// Adds the delay until each generation after the first was in force on one
// node. A node that skipped a generation has it in force with the next one that
// it adopts.
void add_delays(
    std::string const& log_path,
    acceptances const& accepted,
    std::vector<milliseconds>& delays)
{
    std::map<std::uint64_t, wall_time> adopted;
    std::ifstream log(log_path);
    std::string text;
    while (std::getline(log, text))
    {
        auto const line = json::parse(text, nullptr, false);
        if (line.is_object() && line["body"]["event"] == adopted_event)
        {
            adopted[line["body"]["generation"]] = parse_time(line["time"]);
        }
    }
    for (auto const& [generation, when] : accepted)
    {
        // The first generation is written while the fleet is still starting.
        if (generation == 1)
        {
            continue;
        }
        auto const found = adopted.lower_bound(generation);
        auto const delay = found == adopted.end()
                               ? milliseconds::max()
                               : std::chrono::duration_cast<milliseconds>(
                                     found->second - when);
        delays.push_back(delay);
    }
}

std::vector<milliseconds>
sorted_delays(fleet const& running, acceptances const& accepted)
{
    std::vector<milliseconds> delays;
    for (auto const& machine : running.vms())
    {
        add_delays(running.log_path(machine.name), accepted, delays);
    }
    std::ranges::sort(delays);
    return delays;
}

void print_role(
    char const* role,
    role_totals const& before,
    role_totals const& after,
    double elapsed_s)
{
    constexpr double mib = 1024.0 * 1024.0;
    auto const per_node = after.nodes * elapsed_s;
    std::printf(
        " %s: cpu %.2f%% rss %.1f MiB (most %.1f) sent %.0f B/s received "
        "%.0f B/s |",
        role, (after.processor_ms - before.processor_ms) / per_node / 10,
        after.resident_bytes / after.nodes / mib,
        after.largest_resident_bytes / mib,
        (after.sent_bytes - before.sent_bytes) / per_node,
        (after.received_bytes - before.received_bytes) / per_node);
}

void print_phase(
    char const* phase,
    control_bench_size const& size,
    sample const& before,
    sample const& after)
{
    auto const elapsed =
        std::chrono::duration<double>(after.when - before.when).count();
    std::printf(
        "%u domains %u entries %u agents, %s |", size.domains, size.entries,
        size.agents, phase);
    print_role("entry", before.entries, after.entries, elapsed);
    print_role("agent", before.agents, after.agents, elapsed);
    std::printf(
        " platform %.1f calls/s\n",
        (after.platform_calls - before.platform_calls) / elapsed);
    std::fflush(stdout);
}

bool print_delays(std::vector<milliseconds> const& delays)
{
    auto const at = [&delays](std::size_t percent)
    {
        return static_cast<long long>(
            delays[(delays.size() - 1) * percent / 100].count());
    };
    std::printf(
        "in force after: p50 %lld ms, p99 %lld ms, most %lld ms (%zu "
        "adoptions)\n",
        at(50), at(99), at(100), delays.size());
    return delays.back() <= in_force_limit;
}

} // namespace

int run_control_bench(
    fleet_paths const& paths, control_bench_size const& size, unsigned network)
{
    fleet running(paths, make_layout(size, network), {});
    release_writer writer(running.layout());
    writer.write_next();
    std::this_thread::sleep_for(startup_time);

    auto const start = take_sample(running);
    std::this_thread::sleep_for(measurement_window);
    auto const idle = take_sample(running);
    print_phase("idle", size, start, idle);

    for (auto next = steady::now(); next < idle.when + measurement_window;
         next += change_interval)
    {
        std::this_thread::sleep_until(next);
        writer.write_next();
    }
    auto const changing = take_sample(running);
    print_phase("one change a second", size, idle, changing);

    std::this_thread::sleep_for(in_force_limit);
    auto const in_time = print_delays(sorted_delays(running, writer.times()));
    auto const orderly = running.stop();
    std::printf("orderly stop: %s\n", orderly ? "yes" : "no");
    return in_time && orderly ? 0 : 1;
}

} // namespace foxtailvale::scenario
