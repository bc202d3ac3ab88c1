#ifndef FOXTAILVALE_CONTROL_PLANNER_HPP
#define FOXTAILVALE_CONTROL_PLANNER_HPP

#include <control/plan.hpp>
#include <release/configuration.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::control
{

// An engine endpoint that the planner may use.
struct plan_member
{
    std::string agent;
    std::string address;
    std::uint32_t memory_mib = 0;
};

// The next plan of one failure domain: each model on as many endpoints as the
// configuration wants there, or on as many as there are. An endpoint keeps
// what it has while that is still wanted (weights are costly to move); new
// replicas go to the endpoints with the least memory in use, by name on a tie,
// so that equal inputs give equal plans on every process. A domain that is out
// keeps its plan: it must come back without a burst.
//
// The version is left as in the previous plan; whoever writes the plan raises
// it, and only when something else changed.
domain_plan make_plan(
    release::configuration const& configuration,
    std::string const& failure_domain,
    std::vector<plan_member> members,
    domain_plan const& previous);

// Whether two plans order the same.
bool same_assignments(domain_plan const& left, domain_plan const& right);

} // namespace foxtailvale::control

#endif
