#include "explain.hpp"
#include "release_commands.hpp"

#include <cli/daemon_options.hpp>
#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

namespace
{

struct command_line
{
    std::string platform;
    std::string command;
    std::vector<std::string> arguments;
};

int usage_error(std::string const& what)
{
    std::cerr << "foxtailvalectl: " << what << "\n";
    return foxtailvale::cli::exit_usage;
}

int run(command_line const& line)
{
    namespace ctl = foxtailvale::ctl;
    auto const needs_note = line.command == "check" || line.command == "apply";
    if (needs_note && line.arguments.size() != 1)
    {
        return usage_error(line.command + " needs a release note");
    }
    if (line.command == "explain")
    {
        if (line.arguments.empty())
        {
            return usage_error("explain needs a request id");
        }
        return ctl::explain_request(
            line.arguments.front(),
            {line.arguments.begin() + 1, line.arguments.end()});
    }
    if (line.command == "check")
    {
        return ctl::check_note(line.platform, line.arguments.front());
    }
    if (line.platform.empty())
    {
        return usage_error("--platform is missing");
    }
    if (line.command == "apply")
    {
        return ctl::apply_note(line.platform, line.arguments.front());
    }
    if (line.command == "show")
    {
        return ctl::show_release(line.platform);
    }
    return usage_error("no such command: " + line.command);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line(
            "Checks and applies release notes, and tells what became of a "
            "request. Commands: check NOTE, apply NOTE, show, explain REQUEST "
            "[LOG...] (standard input without LOG).",
            ' ', FOXTAILVALE_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> const platform(
            "p", "platform", "the platform's object API, http://IP:PORT", false,
            "", "ADDRESS", line);
        TCLAP::UnlabeledValueArg<std::string> const command(
            "command", "what to do", true, "", "COMMAND", line);
        TCLAP::UnlabeledMultiArg<std::string> const arguments(
            "arguments", "the command's arguments", false, "ARGUMENT", line);
        line.parse(argc, argv);
        return run(
            {platform.getValue(), command.getValue(), arguments.getValue()});
    }
    catch (TCLAP::ExitException const& fault)
    {
        return fault.getExitStatus();
    }
    catch (TCLAP::ArgException const& fault)
    {
        return usage_error(fault.error() + " " + fault.argId());
    }
}
