#include "call_load.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fleet.hpp>
#include <process_usage.hpp>
#include <standins/synthetic.hpp>
#include <tclap/CmdLine.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

// Measures the overhead that the path through entry and agent adds to a
// request, with real processes in front of stand-ins.
namespace foxtailvale::bench
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t model_bytes = 256ULL * 1024;
constexpr std::uint32_t chunk_bytes = 64 * 1024;
constexpr std::uint64_t seed = 21;
constexpr std::uint32_t engine_count = 64;
constexpr std::uint32_t service_count = 8;
constexpr std::uint32_t requests_per_second = 500;
constexpr seconds measured_time{10};
constexpr seconds max_wait{60};
constexpr std::size_t stream_count = 500;
constexpr std::size_t idle_connections = 10'000;
constexpr double bytes_per_mib = 1024.0 * 1024.0;

scenario::deployment make_deployment(unsigned network)
{
    scenario::deployment result;
    result.name = "requests";
    result.model = "model";
    result.booking_service = "booking";
    result.supporting_service = "tariffs";
    result.store_region = "region-0";
    result.domains.push_back(
        {"domain-0", "region-0", 1, engine_count, 1, service_count});
    result.workspaces = json::array({{{"name", "trials"}, {"weight", 1}}});
    result.network = network;
    return result;
}

json make_note(scenario::deployment const& from, std::string const& digest)
{
    json note{{"note", 1}, {"follows", 0}, {"summary", "bench"}};
    auto& added = note["added"];
    added["domains"]["domain-0"] = {{"region", "region-0"}};
    added["models"][from.model] = {
        {"digest", digest},
        {"replicas", {{"domain-0", engine_count}}},
        {"limit", 8},
        {"cold_limit", 2},
        {"memory_mib", 64}};
    added["services"]["tariffs"] = {{"repeatable", true}, {"limit", 64}};
    added["services"]["booking"] = {{"repeatable", false}, {"limit", 64}};
    added["workspaces"]["trials"] = {{"weight", 1}};
    return note;
}

void wait_until(std::function<bool()> const& condition, char const* what)
{
    auto const end = std::chrono::steady_clock::now() + max_wait;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            throw std::runtime_error(
                std::string("timed out waiting for: ") + what);
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
}

class bench
{
public:
    bench(scenario::fleet_paths const& paths, unsigned network)
        : fleet(
              paths,
              make_deployment(network),
              {{seed, model_bytes, chunk_bytes}})
    {
        for (auto const& machine : this->fleet.vms())
        {
            if (machine.kind == scenario::vm_kind::entry)
            {
                this->entry = machine;
            }
            else if (machine.kind == scenario::vm_kind::supporting)
            {
                this->service = machine;
            }
        }
    }

    std::string run()
    {
        this->prepare();
        this->measure_latency();
        this->measure_throughput();
        this->measure_streams();
        this->measure_idle();
        this->fleet.stop();
        return this->table;
    }

private:
    call_target via_entry(std::string path, std::string body = "") const
    {
        return {
            this->entry.address + ":" + std::to_string(scenario::caller_port),
            std::move(path), std::move(body)};
    }

    call_target direct() const
    {
        return {
            this->service.address + ":" +
                std::to_string(scenario::endpoint_port),
            "/", ""};
    }

    std::string chat(std::uint32_t tokens) const
    {
        return json{
            {"model", "model"},
            {"stream", true},
            {"max_tokens", tokens},
            {"messages", {{{"role", "user"}, {"content", "hello"}}}}}
            .dump();
    }

    double resident_mib()
    {
        auto const id = this->fleet.process_id(this->entry.name);
        return static_cast<double>(scenario::read_usage(id).resident_bytes) /
               bytes_per_mib;
    }

    double processor_ms()
    {
        auto const id = this->fleet.process_id(this->entry.name);
        return static_cast<double>(scenario::read_usage(id).processor.count());
    }

    void add_row(std::string const& name, char const* format, double value)
    {
        char text[64];
        std::snprintf(text, sizeof text, format, value);
        this->table += "| " + name + " | " + text + " |\n";
        std::cout << name << ": " << text << std::endl;
    }

    void prepare()
    {
        auto const weights =
            standins::make_weights(seed, model_bytes, chunk_bytes);
        wait_until(
            [&]
            {
                return this->fleet.apply(make_note(
                           this->fleet.layout(), weights.digest)) == 0;
            },
            "note");
        auto const short_chat =
            this->via_entry("/v1/chat/completions", this->chat(2));
        wait_until(
            [&]
            {
                return call_concurrently(short_chat, 1).failed == 0 &&
                       call_concurrently(
                           this->via_entry("/services/tariffs/"), 1)
                               .failed == 0;
            },
            "first answers");
        // Engines start cold. Each must answer several requests before its
        // agent admits the full load.
        call_open_loop(short_chat, 400, seconds(12));
    }

