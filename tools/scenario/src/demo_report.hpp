#ifndef FOXTAILVALE_SCENARIO_DEMO_REPORT_HPP
#define FOXTAILVALE_SCENARIO_DEMO_REPORT_HPP

#include "fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::scenario
{

// An event of the demonstration, in seconds since the live load began.
struct timeline_event
{
    double second = 0;
    std::string what;
};

// The measurements of the demonstration.
struct findings
{
    std::uint64_t model_bytes = 0;
    double seconds_to_replicas = 0;
    double seconds_to_version = 0;
    double config_in_force_s = 0;
    double domain_out_last_new_work_s = 0;
    double vm_link_copies_max = 0;
    bool in_time = true;
    bool orderly_restarts = true;
    bool orderly_stop = false;
    // Report of the load tool.
    nlohmann::json load;
    std::vector<timeline_event> timeline;
};

// Makes the report from the measurements and the counters of the stand-ins.
nlohmann::json make_report(fleet& running, findings const& found);

// Returns the promises that are broken according to the report; empty if all
// held.
std::vector<std::string> broken_promises(nlohmann::json const& report);

// Prints the report as a table.
void print_table(nlohmann::json const& report);

// Writes report.json, report.html and its plots into the folder.
void write_report(
    std::string const& folder,
    nlohmann::json const& report,
    findings const& found);

} // namespace foxtailvale::scenario

#endif
