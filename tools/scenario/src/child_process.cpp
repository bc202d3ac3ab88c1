#include "child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <string_view>
#include <system_error>
#include <utility>

extern char** environ;

namespace foxtailvale::scenario
{

namespace
{

constexpr int signal_exit_base = 128;

int exit_code_of(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status)
                             : signal_exit_base + WTERMSIG(status);
}

// Length of the names of the signal sets in /proc/PID/status.
constexpr std::size_t mask_offset = std::string_view("SigIgn:").size();

// Whether a set in hexadecimal digits contains the signal.
bool has_signal(std::string const& set, int signal)
{
    return (std::stoull(set, nullptr, 16) >> (signal - 1) & 1U) != 0;
}

} // namespace

child_process::child_process(
    std::vector<std::string> const& command, std::string const& log_path)
{
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
        &files, STDOUT_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
        0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherits a listening socket keeps its address in use.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    std::vector<char*> arguments;
    for (auto const& argument : command)
    {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    auto const failed = posix_spawnp(
        &this->id, command.front().c_str(), &files, nullptr, arguments.data(),
        environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
    {
        throw std::system_error(
            failed, std::generic_category(), command.front());
    }
}

child_process::~child_process()
{
    if (this->id > 0)
    {
        this->send(SIGKILL);
        this->wait();
    }
}

child_process::child_process(child_process&& other) noexcept
    : id(std::exchange(other.id, -1)), code(other.code)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(this->id, other.id);
    std::swap(this->code, other.code);
    return *this;
}

void child_process::send(int signal) const
{
    if (this->id > 0)
    {
        kill(this->id, signal);
    }
}

bool child_process::handles(int signal) const
{
    std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
    std::string line;
    while (std::getline(file, line))
    {
        if ((line.starts_with("SigIgn:") || line.starts_with("SigCgt:")) &&
            has_signal(line.substr(mask_offset), signal))
        {
            return true;
        }
    }
    return false;
}

pid_t child_process::process_id() const
{
    return this->id;
}

int child_process::wait()
{
    if (this->id <= 0)
    {
        return this->code.value_or(0);
    }
    int status = 0;
    while (waitpid(this->id, &status, 0) < 0 && errno == EINTR)
    {
    }
    this->id = -1;
    this->code = exit_code_of(status);
    return *this->code;
}

bool child_process::has_ended()
{
    int status = 0;
    if (this->id > 0 && waitpid(this->id, &status, WNOHANG) == this->id)
    {
        this->id = -1;
        this->code = exit_code_of(status);
    }
    return this->id <= 0;
}

std::optional<int> child_process::exit_code() const
{
    return this->code;
}

} // namespace foxtailvale::scenario
