#ifndef FOXTAILVALE_GATEWAY_RUN_PROCESS_HPP
#define FOXTAILVALE_GATEWAY_RUN_PROCESS_HPP

#include "metrics_server.hpp"

#include <gateway/settings_file.hpp>
#include <kernel/events.hpp>

#include <boost/asio/io_context.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace foxtailvale::gateway
{

// Exit codes, the same for all programs.
inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_settings = 2;

// Checks the settings that a role requires in addition to those of every
// process. Returns an error text when one is missing.
using settings_requirement =
    std::function<std::optional<std::string>(platform::settings const&)>;

// Prints all errors of a settings file to standard error, or that it is valid
// to standard output. Returns the exit code.
inline int
check_settings(std::string const& path, settings_requirement const& need)
{
    auto const read = settings_file(path).read();
    auto const missing = read.has_value() ? need(read.value()) : std::nullopt;
    if (read.has_error() || missing)
    {
        std::cerr << path << ": "
                  << (read.has_error() ? read.error().detail : *missing)
                  << "\n";
        return exit_bad_settings;
    }
    std::cout << path << ": ok\n";
    return exit_done;
}

// Blocks the signals that a process handles. Call before the process object
// ends, and its handlers with it: a later signal would end the process with a
// failure.
inline void block_handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (auto const handled : {SIGTERM, SIGINT, SIGHUP})
    {
        sigaddset(&signals, handled);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Runs a process of the given type on one event loop until it is stopped: reads
// its settings, starts logging, starts the process and serves its metrics.
// Returns the exit code.
template <class Process>
int run_process(std::string const& settings_path, char const* program)
{
    settings_file file(settings_path);
    auto const settings = file.read();
    auto const name =
        settings.has_value() ? settings.value().name : std::string(program);
    kernel::start_logging(name, "info", kernel::log_target::standard_output);
    if (settings.has_error())
    {
        kernel::log_error(settings.error(), {{"path", settings_path}});
        return exit_bad_settings;
    }
    boost::asio::io_context loop(1);
    auto const process =
        std::make_shared<Process>(loop, file, settings.value());
    if (auto const fault = process->start())
    {
        kernel::log_error({base::error_kind::bad_settings, *fault});
        return exit_failed;
    }
    auto const shown =
        start_metrics_server(loop, settings.value().ip, process->counters());
    kernel::log_event(
        kernel::event_id::process_started,
        {{"program", program},
         {"callers", settings.value().caller_address},
         {"engine", settings.value().engine_address}});
    loop.run();
    block_handled_signals();
    return exit_done;
}

} // namespace foxtailvale::gateway

#endif
