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

// Measures what the way through entry and agent costs a request, with real
// processes before stand-ins.
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
constexpr std::uint32_t engines = 64;
constexpr std::uint32_t services = 8;
constexpr std::uint32_t rate = 500;
constexpr seconds measured{10};
constexpr seconds max_wait{60};
constexpr std::size_t streams = 500;
constexpr std::size_t idle_connections = 10'000;
constexpr double bytes_per_mib = 1024.0 * 1024.0;

scenario::deployment make_deployment(unsigned network)
{
    scenario::deployment made;
    made.name = "requests";
    made.model = "model";
    made.booking_service = "booking";
    made.supporting_service = "tariffs";
    made.store_region = "region-0";
    made.domains.push_back({"domain-0", "region-0", 1, engines, 1, services});
    made.workspaces = json::array({{{"name", "trials"}, {"weight", 1}}});
    made.network = network;
    return made;
}

json make_note(scenario::deployment const& from, std::string const& digest)
{
    json note{{"note", 1}, {"follows", 0}, {"summary", "bench"}};
    auto& added = note["added"];
    added["domains"]["domain-0"] = {{"region", "region-0"}};
    added["models"][from.model] = {
        {"digest", digest},
        {"replicas", {{"domain-0", engines}}},
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
            throw std::runtime_error(std::string("never came: ") + what);
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
    call_target through(std::string path, std::string body = "") const
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

    void row(std::string const& name, char const* form, double value)
    {
        char text[64];
        std::snprintf(text, sizeof text, form, value);
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
            this->through("/v1/chat/completions", this->chat(2));
        wait_until(
            [&]
            {
                return call_at_once(short_chat, 1).failed == 0 &&
                       call_at_once(this->through("/services/tariffs/"), 1)
                               .failed == 0;
            },
            "first answers");
        // Engines are cold at first; each must have answered some before the
        // gates let their full load through.
        call_steadily(short_chat, 400, seconds(12));
    }

    void measure_latency()
    {
        auto const alone = call_steadily(this->direct(), rate, measured);
        auto const before = this->processor_ms();
        auto const with =
            call_steadily(this->through("/services/tariffs/"), rate, measured);
        auto const used = this->processor_ms() - before;
        for (auto const part : {0.5, 0.99})
        {
            auto const name = part < 0.9 ? "p50" : "p99";
            this->row(
                std::string("direct ") + name + " (ms)", "%.2f",
                milliseconds_at(alone, part));
            this->row(
                std::string("through entry and agent ") + name + " (ms)",
                "%.2f", milliseconds_at(with, part));
            this->row(
                std::string("added ") + name + " (ms)", "%.2f",
                milliseconds_at(with, part) - milliseconds_at(alone, part));
        }
        this->row(
            "failed of the requests at 500/s", "%.0f",
            static_cast<double>(with.failed));
        this->row(
            "entry's processor time per request (us)", "%.0f",
            used * 1000 / static_cast<double>(with.latencies.size()));
        auto const booked = call_steadily(
            this->through("/services/booking/", "van"), 100, seconds(5));
        this->row(
            "booking without a key, reserved first, p50 (ms)", "%.2f",
            milliseconds_at(booked, 0.5));
        this->row(
            "failed of these", "%.0f", static_cast<double>(booked.failed));
    }

    void measure_throughput()
    {
        auto const hard =
            call_hard(this->through("/services/tariffs/"), 128, seconds(8));
        auto const length = std::chrono::duration<double>(hard.length).count();
        this->row(
            "requests/s of one entry (128 connections)", "%.0f",
            static_cast<double>(hard.latencies.size() - hard.failed) / length);
        this->row("failed of these", "%.0f", static_cast<double>(hard.failed));
    }

    void measure_streams()
    {
        this->row("entry's memory before (MiB)", "%.0f", this->resident_mib());
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
        auto const all = call_at_once(
            this->through("/v1/chat/completions", this->chat(400)), streams);
        done = true;
        watch.join();
        this->row("streams begun at once", "%.0f", streams);
        this->row("failed of these", "%.0f", static_cast<double>(all.failed));
        this->row("entry's memory meanwhile (MiB)", "%.0f", peak);
    }

    void measure_idle()
    {
        std::vector<Poco::Net::StreamSocket> idle;
        Poco::Net::SocketAddress const address(this->through("").address);
        for (std::size_t index = 0; index < idle_connections; ++index)
        {
            idle.emplace_back(address);
        }
        auto const with =
            call_steadily(this->through("/services/tariffs/"), rate, measured);
        this->row("idle connections held", "%.0f", idle_connections);
        this->row("p50 meanwhile (ms)", "%.2f", milliseconds_at(with, 0.5));
        this->row("p99 meanwhile (ms)", "%.2f", milliseconds_at(with, 0.99));
        this->row("failed of these", "%.0f", static_cast<double>(with.failed));
        this->row("entry's memory (MiB)", "%.0f", this->resident_mib());
    }

    scenario::fleet fleet;
    scenario::vm entry;
    scenario::vm service;
    std::string table = "| measure | value |\n| --- | --- |\n";
};

int run(int count, char** words)
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
    line.parse(count, words);
    bench one({programs.getValue(), work.getValue()}, network.getValue());
    auto const table = one.run();
    if (!page.getValue().empty())
    {
        std::ofstream(page.getValue()) << table;
    }
    return 0;
}

} // namespace

} // namespace foxtailvale::bench

int main(int count, char** words)
{
    try
    {
        return foxtailvale::bench::run(count, words);
    }
    catch (std::exception const& fault)
    {
        std::cerr << "foxtailvale-bench-requests: " << fault.what() << "\n";
        return 1;
    }
}