    void measure_latency()
    {
        auto const baseline =
            call_open_loop(this->direct(), requests_per_second, measured_time);
        auto const before = this->processor_ms();
        auto const via_fleet = call_open_loop(
            this->via_entry("/services/tariffs/"), requests_per_second,
            measured_time);
        auto const used = this->processor_ms() - before;
        for (auto const quantile : {0.5, 0.99})
        {
            auto const name = quantile < 0.9 ? "p50" : "p99";
            this->add_row(
                std::string("direct ") + name + " (ms)", "%.2f",
                latency_quantile_ms(baseline, quantile));
            this->add_row(
                std::string("through entry and agent ") + name + " (ms)",
                "%.2f", latency_quantile_ms(via_fleet, quantile));
            this->add_row(
                std::string("added ") + name + " (ms)", "%.2f",
                latency_quantile_ms(via_fleet, quantile) -
                    latency_quantile_ms(baseline, quantile));
        }
        this->add_row(
            "failed of the requests at 500/s", "%.0f",
            static_cast<double>(via_fleet.failed));
        this->add_row(
            "entry's processor time per request (us)", "%.0f",
            used * 1000 / static_cast<double>(via_fleet.latencies.size()));
        auto const booked = call_open_loop(
            this->via_entry("/services/booking/", "van"), 100, seconds(5));
        this->add_row(
            "booking without a key, reserved first, p50 (ms)", "%.2f",
            latency_quantile_ms(booked, 0.5));
        this->add_row(
            "failed of these", "%.0f", static_cast<double>(booked.failed));
    }

    void measure_throughput()
    {
        auto const saturated = call_closed_loop(
            this->via_entry("/services/tariffs/"), 128, seconds(8));
        auto const elapsed_seconds =
            std::chrono::duration<double>(saturated.duration).count();
        this->add_row(
            "requests/s of one entry (128 connections)", "%.0f",
            static_cast<double>(saturated.latencies.size() - saturated.failed) /
                elapsed_seconds);
        this->add_row(
            "failed of these", "%.0f", static_cast<double>(saturated.failed));
    }

    void measure_streams()
    {
        this->add_row(
            "entry's memory before (MiB)", "%.0f", this->resident_mib());
        std::atomic<bool> done{false};
        auto peak = 0.0;
        std::thread watch(
            [&]
            {
                while (!done)
                {
                    peak = std::max(peak, this->resident_mib());
                    std::this_thread::sleep_for(milliseconds(50));
                }
            });
        auto const results = call_concurrently(
            this->via_entry("/v1/chat/completions", this->chat(400)),
            stream_count);
        done = true;
        watch.join();
        this->add_row("streams begun at once", "%.0f", stream_count);
        this->add_row(
            "failed of these", "%.0f", static_cast<double>(results.failed));
        this->add_row("entry's memory meanwhile (MiB)", "%.0f", peak);
    }

    void measure_idle()
    {
        std::vector<Poco::Net::StreamSocket> idle;
        Poco::Net::SocketAddress const address(this->via_entry("").address);
        for (std::size_t index = 0; index < idle_connections; ++index)
        {
            idle.emplace_back(address);
        }
        auto const via_fleet = call_open_loop(
            this->via_entry("/services/tariffs/"), requests_per_second,
            measured_time);
        this->add_row("idle connections held", "%.0f", idle_connections);
        this->add_row(
            "p50 meanwhile (ms)", "%.2f", latency_quantile_ms(via_fleet, 0.5));
        this->add_row(
            "p99 meanwhile (ms)", "%.2f", latency_quantile_ms(via_fleet, 0.99));
        this->add_row(
            "failed of these", "%.0f", static_cast<double>(via_fleet.failed));
        this->add_row("entry's memory (MiB)", "%.0f", this->resident_mib());
    }

    scenario::fleet fleet;
    scenario::vm entry;
    scenario::vm service;
    std::string table = "| measure | value |\n| --- | --- |\n";
};

int run(int count, char** arguments)
{
    TCLAP::CmdLine line(
        "Measures the way of a request with real processes.", ' ',
        FOXTAILVALE_VERSION);
    TCLAP::ValueArg<std::string> const programs(
        "b", "programs", "folder of the programs", false, "build/bin", "FOLDER",
        line);
    TCLAP::ValueArg<std::string> const work(
        "w", "work", "folder for settings and logs", false,
        "build/bench-requests", "FOLDER", line);
    TCLAP::ValueArg<std::string> const page(
        "p", "page", "file that gets the table", false, "", "FILE", line);
    TCLAP::ValueArg<unsigned> const network(
        "n", "network", "second number of the loopback addresses", false, 1,
        "NUMBER", line);
    line.parse(count, arguments);
    bench benchmark({programs.getValue(), work.getValue()}, network.getValue());
    auto const table = benchmark.run();
    if (!page.getValue().empty())
    {
        std::ofstream(page.getValue()) << table;
    }
    return 0;
}

} // namespace

} // namespace foxtailvale::bench

int main(int count, char** arguments)
{
    try
    {
        return foxtailvale::bench::run(count, arguments);
    }
    catch (std::exception const& error)
    {
        std::cerr << "foxtailvale-bench-requests: " << error.what() << "\n";
        return 1;
    }
}
