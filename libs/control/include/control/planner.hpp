#ifndef FOXTAILVALE_CONTROL_PLANNER_HPP
#define FOXTAILVALE_CONTROL_PLANNER_HPP

#include <control/plan.hpp>
#include <release/configuration.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::control
{

// An engine endpoint that the planner may assign models to.
struct plan_member
{
    std::string agent;
    std::string address;
    std::uint32_t memory_mib = 0;
};

// Computes the next plan of one failure domain. Each model goes to as many
// endpoints as the configuration requests there, or to as many as there are. An
// endpoint keeps its models while they are still requested, because moving
// weights is expensive; new replicas go to the endpoints with the least memory
// in use, ties broken by name, so that equal inputs give equal plans in every
// process. A failure domain that is out of service keeps its plan, so that its
// return does not cause a burst of weight transfers.
//
// The version is copied from the previous plan. The writer of the plan
// increases it, and only when something else changed.
domain_plan make_plan(
    release::configuration const& configuration,
    std::string const& failure_domain,
    std::vector<plan_member> members,
    domain_plan const& previous);

// Whether two plans have the same region and assign the same models to the same
// endpoints.
bool same_assignments(domain_plan const& left, domain_plan const& right);

} // namespace foxtailvale::control

#endif
