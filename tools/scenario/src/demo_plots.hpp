#ifndef FOXTAILVALE_SCENARIO_DEMO_PLOTS_HPP
#define FOXTAILVALE_SCENARIO_DEMO_PLOTS_HPP

#include "demo_report.hpp"

#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// Draws the live load by second with gnuplot and returns the names of the
// pictures in the folder; fewer when gnuplot is missing.
std::vector<std::string>
draw_plots(std::string const& folder, findings const& found);

} // namespace foxtailvale::scenario

#endif
