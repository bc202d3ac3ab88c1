#ifndef FOXTAILVALE_WEIGHTS_BURST_WORLD_HPP
#define FOXTAILVALE_WEIGHTS_BURST_WORLD_HPP

#include <weights/chunk_transfer.hpp>
#include <weights/receive_window.hpp>
#include <weights/send_window.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace foxtailvale::weights
{

// A time span relative to the announcement of the version.
struct time_span
{
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};
};

struct burst_scenario
{
    std::size_t agents = 24;
    // The origin is without power: requests get no response.
    std::optional<time_span> origin_down;
    // Agents that never send or receive.
    std::set<std::size_t> dead;
    // Agents that die this long after the announcement.
    std::map<std::size_t, std::chrono::milliseconds> dies;
    // Agents that begin this much later.
    std::map<std::size_t, std::chrono::milliseconds> late;
    // Agents that cannot reach the origin.
    std::set<std::size_t> cut_from_origin;
    // All agents fetch from the origin; shows why the number of fetchers is
    // limited.
    bool all_fetch_from_origin = false;
    // Number of agents whose engines serve the version already.
    std::size_t holders = 0;
    // Agents whose links are narrower by this factor.
    std::map<std::size_t, double> narrowed;
};

struct burst_outcome
{
    // When the last live agent had all chunks; nothing if that did not happen.
    std::optional<std::chrono::milliseconds> completed_after;
    // When the origin had sent each chunk once.
    std::optional<std::chrono::milliseconds> first_copy;
    // Amount that the origin sent, in copies of the version.
    double copies = 0;
    std::size_t max_connections = 0;
    // Connections that the origin refused.
    std::size_t refused = 0;
};

// Simulates a burst in virtual time, in steps of 5 ms: three failure domains,
// an origin with 48 connections and 9.9 Mbit/s, agents with links of 7.6
// Mbit/s, 64 chunks of 32 KiB. The agents' decisions are those of the product;
// the network between them is simulated.
burst_outcome run_burst(burst_scenario const& scenario);

} // namespace foxtailvale::weights

#endif
