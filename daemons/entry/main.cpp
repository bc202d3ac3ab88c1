#include <gateway/entry_process.hpp>
#include <kernel/events.hpp>
#include <node/entry_node.hpp>
#include <release/settings.hpp>

#include <cli/daemon_options.hpp>

int main(int argc, char** argv)
{
    using namespace foxtailvale;
    cli::ignore_hangup();
    cli::daemon const daemon{
        "Takes callers' requests and routes them to endpoints.",
        FOXTAILVALE_VERSION,
        [](release::document& source)
        {
            release::read_entry_settings(source);
        },
        [](release::document& source)
        {
            auto const settings = release::read_entry_settings(source);
            kernel::start_logging(settings.node.name, settings.node.log_level);
            return node::run_entry(settings);
        },
        [](std::string const& path)
        {
            return gateway::run_entry(path);
        },
        [](std::string const& path)
        {
            return gateway::check_entry(path);
        }};
    return cli::run_daemon(argc, argv, daemon);
}
