#include <scheduling/admission.hpp>
#include <scheduling/service_load.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;

// Waiting requests that do not count: a few, or this part of the requests that
// start in a second. A single entry has as many for a moment when its requests
// arrive together.
constexpr double ignored_waiting = 4;
constexpr double ignored_waiting_share = 0.02;

// Refused part of the offered cost that does not count. Some callers come with
// too little time left for any answer.
constexpr double ignored_refused_share = 0.01;

// Time between two reports of an endpoint. A lack or an excess of free slots is
// corrected within it.
constexpr std::chrono::duration<double> report_interval{0.1};

double us(microseconds value)
{
    return static_cast<double>(value.count());
}

// Sums over all ranks, in microseconds of engine time per second.
struct load_sums
{
    double offered = 0;
    double started = 0;
    double refused = 0;
};

load_sums sums_of(load_summary const& load)
{
    load_sums sums;
    for (auto const& [rank, counts] : load.ranks)
    {
        sums.offered += us(counts.offered);
        sums.started += us(counts.started);
        sums.refused += us(counts.refused);
    }
    return sums;
}

// Number of waiting requests beyond the ignored ones.
double counted_waiting(admission_view const& view, load_sums const& sums)
{
    auto const usual = std::max(us(view.usual_cost), 1.0);
    auto const ignored =
        std::max(ignored_waiting, ignored_waiting_share * sums.started / usual);
    return std::max(0.0, static_cast<double>(view.load.waiting) - ignored);
}

// Engine time per second available for requests that arrive until the next
// report of free slots.
double capacity_of(admission_view const& view, load_sums const& sums)
{
    auto const spare = (static_cast<double>(view.free_slots) -
                        static_cast<double>(view.load.waiting)) *
                       us(view.usual_cost);
    return std::max(0.0, sums.started + spare / report_interval.count());
}

// The floor of a rank with this offered cost.
double
floor_of(double offered, double capacity, double all_offered, double rank_floor)
{
    auto const equal = std::min(1.0, capacity / all_offered);
    return rank_floor * offered * equal;
}

// Admitted fraction of the rank. Each rank gets what the ranks above it have
// left, less the floors of those below it.
double rank_level(
    admission_view const& view,
    load_sums const& sums,
    double rank_floor,
    std::uint32_t rank)
{
    auto const capacity = capacity_of(view, sums);
    auto left = capacity;
    auto lower_floors =
        floor_of(sums.offered, capacity, sums.offered, rank_floor);
    for (auto const& [next, counts] : view.load.ranks)
    {
        auto const offered = us(counts.offered);
        auto const floor =
            floor_of(offered, capacity, sums.offered, rank_floor);
        lower_floors -= floor;
        auto const granted = std::clamp(left - lower_floors, floor, offered);
        if (next >= rank)
        {
            return offered > 0 ? granted / offered : 1;
        }
        left -= granted;
    }
    return 1;
}

struct workspace_demand
{
    // Of the service's offered cost.
    double part = 0;
    double weight = 1;
};

double weight_of(admission_settings const& settings, workspace_key workspace)
{
    auto const found = settings.weights.find(workspace);
    return found == settings.weights.end() ? 1.0 : found->second;
}

// Demands of the named workspaces. The rest is divided into demands of the size
// of the median named one, as each entry names only its largest and most
// workspaces are named by some entry. Failure: with the size of the smallest
// one, the rest counted as many small workspaces, and all named ones were cut.
std::vector<workspace_demand> demands_of(
    load_summary const& load,
    load_sums const& sums,
    admission_settings const& settings)
{
    std::vector<workspace_demand> demands;
    std::vector<double> parts;
    auto rest = 1.0;
    for (auto const& [workspace, cost] : load.workspaces)
    {
        auto const part = us(cost) / sums.offered;
        if (part > 0)
        {
            demands.push_back({part, weight_of(settings, workspace)});
            parts.push_back(part);
            rest -= part;
        }
    }
    // A smaller rest comes from rounding.
    constexpr double least_rest = 0.001;
    if (rest > least_rest && !parts.empty())
    {
        auto const middle =
            parts.begin() + static_cast<std::ptrdiff_t>(parts.size() / 2);
        std::ranges::nth_element(parts, middle);
        demands.push_back({rest, std::ceil(rest / *middle)});
    }
    return demands;
}

