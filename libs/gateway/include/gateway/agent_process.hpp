#ifndef FOXTAILVALE_GATEWAY_AGENT_PROCESS_HPP
#define FOXTAILVALE_GATEWAY_AGENT_PROCESS_HPP

#include <string>

namespace foxtailvale::gateway
{

// Runs the agent of one engine with the settings file that the platform wrote.
// Blocks until the process is stopped and returns the exit code.
int run_agent(std::string const& settings_path);

// Prints all errors of the settings file to standard error and returns the exit
// code.
int check_agent(std::string const& settings_path);

} // namespace foxtailvale::gateway

#endif
