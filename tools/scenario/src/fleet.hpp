#ifndef FOXTAILVALE_SCENARIO_FLEET_HPP
#define FOXTAILVALE_SCENARIO_FLEET_HPP

#include "child_process.hpp"
#include "deployment.hpp"
#include "settings_writer.hpp"

#include <map>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// Where a fleet's programs and files are.
struct fleet_paths
{
    // Folder of the programs.
    std::string programs;
    // Folder for settings and logs; made anew.
    std::string work;
};

// A running deployment: stand-ins, agents and entries as processes of their
// own.
class fleet
{
public:
    fleet(
        fleet_paths paths,
        deployment from,
        std::vector<origin_version> const& versions);

    deployment const& layout() const;
    std::vector<vm> const& vms() const;

    // Applies a release note with foxtailvalectl; its exit code.
    int apply(nlohmann::json const& note);
    int apply_file(std::string const& path);

    // Reads a JSON page, null when it does not answer.
    nlohmann::json page(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);

    // Counters of all links, between regions and inside them.
    std::vector<nlohmann::json> link_counters();

    // Whether a page answers with status 200.
    bool answers(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);

    // The same as page, for one that a figure is made of: asks a few times,
    // then throws std::runtime_error.
    nlohmann::json sure_page(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);

    // Sends JSON to a switchboard.
    void control(
        std::string const& address,
        std::uint16_t port,
        nlohmann::json const& value);

    // Sends a signal to the process of this name; false when there is none.
    bool signal(std::string const& name, int number);

    // Sends the signal, waits for the process's end and returns its exit code;
    // -1 when there is no such process.
    int end(std::string const& name, int number);

    // Starts a VM's process that has ended, anew and empty.
    void start_again(std::string const& name);

    // The system's number for the process on a VM.
    pid_t process_id(std::string const& name) const;

    // Stops the VM's process with SIGTERM, waits for its end and starts it
    // anew; true when it ended with 0.
    bool restart(std::string const& name);

    // Stops all processes of the system in an orderly way; true when each
    // ended with 0.
    bool stop();

private:
    void start(vm const& machine);
    void start(
        std::string const& program,
        std::string const& name,
        nlohmann::json const& settings);
    std::string write(std::string const& name, nlohmann::json const& value);

    fleet_paths paths;
    deployment from;
    std::vector<vm> machines;
    std::map<std::string, child_process> processes;
    int notes = 0;
};

} // namespace foxtailvale::scenario

#endif
