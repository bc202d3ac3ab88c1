#include <cli/daemon_options.hpp>
#include <standins/standins.hpp>

int main(int count, char** words)
{
    using namespace foxtailvale;
    cli::daemon const daemon{
        "Hosts stand-ins for the systems that foxtailvale meets.",
        FOXTAILVALE_VERSION,
        [](release::document& source)
        {
            standins::read_standin_settings(source);
        },
        [](release::document& source)
        {
            return standins::run_standins(
                standins::read_standin_settings(source));
        }};
    return cli::run_daemon(count, words, daemon);
}
