#ifndef FOXTAILVALE_SCENARIO_CHILD_PROCESS_HPP
#define FOXTAILVALE_SCENARIO_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// A child process. If it still runs when the object is destroyed, it is ended
// with SIGKILL, by its ID.
class child_process
{
public:
    // Starts a program with standard output and standard error appended to the
    // log file. Throws std::system_error if that fails.
    child_process(
        std::vector<std::string> const& command, std::string const& log_path);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    void send(int signal) const;

    // Whether the process ignores the signal or has a handler for it, so that
    // the signal's default action does not end it. False until the program
    // itself runs.
    bool handles(int signal) const;

    // Returns the process ID, for reading the process's resource usage.
    pid_t process_id() const;

    // Waits for the process to end. Returns its exit code, or 128 plus the
    // number of the signal that ended it.
    int wait();

    // Whether the process has ended. Does not wait.
    bool has_ended();

    // The value of wait(), once wait() or has_ended() has found that the
    // process has ended.
    std::optional<int> exit_code() const;

private:
    pid_t id = -1;
    std::optional<int> code;
};

} // namespace foxtailvale::scenario

#endif
