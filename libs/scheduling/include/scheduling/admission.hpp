#ifndef FOXTAILVALE_SCHEDULING_ADMISSION_HPP
#define FOXTAILVALE_SCHEDULING_ADMISSION_HPP

#include <base/random.hpp>

#include <scheduling/load_summary.hpp>
#include <scheduling/scheduling_settings.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

// Admission control: which requests of a service are refused on arrival when
// its endpoints cannot serve all.
namespace foxtailvale::scheduling
{

// What the operators' settings say, with the workspaces as summaries name them.
struct admission_settings
{
    // Share of equal treatment that each rank keeps under pressure.
    double rank_floor = 0.25;
    // Relative shares of workspaces; one where not set.
    std::map<workspace_key, std::uint32_t> weights;
};

admission_settings admission_settings_of(scheduling_settings const& settings);

// A service and its requests as known at the time of a decision.
struct admission_view
{
    // Requests of the last second at all known entries.
    load_summary load;
    // Requests that the endpoints could take now.
    std::uint32_t free_slots = 0;
    // Mean cost of a request of the service.
    std::chrono::microseconds usual_cost{0};
    // The counts do not cover a second yet and no other entry has sent its own.
    bool is_incomplete = false;
};

// A request that arrived.
struct admission_query
{
    // Zero is the highest rank.
    std::uint32_t rank = 0;
    workspace_key workspace = 0;
    // The caller was refused and came back at the time that it was promised.
    bool kept_return = false;
};

// Admitted fractions, from zero to one.
struct admission_level
{
    // Of the rank's offered cost.
    double rank = 1;
    // Of the workspace's offered cost within the rank.
    double workspace = 1;
};

enum class admission_verdict
{
    admit,
    // All workspaces of the rank are affected alike.
    refuse_rank,
    // The workspace is over its share.
    refuse_workspace,
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::admit;
    admission_level level;
};

// Whether the service is under pressure: requests wait for it or were refused
// in the last second, beyond what noise at single entries explains.
bool is_under_pressure(admission_view const& view);

// Returns the admitted fractions for this rank and workspace.
//
// Without pressure all are admitted. Otherwise the capacity until the next
// report of free slots is the cost started in the last second, scaled to that
// time, plus that of a usual request for each free slot, less that of the
// requests that wait already. Rank 0 takes its part first. Each lower rank
// keeps its floor: a share of the part that it would get if all ranks were
// treated alike. Within a rank the capacity is divided by max-min fairness over
// the weights of the workspaces. Summaries do not say which ranks a workspace
// uses; every rank is assumed to have the same mixture of workspaces.
//
// The level follows the free slots without a threshold to cross, so it settles
// instead of alternating between open and shut: it is one when they cover what
// arrives until the next report. It is independent of the size of the request.
admission_level level_for(
    admission_view const& view,
    admission_settings const& settings,
    admission_query const& query);

// Decides on a request by a random draw at its level. A kept return is always
// admitted.
admission_decision decide(
    admission_view const& view,
    admission_settings const& settings,
    admission_query const& query,
    base::random_state& random);

// Whether ranked admission is in force for a service. `ranks_compete` is what
// the platform says of all services, `priorities_differ` whether routes that
// lead to this service differ in priority.
bool is_ranked(
    ranked_admission setting, bool ranks_compete, bool priorities_differ);

} // namespace foxtailvale::scheduling

#endif
