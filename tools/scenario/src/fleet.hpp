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

// Folders of a fleet's programs and files.
struct fleet_paths
{
    // Folder of the programs.
    std::string programs;
    // Folder for settings and logs; deleted and created anew.
    std::string work;
};

// A running deployment: the stand-ins, agents and entries, as separate
// processes.
class fleet
{
public:
    fleet(
        fleet_paths paths,
        deployment fleet_layout,
        std::vector<origin_version> const& versions);

    deployment const& layout() const;
    std::vector<vm> const& vms() const;

    // Applies a release note with foxtailvalectl. Returns its exit code.
    int apply(nlohmann::json const& note);
    int apply_file(std::string const& path);

    // Reads a JSON page; null if it does not answer.
    nlohmann::json page(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);

    // Counters of all links, between regions and inside them.
    std::vector<nlohmann::json> link_counters();

    // Reads a page as text; empty if it does not answer.
    std::string text_page(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);

    // Whether a page answers with status 200.
    bool answers(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);

    // Like page(), for pages that a reported figure depends on: tries several
    // times, then throws std::runtime_error.
    nlohmann::json required_page(
        std::string const& address,
        std::uint16_t port,
        std::string const& path);
    // Path of a process's log file.
    std::string log_path(std::string const& name) const;

    // Sends a JSON control message to a stand-in or a link.
    void control(
        std::string const& address,
        std::uint16_t port,
        nlohmann::json const& value);

    // Sends a signal to the process with this name. Returns false if there is
    // none.
    bool signal(std::string const& name, int number);

    // Sends the signal, waits for the process to end and returns its exit code;
    // -1 if there is no such process.
    int end(std::string const& name, int number);

    // Starts the process of a VM again if it has ended; it starts without
    // state.
    void start_ended_process(std::string const& name);

    // Process ID of the process on a VM.
    pid_t process_id(std::string const& name) const;

    // Stops the VM's process with SIGTERM, waits for its end and starts it
    // again. Returns true if it ended with exit code 0.
    bool restart(std::string const& name);

    // Stops all processes in an orderly way. Returns true if each entry and
    // agent ended with exit code 0.
    bool stop();

private:
    void start(vm const& machine);
    void start(
        std::string const& program,
        std::string const& name,
        nlohmann::json const& settings);
    std::string write(std::string const& name, nlohmann::json const& value);

    fleet_paths paths;
    deployment fleet_layout;
    std::vector<vm> machines;
    std::map<std::string, child_process> processes;
    int notes = 0;
};

} // namespace foxtailvale::scenario

#endif
