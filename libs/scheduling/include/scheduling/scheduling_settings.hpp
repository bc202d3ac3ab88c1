#ifndef FOXTAILVALE_SCHEDULING_SCHEDULING_SETTINGS_HPP
#define FOXTAILVALE_SCHEDULING_SCHEDULING_SETTINGS_HPP

#include <cstdint>
#include <map>
#include <string>

namespace foxtailvale::scheduling
{

// Whether requests are admitted by rank, workspace and cost, and refused
// callers are promised a time to return.
enum class ranked_admission
{
    // Where the platform says that ranks compete, and for services whose routes
    // differ in priority.
    automatic,
    on,
    off,
};

// How an endpoint is chosen among those with free capacity.
enum class endpoint_choice
{
    // The cheapest of a small random sample.
    sampled,
    // The cheapest of all.
    least_loaded,
};

// What operators may set; see docs/OPERATIONS.md.
struct scheduling_settings
{
    ranked_admission admission = ranked_admission::off;
    endpoint_choice choice = endpoint_choice::sampled;
    // Share of equal treatment that each rank keeps under pressure.
    double rank_floor = 0.25;
    // Relative shares of workspaces, from 1 to 100; one where not set.
    std::map<std::string, std::uint32_t> workspace_weights;

    bool operator==(scheduling_settings const&) const = default;
};

} // namespace foxtailvale::scheduling

#endif
