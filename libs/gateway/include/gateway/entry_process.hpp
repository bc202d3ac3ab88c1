#ifndef FOXTAILVALE_GATEWAY_ENTRY_PROCESS_HPP
#define FOXTAILVALE_GATEWAY_ENTRY_PROCESS_HPP

#include <string>

namespace foxtailvale::gateway
{

// Runs an entry that sends requests to endpoints directly, with the settings
// file that the platform wrote. Returns the process's exit code after shutdown.
int run_entry(std::string const& settings_path);

// Prints every fault of the settings file to standard error. Returns the exit
// code.
int check_entry(std::string const& settings_path);

} // namespace foxtailvale::gateway

#endif
