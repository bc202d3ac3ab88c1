#include "chaos.hpp"
#include "control_bench.hpp"
#include "demo.hpp"
#include "scenario_run.hpp"

#include <cli/daemon_options.hpp>
#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

namespace
{

int run_demonstration(
    std::string const& path,
    unsigned network,
    foxtailvale::scenario::fleet_paths const& to)
{
    using namespace foxtailvale;
    auto source = release::load_document(path);
    auto deployment = source.faults.empty() ? scenario::read_deployment(source)
                                            : scenario::deployment{};
    if (!source.faults.empty())
    {
        std::cerr << describe(source, source.faults);
        return cli::exit_bad_input;
    }
    deployment.network = network;
    std::cout << "demo of " << deployment.name << "\n";
    auto const examples = std::filesystem::path(path).parent_path();
    return scenario::run_demo(to, deployment, examples.string());
}

int run_script(
    std::string const& path,
    unsigned network,
    foxtailvale::scenario::fleet_paths const& to)
{
    using namespace foxtailvale;
    std::string faults;
    auto script = scenario::load_scenario(path, faults);
    if (!script)
    {
        std::cerr << faults;
        return cli::exit_bad_input;
    }
    script->fleet.network = network;
    return scenario::run_scenario(to, *script);
}

// Runs consecutive seeds until the time is over. Returns 1 if a run failed.
int run_chaos(
    std::string const& deployment_path,
    unsigned network,
    foxtailvale::scenario::fleet_paths const& to,
    std::uint64_t seed,
    std::chrono::seconds length)
{
    using namespace foxtailvale;
    auto source = release::load_document(deployment_path);
    auto layout = source.faults.empty() ? scenario::read_deployment(source)
                                        : scenario::deployment{};
    if (!source.faults.empty())
    {
        std::cerr << describe(source, source.faults);
        return cli::exit_bad_input;
    }
    layout.network = network;
    auto const start = std::chrono::steady_clock::now();
    auto code = 0;
    for (; std::chrono::steady_clock::now() - start < length; ++seed)
    {
        auto const script = scenario::make_chaos(layout, seed);
        if (scenario::run_scenario(to, script) != 0)
        {
            code = 1;
            std::cout << scenario::to_text(script, deployment_path)
                      << std::endl;
        }
    }
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line(
            "Runs a deployment with stand-ins. Commands: demo DEPLOYMENT, "
            "run SCENARIO, chaos DEPLOYMENT, bench-control.",
            ' ', FOXTAILVALE_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> const programs(
            "b", "programs", "folder of the programs", false, "build/bin",
            "FOLDER", line);
        TCLAP::ValueArg<std::string> const work(
            "w", "work", "folder for settings, logs and the report", false,
            "build/demo", "FOLDER", line);
        TCLAP::ValueArg<unsigned> const network(
            "n", "network", "second number of the loopback addresses, 1 to 180",
            false, 1, "NUMBER", line);
        TCLAP::UnlabeledValueArg<std::string> const command(
            "command", "what to do", true, "", "COMMAND", line);
        TCLAP::UnlabeledValueArg<std::string> const deployment(
            "deployment", "deployment or scenario file", false, "", "FILE",
            line);
        TCLAP::ValueArg<std::uint64_t> const seed(
            "s", "seed", "first seed of chaos", false, 1, "NUMBER", line);
        TCLAP::ValueArg<unsigned> const length(
            "t", "seconds", "how long chaos goes on", false, 60, "NUMBER",
            line);
        TCLAP::ValueArg<unsigned> const domains(
            "", "domains", "failure domains of bench-control", false, 2,
            "NUMBER", line);
        TCLAP::ValueArg<unsigned> const entries(
            "", "entries", "entries of bench-control", false, 8, "NUMBER",
            line);
        TCLAP::ValueArg<unsigned> const agents(
            "", "agents", "agents of bench-control", false, 50, "NUMBER", line);
        line.parse(argc, argv);
        if (command.getValue() == "bench-control")
        {
            return foxtailvale::scenario::run_control_bench(
                {programs.getValue(), work.getValue()},
                {domains.getValue(), entries.getValue(), agents.getValue()},
                network.getValue());
        }
        if (command.getValue() == "chaos")
        {
            return run_chaos(
                deployment.getValue(), network.getValue(),
                {programs.getValue(), work.getValue()}, seed.getValue(),
                std::chrono::seconds(length.getValue()));
        }
        if (command.getValue() == "run")
        {
            return run_script(
                deployment.getValue(), network.getValue(),
                {programs.getValue(), work.getValue()});
        }
        if (command.getValue() != "demo")
        {
            std::cerr << "foxtailvale-scenario: no such command: "
                      << command.getValue() << "\n";
            return foxtailvale::cli::exit_usage;
        }
        return run_demonstration(
            deployment.getValue(), network.getValue(),
            {programs.getValue(), work.getValue()});
    }
    catch (TCLAP::ExitException const& fault)
    {
        return fault.getExitStatus();
    }
    catch (TCLAP::ArgException const& fault)
    {
        std::cerr << "foxtailvale-scenario: " << fault.error() << " "
                  << fault.argId() << "\n";
        return foxtailvale::cli::exit_usage;
    }
    catch (std::exception const& fault)
    {
        std::cerr << "foxtailvale-scenario: " << fault.what() << "\n";
        return foxtailvale::cli::exit_failure;
    }
}
