#ifndef FOXTAILVALE_BENCH_WEIGHTS_BURST_HPP
#define FOXTAILVALE_BENCH_WEIGHTS_BURST_HPP

#include <fleet.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailvale::bench_weights
{

// Parameters of one burst.
struct burst_settings
{
    scenario::fleet_paths paths;
    unsigned network = 1;
    // "forest", "swarm" or "origin".
    std::string distribution;
    // Three domains in three regions, or seven in two.
    int domains = 3;
    int agents = 12;
    std::uint64_t bytes = 0;
    // A burst that takes longer is recorded as unfinished.
    std::chrono::seconds max_duration{0};
};

// Measured results of one burst.
struct burst_result
{
    bool finished = false;
    // From the acceptance of the release note until all, or half, of the
    // engines served the version.
    double seconds_all = 0;
    double seconds_half = 0;
    // Lower bound: time to transfer the version over the narrowest link at its
    // full rate.
    double seconds_bound = 0;
    double origin_copies = 0;
    double region_copies = 0;
    // Copies of the version over a VM's network link, in and out together.
    double vm_copies_mean = 0;
    double vm_copies_max = 0;
    double agent_cpu_seconds = 0;
    double agent_peak_mib = 0;
    double live_p95_idle_ms = 0;
    double live_p95_burst_ms = 0;
    std::uint64_t live_failed = 0;
};

// Runs a fleet of real processes with one model under live load, and then
// releases a second, larger model to all engines at once.
burst_result measure_burst(burst_settings const& settings);

} // namespace foxtailvale::bench_weights

#endif
