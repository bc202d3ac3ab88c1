#ifndef FOXTAILVALE_NODE_AGENT_NODE_HPP
#define FOXTAILVALE_NODE_AGENT_NODE_HPP

#include <release/settings.hpp>

namespace foxtailvale::node
{

// Runs an agent until SIGTERM or SIGINT arrives and its running work is
// finished; returns the exit code.
int run_agent(release::agent_settings const& settings);

} // namespace foxtailvale::node

#endif
