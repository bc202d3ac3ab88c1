#include "agent_slopes.hpp"
#include "entry_slopes.hpp"
#include "fleet_shape.hpp"
#include "fleet_usage.hpp"
#include "page.hpp"
#include "planner_slopes.hpp"

#include <tclap/CmdLine.h>

#include <cmath>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace foxtailvale;

constexpr std::uint32_t core_sizes[] = {10, 100, 500, 1500};
constexpr std::uint32_t fleet_sizes[] = {1, 4, 10};
constexpr char const* file_name = "/measurements/capacity.csv";
constexpr char const* page_name = "/CAPACITY.md";

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void measure_cores(capacity::samples& into)
{
    for (auto const size : core_sizes)
    {
        std::cout << "cores before " << size << " endpoints" << std::endl;
        capacity::measure_planner(size, into);
        capacity::measure_entry(size, true, into);
        capacity::measure_entry(size, false, into);
        // All entries contact equally many agents, so the mean number of
        // entries per agent is contacts * entries / endpoints.
        auto const contacts =
            capacity::sample_value(into, "entry.contacts", size);
        auto const entries = capacity::shape_of(size).entries;
        auto const connected_entries =
            std::lround(std::ceil(contacts * entries / size));
        capacity::measure_agent(
            size, static_cast<std::uint32_t>(connected_entries), into);
    }
}

// Which figures are measured; the others are kept from the last run.
enum class scope
{
    all,
    cores,
    nothing,
};

void measure_fleets(
    scenario::fleet_paths const& paths,
    unsigned network,
    capacity::samples& into)
{
    for (auto const size : fleet_sizes)
    {
        std::cout << "processes: " << size << " agents a domain" << std::endl;
        capacity::measure_fleet(paths, network, size, into);
    }
}

int run(
    std::string const& docs,
    scenario::fleet_paths const& paths,
    unsigned network,
    scope wanted)
{
    auto const old = capacity::from_csv(read_file(docs + file_name));
    capacity::samples all;
    if (wanted != scope::nothing)
    {
        measure_cores(all);
    }
    if (wanted == scope::all)
    {
        measure_fleets(paths, network, all);
    }
    for (auto const& previous : old)
    {
        auto const of_processes = previous.name.starts_with("process.");
        if (wanted == scope::nothing ||
            (wanted == scope::cores && of_processes))
        {
            all.push_back(previous);
        }
    }
    auto const text = capacity::to_csv(all);
    // Build the page from the CSV text, so that both have the same rounding.
    auto const page = capacity::replace_tables(
        read_file(docs + page_name),
        capacity::make_tables(capacity::from_csv(text)));
    std::ofstream(docs + file_name) << text;
    std::ofstream(docs + page_name) << page;
    return 0;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        TCLAP::CmdLine line(
            "Measures how state, processor time and messages grow with the "
            "fleet and rewrites the tables of CAPACITY.md.",
            ' ', FOXTAILVALE_VERSION);
        TCLAP::ValueArg<std::string> const docs(
            "d", "docs", "folder of the pages", false, "docs", "FOLDER", line);
        TCLAP::ValueArg<std::string> const programs(
            "b", "programs", "folder of the programs", false, "build/bin",
            "FOLDER", line);
        TCLAP::ValueArg<std::string> const work(
            "w", "work", "folder for settings and logs", false,
            "build/capacity", "FOLDER", line);
        TCLAP::ValueArg<unsigned> const network(
            "n", "network", "second number of the loopback addresses", false, 1,
            "NUMBER", line);
        TCLAP::SwitchArg const cores(
            "", "cores-only", "start no processes; keep their last figures",
            line);
        TCLAP::SwitchArg const page(
            "", "page-only", "measure nothing, rewrite the page's tables",
            line);
        line.parse(count, arguments);
        auto const wanted = page.getValue()    ? scope::nothing
                            : cores.getValue() ? scope::cores
                                               : scope::all;
        return run(
            docs.getValue(), {programs.getValue(), work.getValue()},
            network.getValue(), wanted);
    }
    catch (std::exception const& error)
    {
        std::cerr << "foxtailvale-capacity: " << error.what() << "\n";
        return 1;
    }
}
