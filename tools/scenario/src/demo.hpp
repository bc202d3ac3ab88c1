#ifndef FOXTAILVALE_SCENARIO_DEMO_HPP
#define FOXTAILVALE_SCENARIO_DEMO_HPP

#include "fleet.hpp"

namespace foxtailvale::scenario
{

// Runs the demonstration with the release notes in the folder examples/notes:
// one adds a model, live chats and bookings run, a version replaces another, a
// failure domain leaves and returns, and VMs are restarted. Writes report.json
// and report.html beside the logs, prints a table, and returns 0 when no
// promise was broken.
int run_demo(
    fleet_paths const& paths,
    deployment const& from,
    std::string const& examples);

} // namespace foxtailvale::scenario

#endif
