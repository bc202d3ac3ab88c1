#include "process_usage.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>

namespace foxtailvale::scenario
{

namespace
{

// Indices, from 0, of the fields of /proc/PID/stat that follow the process name
// in parentheses.
constexpr int user_time_field = 11;
constexpr int system_time_field = 12;
constexpr int resident_pages_field = 21;

} // namespace

process_usage read_usage(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    auto const name_end = text.rfind(')');
    process_usage usage;
    if (name_end == std::string::npos)
    {
        return usage;
    }
    std::istringstream fields(text.substr(name_end + 1));
    std::string field;
    std::int64_t ticks = 0;
    for (int index = 0; fields >> field; ++index)
    {
        if (index == user_time_field || index == system_time_field)
        {
            ticks += std::stoll(field);
        }
        if (index == resident_pages_field)
        {
            usage.resident_bytes =
                std::stoull(field) *
                static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
        }
    }
    usage.processor =
        std::chrono::milliseconds(ticks * 1000 / sysconf(_SC_CLK_TCK));
    return usage;
}

double counter_sum(
    std::string const& page, std::string const& name, std::string const& label)
{
    std::istringstream lines(page);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line))
    {
        auto const matches = line.starts_with(name + "{") &&
                             line.find(label) != std::string::npos;
        if (matches)
        {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

} // namespace foxtailvale::scenario
