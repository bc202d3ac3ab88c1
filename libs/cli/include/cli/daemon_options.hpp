#ifndef FOXTAILVALE_CLI_DAEMON_OPTIONS_HPP
#define FOXTAILVALE_CLI_DAEMON_OPTIONS_HPP

#include <release/document.hpp>

#include <functional>
#include <string>

namespace foxtailvale::cli
{

// Exit codes shared by all programs.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failure = 1;
// Settings or release notes with faults.
inline constexpr int exit_bad_input = 2;
// Invalid command line; the same value as EX_USAGE in sysexits.h.
inline constexpr int exit_usage = 64;

// Description of a daemon and the functions that check its settings and run it.
struct daemon
{
    std::string summary;
    std::string version;
    // Reads the settings and adds all faults to the document.
    std::function<void(release::document&)> check;
    // Runs the daemon with settings that have no faults; returns the exit code.
    std::function<int(release::document&)> run;
    // Runs the daemon on a platform that writes the settings file in its own
    // format; returns the exit code.
    std::function<int(std::string const& path)> run_on_platform;
    // Prints all faults of that file to standard error; returns the exit code.
    std::function<int(std::string const& path)> check_on_platform;
};

// Ignores SIGHUP, whose default action ends the process, until a handler for it
// is set. The first statement of a daemon.
void ignore_hangup();

// Parses the command line (SETTINGS, --check, --platform, --help, --version),
// reports all faults of the settings with line and column, and runs the daemon.
// Returns the exit code. With --platform, the settings file is in the
// platform's format; if SETTINGS is absent, it is the file that the environment
// variable FOXTAILVALE_CONFIG names.
int run_daemon(int argc, char const* const* argv, daemon const& daemon);

} // namespace foxtailvale::cli

#endif
