#include "release_commands.hpp"

#include <node/platform_client.hpp>
#include <release/release_note.hpp>

#include <cli/daemon_options.hpp>
#include <core/platform.hpp>

#include <iostream>

namespace foxtailvale::ctl
{

namespace
{

// The configuration in force and the version of its object.
struct release_object
{
    release::configuration configuration;
    std::uint64_t version = 0;
};

base::result<release_object> read_release(std::string const& platform)
{
    core::platform_call call;
    call.method = core::platform_method::get;
    call.path = core::release_path;
    auto const answer = node::call_platform(platform, call);
    if (!answer.ok && answer.error == base::error_kind::not_found)
    {
        return release_object{};
    }
    if (!answer.ok)
    {
        return base::fail(answer.error, "reading the release in force");
    }
    BOOST_OUTCOME_TRY(
        configuration, release::parse_configuration(answer.value));
    return release_object{std::move(configuration), answer.version};
}

int report(base::error const& error)
{
    std::cerr << "foxtailvalectl: " << base::row_of(error.kind).title << " "
              << error.detail << "\n";
    return cli::exit_failure;
}

int report(release::document const& source)
{
    std::cerr << describe(source, source.faults);
    return cli::exit_bad_input;
}

// Reports whether a write took effect although its answer was lost; if it did
// not, reports which note another operator applied instead. Returns the exit
// code.
int check_acceptance(
    std::string const& platform, release::configuration const& wanted)
{
    auto const current = read_release(platform);
    if (!current)
    {
        return report(current.error());
    }
    if (current.value().configuration == wanted)
    {
        std::cout << "note " << wanted.generation << " is accepted\n";
        return cli::exit_ok;
    }
    std::cerr << "foxtailvalectl: note " << wanted.generation
              << " was not accepted: note "
              << current.value().configuration.generation
              << " is in force, another operator was first\n";
    return cli::exit_failure;
}

} // namespace

int check_note(std::string const& platform, std::string const& path)
{
    auto source = release::load_document(path);
    if (!source.faults.empty())
    {
        return report(source);
    }
    auto const note = release::read_release_note(source);
    if (!platform.empty())
    {
        auto const current = read_release(platform);
        if (!current)
        {
            return report(current.error());
        }
        release::apply_note(current.value().configuration, note, source);
    }
    if (!source.faults.empty())
    {
        return report(source);
    }
    std::cout << path << ": ok\n";
    return cli::exit_ok;
}

int apply_note(std::string const& platform, std::string const& path)
{
    auto source = release::load_document(path);
    if (!source.faults.empty())
    {
        return report(source);
    }
    auto const note = release::read_release_note(source);
    auto const current = read_release(platform);
    if (!current)
    {
        return report(current.error());
    }
    auto const& in_force = current.value();
    auto const next = release::apply_note(in_force.configuration, note, source);
    if (!source.faults.empty())
    {
        return report(source);
    }
    core::platform_call call;
    call.method = core::platform_method::put;
    call.path = core::release_path;
    call.expected = in_force.version;
    call.value = to_text(next);
    auto const answer = node::call_platform(platform, call);
    if (answer.ok)
    {
        std::cout << "note " << next.generation << " is accepted\n";
        return cli::exit_ok;
    }
    return check_acceptance(platform, next);
}

int show_release(std::string const& platform)
{
    auto const current = read_release(platform);
    if (!current)
    {
        return report(current.error());
    }
    std::cout << to_text(current.value().configuration) << "\n";
    return cli::exit_ok;
}

} // namespace foxtailvale::ctl
