#ifndef FOXTAILVALE_SCENARIO_DEMO_PLOTS_HPP
#define FOXTAILVALE_SCENARIO_DEMO_PLOTS_HPP

#include "demo_report.hpp"

#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// Plots the live load by second with gnuplot and returns the names of the
// images in the folder. Images that could not be drawn, for example because
// gnuplot is missing, are left out.
std::vector<std::string>
draw_plots(std::string const& folder, findings const& found);

} // namespace foxtailvale::scenario

#endif
