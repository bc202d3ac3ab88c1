#include <cli/daemon_options.hpp>
#include <malloc.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace foxtailvale::cli
{

namespace
{

int run_platform(
    char const* program, std::string path, daemon const& daemon, bool check)
{
    auto const* const config_path = std::getenv("FOXTAILVALE_CONFIG");
    if (path.empty() && config_path != nullptr)
    {
        path = config_path;
    }
    if (path.empty() || !daemon.run_on_platform)
    {
        std::cerr << program << ": FOXTAILVALE_CONFIG names no settings file\n";
        return exit_usage;
    }
    try
    {
        return check ? daemon.check_on_platform(path)
                     : daemon.run_on_platform(path);
    }
    catch (std::exception const& fault)
    {
        std::cerr << program << ": " << fault.what() << "\n";
        return exit_failure;
    }
}

} // namespace

void ignore_hangup()
{
    std::signal(SIGHUP, SIG_IGN);
}

namespace
{

// Failure: after a crowd of large requests the process kept their memory, as
// glibc raises this threshold when a large block is freed.
void return_freed_memory()
{
    constexpr int threshold_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, threshold_bytes);
}

} // namespace

int run_daemon(int argc, char const* const* argv, daemon const& daemon)
{
    return_freed_memory();
    std::string path;
    auto check_only = false;
    auto on_platform = false;
    try
    {
        TCLAP::CmdLine line(daemon.summary, ' ', daemon.version);
        line.setExceptionHandling(false);
        TCLAP::SwitchArg const check(
            "c", "check", "check the settings and exit", line);
        TCLAP::UnlabeledValueArg<std::string> const settings(
            "settings", "settings file, JSON with comments", false, "",
            "SETTINGS", line);
        TCLAP::SwitchArg const platform(
            "p", "platform",
            "take the settings file that FOXTAILVALE_CONFIG names, in the "
            "platform's format",
            line);
        line.parse(argc, argv);
        on_platform = platform.getValue();
        path = settings.getValue();
        check_only = check.getValue();
    }
    catch (TCLAP::ExitException const& fault)
    {
        return fault.getExitStatus();
    }
    catch (TCLAP::ArgException const& fault)
    {
        std::cerr << argv[0] << ": " << fault.error() << " " << fault.argId()
                  << "\n";
        return exit_usage;
    }
    if (on_platform)
    {
        return run_platform(argv[0], path, daemon, check_only);
    }
    if (path.empty())
    {
        std::cerr << argv[0] << ": SETTINGS is missing\n";
        return exit_usage;
    }
    auto source = release::load_document(path);
    if (source.faults.empty())
    {
        daemon.check(source);
    }
    if (!source.faults.empty())
    {
        std::cerr << describe(source, source.faults);
        return exit_bad_input;
    }
    if (check_only)
    {
        std::cout << path << ": ok\n";
        return exit_ok;
    }
    try
    {
        return daemon.run(source);
    }
    catch (std::exception const& fault)
    {
        std::cerr << argv[0] << ": " << fault.what() << "\n";
        return exit_failure;
    }
}

} // namespace foxtailvale::cli
