#include "burst.hpp"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace
{

using namespace foxtailvale;

constexpr std::uint64_t mebibyte = 1024ULL * 1024;
constexpr char const* csv_header =
    "distribution,domains,agents,mib,finished,seconds_all,seconds_half,"
    "seconds_bound,ratio,origin_copies,region_copies,vm_copies_mean,"
    "vm_copies_max,agent_cpu_s,agent_peak_mib,live_p95_idle_ms,"
    "live_p95_burst_ms,live_not_right,cores\n";

std::string
row(bench_weights::burst_settings const& settings,
    bench_weights::burst_result const& result)
{
    constexpr std::size_t max_row_bytes = 512;
    char text[max_row_bytes];
    std::snprintf(
        text, sizeof text,
        "%s,%d,%d,%llu,%d,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.1f,"
        "%.1f,%.1f,%llu,%u\n",
        settings.distribution.c_str(), settings.domains, settings.agents,
        static_cast<unsigned long long>(settings.bytes / mebibyte),
        result.finished ? 1 : 0, result.seconds_all, result.seconds_half,
        result.seconds_bound, result.seconds_all / result.seconds_bound,
        result.origin_copies, result.region_copies, result.vm_copies_mean,
        result.vm_copies_max, result.agent_cpu_seconds, result.agent_peak_mib,
        result.live_p95_idle_ms, result.live_p95_burst_ms,
        static_cast<unsigned long long>(result.live_failed),
        std::thread::hardware_concurrency());
    return text;
}

// Appends each row as soon as it is measured, so that an interrupted run keeps
// its earlier results.
void append(std::string const& path, std::string const& line)
{
    auto const is_new = !std::filesystem::exists(path);
    std::ofstream file(path, std::ios::app);
    file << (is_new ? csv_header : "") << line;
    std::cout << line << std::flush;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        TCLAP::CmdLine line(
            "Measures bursts of weights and appends a row each to a CSV file.",
            ' ', FOXTAILVALE_VERSION);
        TCLAP::ValueArg<std::string> const programs(
            "b", "programs", "folder of the programs", false, "build/bin",
            "FOLDER", line);
        TCLAP::ValueArg<std::string> const work(
            "w", "work", "folder for settings and logs", false,
            "build/bench-weights", "FOLDER", line);
        TCLAP::ValueArg<unsigned> const network(
            "n", "network", "second number of the loopback addresses", false, 1,
            "NUMBER", line);
        TCLAP::ValueArg<std::string> const csv(
            "c", "csv", "file to append to", false, "weights.csv", "FILE",
            line);
        TCLAP::ValueArg<std::uint64_t> const size(
            "m", "mib", "size of the version", false, 8, "MIB", line);
        TCLAP::ValueArg<int> const domains(
            "d", "domains", "3 (in 3 regions) or 7 (in 2)", false, 3, "NUMBER",
            line);
        TCLAP::ValueArg<int> const longest(
            "l", "longest", "seconds after which a burst has not finished",
            false, 120, "SECONDS", line);
        TCLAP::MultiArg<int> const sizes(
            "a", "agents", "numbers of agents", false, "NUMBER", line);
        TCLAP::MultiArg<std::string> const distributions(
            "x", "distribution", "forest, swarm or origin", false, "NAME",
            line);
        line.parse(count, arguments);
        auto const all_sizes = sizes.getValue().empty()
                                   ? std::vector<int>{12, 24, 48, 96}
                                   : sizes.getValue();
        auto const all_distributions =
            distributions.getValue().empty()
                ? std::vector<std::string>{"origin", "swarm", "forest"}
                : distributions.getValue();
        for (auto const agents : all_sizes)
        {
            for (auto const& distribution : all_distributions)
            {
                bench_weights::burst_settings settings;
                settings.paths = {programs.getValue(), work.getValue()};
                settings.network = network.getValue();
                settings.distribution = distribution;
                settings.domains = domains.getValue();
                settings.agents = agents;
                settings.bytes = size.getValue() * mebibyte;
                settings.max_duration =
                    std::chrono::seconds(longest.getValue());
                append(
                    csv.getValue(),
                    row(settings, bench_weights::measure_burst(settings)));
            }
        }
        return EXIT_SUCCESS;
    }
    catch (std::exception const& error)
    {
        std::cerr << "foxtailvale-bench-weights: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
