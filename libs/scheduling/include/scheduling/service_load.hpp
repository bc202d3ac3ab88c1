#ifndef FOXTAILVALE_SCHEDULING_SERVICE_LOAD_HPP
#define FOXTAILVALE_SCHEDULING_SERVICE_LOAD_HPP

#include <base/ids.hpp>

#include <scheduling/load_summary.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace foxtailvale::scheduling
{

// Period over which an entry counts its own requests.
inline constexpr std::chrono::milliseconds load_window{1000};

// Resolution at which counts leave the window.
inline constexpr std::chrono::milliseconds load_bucket_width{50};

// A summary has full weight for the first period after its arrival and decays
// linearly to zero in the second. Failure: the last summary of an entry that
// died kept its requests in the totals.
inline constexpr std::chrono::milliseconds summary_full_weight{1000};
inline constexpr std::chrono::milliseconds summary_decay{500};

// Summaries with a larger figure are dropped: an entry would have to start
// this much engine time in a second.
inline constexpr std::chrono::seconds max_plausible_cost{3600};

// Summaries with more waiting requests are dropped, so that one faulty entry
// does not keep the whole failure domain under pressure.
inline constexpr std::uint32_t max_plausible_waiting = 10'000;

// Maximum number of entries whose summaries are kept; covers more than twice
// the entries of the largest failure domain.
inline constexpr std::size_t max_summarized_entries = 1024;

// What is wrong with a summary.
enum class summary_fault
{
    too_many_ranks,
    too_many_workspaces,
    implausible_cost,
    implausible_waiting,
    too_many_entries,
};

char const* to_string(summary_fault fault);

// The requests of a short period.
struct load_bucket
{
    base::time_point begin;
    load_summary counts;
};

// The latest summary of another entry.
struct received_summary
{
    load_summary summary;
    base::time_point received;
};

// Load of one service as one entry knows it: its own requests of the last
// second and the summaries of the other entries of its failure domain.
struct service_load
{
    // Own requests, oldest bucket first.
    std::deque<load_bucket> buckets;
    // Own requests that wait for an endpoint now.
    std::uint32_t waiting = 0;
    // By name of the entry.
    std::map<std::string, received_summary> others;
};

// Key of a workspace in summaries.
workspace_key workspace_key_of(std::string const& workspace);

// Counts a request that arrived.
void note_offered(
    service_load& load,
    std::uint32_t rank,
    workspace_key workspace,
    std::chrono::microseconds cost,
    base::time_point now);

// Counts a request that was sent to an endpoint.
void note_started(
    service_load& load,
    std::uint32_t rank,
    workspace_key workspace,
    std::chrono::microseconds cost,
    base::time_point now);

// Counts a request that was refused.
void note_refused(
    service_load& load,
    std::uint32_t rank,
    workspace_key workspace,
    std::chrono::microseconds cost,
    base::time_point now);

// Sets the number of requests that wait for an endpoint.
void note_waiting(service_load& load, std::uint32_t waiting);

// Returns the own requests of the last second, in the size that a message may
// have: ranks beyond the eighth are counted as the eighth, and only the largest
// workspaces are named.
load_summary summarize(service_load const& load, base::time_point now);

// Returns what makes the summary invalid, if anything.
std::optional<summary_fault> find_fault(load_summary const& summary);

// Records another entry's summary in place of its previous one. A summary with
// a fault is dropped, and the fault returned.
std::optional<summary_fault> note_summary(
    service_load& load,
    std::string const& entry,
    load_summary const& summary,
    base::time_point now);

// Whether a summary of another entry has any weight now.
bool has_summary(service_load const& load, base::time_point now);

// Returns the own requests of the last second, with all workspaces, plus the
// others' summaries by their weight.
load_summary totals(service_load const& load, base::time_point now);

// Removes counts and summaries that no longer have any weight.
void expire(service_load& load, base::time_point now);

// Ages all counts and summaries by the time for which the machine was
// suspended, during which the steady clock did not advance.
void note_suspended(service_load& load, std::chrono::milliseconds suspended);

} // namespace foxtailvale::scheduling

#endif
