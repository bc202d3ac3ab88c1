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

// A span of time counted from the naming of the version.
struct span
{
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};
};

struct burst_course
{
    std::size_t agents = 24;
    // The origin has no power in this time: calls get no answer.
    std::optional<span> origin_away;
    // These agents neither send nor receive, whatever happens.
    std::set<std::size_t> dead;
    // These end so long after the naming.
    std::map<std::size_t, std::chrono::milliseconds> dies;
    // These begin so much later.
    std::map<std::size_t, std::chrono::milliseconds> late;
    // These cannot reach the origin.
    std::set<std::size_t> cut_from_origin;
    // All agents draw, as before few did; shows what the bound is for.
    bool all_draw = false;
    // Agents of engines that serve the version already.
    std::size_t holders = 0;
    // Links of these are so many times narrower.
    std::map<std::size_t, double> squeezed;
};

struct burst_outcome
{
    // When the last agent that lives had all chunks; nothing if never.
    std::optional<std::chrono::milliseconds> whole;
    // When the origin had sent each chunk once.
    std::optional<std::chrono::milliseconds> first_copy;
    // What it sent, in copies.
    double copies = 0;
    std::size_t most_connections = 0;
    // Connections that the origin refused.
    std::size_t refused = 0;
};

// Runs a burst in virtual time, in steps of 5 ms: three failure domains, an
// origin with 48 connections and 9.9 Mbit/s, agents with links of 7.6 Mbit/s,
// 64 chunks of 32 KiB. Agents follow the product's decisions; the wire between
// them is played here.
burst_outcome run_burst(burst_course const& course);

} // namespace foxtailvale::weights

#endif