// Max-min fairness: returns the part per weight up to which demands are met, so
// that the fraction `level` of all is met.
double fair_part(std::vector<workspace_demand> demands, double level)
{
    std::ranges::sort(
        demands, {},
        [](workspace_demand const& demand)
        {
            return demand.part / demand.weight;
        });
    auto weights = 0.0;
    auto left = 0.0;
    for (auto const& demand : demands)
    {
        weights += demand.weight;
        left += level * demand.part;
    }
    for (auto const& demand : demands)
    {
        auto const fair = left / weights;
        if (demand.part / demand.weight >= fair)
        {
            return fair;
        }
        left -= demand.part;
        weights -= demand.weight;
    }
    return 1;
}

double workspace_level(
    admission_view const& view,
    load_sums const& sums,
    admission_settings const& settings,
    workspace_key workspace,
    double level)
{
    auto const found = view.load.workspaces.find(workspace);
    auto const demands = demands_of(view.load, sums, settings);
    if (level >= 1 || found == view.load.workspaces.end() || demands.empty())
    {
        return level;
    }
    auto const part = us(found->second) / sums.offered;
    auto const fair =
        fair_part(demands, level) * weight_of(settings, workspace);
    return part > fair ? fair / part : 1;
}

bool is_lower_rank(load_summary const& load, std::uint32_t rank)
{
    return !load.ranks.empty() && load.ranks.begin()->first < rank;
}

} // namespace

admission_settings admission_settings_of(scheduling_settings const& settings)
{
    admission_settings own;
    own.rank_floor = settings.rank_floor;
    for (auto const& [workspace, weight] : settings.workspace_weights)
    {
        own.weights[workspace_key_of(workspace)] = weight;
    }
    return own;
}

bool is_under_pressure(admission_view const& view)
{
    auto const sums = sums_of(view.load);
    return counted_waiting(view, sums) > 0 ||
           sums.refused > ignored_refused_share * sums.offered;
}

admission_level level_for(
    admission_view const& view,
    admission_settings const& settings,
    admission_query const& query)
{
    if (view.is_incomplete)
    {
        auto const to_floor =
            view.load.waiting > 0 && is_lower_rank(view.load, query.rank);
        return to_floor
                   ? admission_level{settings.rank_floor, settings.rank_floor}
                   : admission_level{};
    }
    auto const sums = sums_of(view.load);
    if (sums.offered <= 0 || !is_under_pressure(view))
    {
        return {};
    }
    auto const level = rank_level(view, sums, settings.rank_floor, query.rank);
    return {
        level, workspace_level(view, sums, settings, query.workspace, level)};
}

admission_decision decide(
    admission_view const& view,
    admission_settings const& settings,
    admission_query const& query,
    base::random_state& random)
{
    constexpr std::uint64_t steps = 1U << 20U;
    auto const level = level_for(view, settings, query);
    auto const drawn =
        static_cast<double>(base::random_below(random, steps)) / steps;
    if (query.kept_return || drawn < level.workspace)
    {
        return {admission_verdict::admit, level};
    }
    return {
        level.workspace < level.rank ? admission_verdict::refuse_workspace
                                     : admission_verdict::refuse_rank,
        level};
}

bool is_ranked(
    ranked_admission setting, bool ranks_compete, bool priorities_differ)
{
    return setting == ranked_admission::on ||
           (setting == ranked_admission::automatic &&
            (ranks_compete || priorities_differ));
}

} // namespace foxtailvale::scheduling
