#ifndef FOXTAILVALE_SCENARIO_CHILD_PROCESS_HPP
#define FOXTAILVALE_SCENARIO_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// One process that this tool started; ended with SIGKILL, by its id, when the
// object goes away while it still runs.
class child_process
{
public:
    // Starts a program with both outputs in the log file; throws
    // std::system_error when that fails.
    child_process(
        std::vector<std::string> const& words, std::string const& log_path);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    void send(int signal) const;

    // The system's number for it, for reading what it uses.
    pid_t process_id() const;

    // Waits for the end; the exit code, or 128 and the signal's number.
    int wait();

private:
    pid_t id = -1;
};

} // namespace foxtailvale::scenario

#endif
