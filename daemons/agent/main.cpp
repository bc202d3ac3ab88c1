#include <gateway/agent_process.hpp>
#include <kernel/events.hpp>
#include <node/agent_node.hpp>
#include <release/settings.hpp>

#include <cli/daemon_options.hpp>

int main(int argc, char** argv)
{
    using namespace foxtailvale;
    cli::ignore_hangup();
    cli::daemon const daemon{
        "Guards one endpoint, fetches its weights and orders its engine.",
        FOXTAILVALE_VERSION,
        [](release::document& source)
        {
            release::read_agent_settings(source);
        },
        [](release::document& source)
        {
            auto const settings = release::read_agent_settings(source);
            kernel::start_logging(settings.node.name, settings.node.log_level);
            return node::run_agent(settings);
        },
        [](std::string const& path)
        {
            return gateway::run_agent(path);
        },
        [](std::string const& path)
        {
            return gateway::check_agent(path);
        }};
    return cli::run_daemon(argc, argv, daemon);
}
