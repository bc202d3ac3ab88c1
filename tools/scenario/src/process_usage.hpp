#ifndef FOXTAILVALE_SCENARIO_PROCESS_USAGE_HPP
#define FOXTAILVALE_SCENARIO_PROCESS_USAGE_HPP

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailvale::scenario
{

// Resource usage of a process so far, as counted by the system.
struct process_usage
{
    std::chrono::milliseconds processor{0};
    std::uint64_t resident_bytes = 0;
};

// Reads the usage of a process; all zero if it has ended.
process_usage read_usage(pid_t process);

// Returns the sum of those series of a Prometheus counter that contain the
// label, from the text of a metrics page.
double counter_sum(
    std::string const& page, std::string const& name, std::string const& label);

} // namespace foxtailvale::scenario

#endif
