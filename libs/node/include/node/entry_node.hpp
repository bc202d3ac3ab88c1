#ifndef FOXTAILVALE_NODE_ENTRY_NODE_HPP
#define FOXTAILVALE_NODE_ENTRY_NODE_HPP

#include <release/settings.hpp>

namespace foxtailvale::node
{

// Runs an entry until SIGTERM or SIGINT arrives and its running work is
// finished; returns the exit code.
int run_entry(release::entry_settings const& settings);

} // namespace foxtailvale::node

#endif
