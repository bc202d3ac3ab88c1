#ifndef FOXTAILVALE_SCENARIO_DEMO_HPP
#define FOXTAILVALE_SCENARIO_DEMO_HPP

#include "fleet.hpp"

namespace foxtailvale::scenario
{

// Runs the demonstration with the release notes in the folder notes of the
// examples folder: one note adds a model, live chats and bookings run, a new
// version replaces the first, a failure domain leaves and returns, and VMs are
// restarted. Writes report.json and report.html beside the logs and prints a
// table. Returns 0 if no promise was broken.
int run_demo(
    fleet_paths const& paths,
    deployment const& fleet_layout,
    std::string const& examples);

} // namespace foxtailvale::scenario

#endif
