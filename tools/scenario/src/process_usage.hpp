#ifndef FOXTAILVALE_SCENARIO_PROCESS_USAGE_HPP
#define FOXTAILVALE_SCENARIO_PROCESS_USAGE_HPP

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailvale::scenario
{

// What one process has used so far, as the system counts it.
struct process_usage
{
    std::chrono::milliseconds processor{0};
    std::uint64_t resident_bytes = 0;
};

// Zero for a process that has ended.
process_usage read_usage(pid_t process);

// Sum of a Prometheus counter's series that carry the label, from the text of
// a metrics page.
double counter_sum(
    std::string const& page, std::string const& name, std::string const& label);

} // namespace foxtailvale::scenario

#endif
