#include "process_usage.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace foxtailvale::crowd
{

namespace
{

std::filesystem::path folder_of(pid_t process)
{
    return std::filesystem::path("/proc") / std::to_string(process);
}

} // namespace

std::size_t peak_memory_kib(pid_t process)
{
    std::ifstream status(folder_of(process) / "status");
    for (std::string name; status >> name;)
    {
        if (name == "VmHWM:")
        {
            std::size_t peak = 0;
            status >> peak;
            return peak;
        }
    }
    return 0;
}

std::size_t processor_ticks(pid_t process)
{
    std::ifstream stat(folder_of(process) / "stat");
    std::string text;
    std::getline(stat, text);
    // The name, in brackets, may hold blanks. User and system time are the
    // twelfth and thirteenth field behind it.
    constexpr auto fields_before = 11;
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (auto number = 0; number < fields_before; ++number)
    {
        fields >> skipped;
    }
    std::size_t user = 0;
    std::size_t system = 0;
    fields >> user >> system;
    return user + system;
}

std::size_t open_sockets(pid_t process)
{
    std::error_code error;
    std::size_t sockets = 0;
    std::filesystem::directory_iterator entry(folder_of(process) / "fd", error);
    while (!error && entry != std::filesystem::directory_iterator())
    {
        // A descriptor may be closed meanwhile.
        std::error_code gone;
        auto const target = std::filesystem::read_symlink(*entry, gone);
        sockets += target.string().starts_with("socket:") ? 1 : 0;
        entry.increment(error);
    }
    return sockets;
}

} // namespace foxtailvale::crowd
