#ifndef FOXTAILVALE_CROWD_PROCESS_USAGE_HPP
#define FOXTAILVALE_CROWD_PROCESS_USAGE_HPP

#include <sys/types.h>

#include <cstddef>

namespace foxtailvale::crowd
{

// The most resident memory that the process has had so far, in KiB; zero if it
// does not run.
std::size_t peak_memory_kib(pid_t process);

// The processor time that the process has used so far, in the system's ticks;
// zero if it does not run.
std::size_t processor_ticks(pid_t process);

// The number of its sockets that are open; zero if it does not run.
std::size_t open_sockets(pid_t process);

} // namespace foxtailvale::crowd

#endif
