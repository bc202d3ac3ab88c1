#ifndef FOXTAILVALE_DIRECT_RETRY_WORLD_PROCESSES_HPP
#define FOXTAILVALE_DIRECT_RETRY_WORLD_PROCESSES_HPP

#include "retry_world_plan.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

// The processes of the entries of a retry_course: when they run, and of which
// others they know.
namespace foxtailvale::direct
{

// Virtual time advances by this.
inline constexpr std::chrono::milliseconds step{10};

// Pauses, stops, kills and starts processes as planned for this step.
void run_processes(world& state, base::time_point now);

// Returns the number of processes in each failure domain of which agents know.
std::vector<std::size_t>
known_processes(world const& state, base::time_point now);

// Tells the entry how many others it can hear of.
void tell_of_others(
    world const& state,
    std::vector<std::size_t> const& known,
    played_entry& told,
    base::time_point now);

} // namespace foxtailvale::direct

#endif
