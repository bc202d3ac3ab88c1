#include <cli/daemon_options.hpp>
#include <load/run_load.hpp>

#include <iostream>

int main(int argc, char** argv)
{
    using namespace foxtailvale;
    cli::daemon const program{
        "Sends an open-loop load and checks every answer; prints JSON.",
        FOXTAILVALE_VERSION,
        [](release::document& source)
        {
            load::read_load_settings(source);
        },
        [](release::document& source)
        {
            auto const settings = load::read_load_settings(source);
            std::cout << load::run_load(settings).dump(2) << "\n";
            return cli::exit_ok;
        }};
    return cli::run_daemon(argc, argv, program);
}
