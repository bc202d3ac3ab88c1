#ifndef FOXTAILVALE_SCHEDULING_LOAD_SUMMARY_HPP
#define FOXTAILVALE_SCHEDULING_LOAD_SUMMARY_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace foxtailvale::scheduling
{

// Cost of the requests of one rank in the last second, in engine time. Every
// request counts as offered; those that neither started nor were refused still
// wait or were withdrawn by their callers.
struct rank_load
{
    std::chrono::microseconds offered{0};
    std::chrono::microseconds started{0};
    std::chrono::microseconds refused{0};

    bool operator==(rank_load const&) const = default;
};

// Hash of a workspace's name, which bounds the size of a summary in messages.
using workspace_key = std::uint64_t;

// Limits on the size of a summary in messages.
inline constexpr std::size_t max_summary_ranks = 8;
inline constexpr std::size_t max_summary_workspaces = 8;

// Load of one service in the last second, at one entry or summed over several.
struct load_summary
{
    // By rank; zero is the highest.
    std::map<std::uint32_t, rank_load> ranks;
    // Offered cost by workspace.
    std::map<workspace_key, std::chrono::microseconds> workspaces;
    // Number of requests that wait for an endpoint now.
    std::uint32_t waiting = 0;

    bool operator==(load_summary const&) const = default;
};

} // namespace foxtailvale::scheduling

#endif
