#ifndef FOXTAILVALE_DIRECT_ENGINE_WORLD_HPP
#define FOXTAILVALE_DIRECT_ENGINE_WORLD_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Simulates entries, engines and their agents in virtual time while versions of
// the weights are announced under load.
namespace foxtailvale::direct
{

// A period, relative to the start.
struct time_span
{
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};
};

// A fault that affects some engines for a while.
struct engine_fault
{
    std::set<std::size_t> engines;
    time_span time;
};

struct fleet_scenario
{
    std::uint64_t seed = 1;
    std::size_t entries = 8;
    std::size_t engines = 14;
    std::uint32_t slots = 16;
    // Arriving requests as a fraction of the engines' capacity.
    double load = 1;
    // Mean number of requests that arrive at the same time, at any entries.
    std::uint64_t burst = 1;
    // When version 2 and the following versions are announced.
    std::vector<std::chrono::milliseconds> announced_at{
        std::chrono::milliseconds(2000), std::chrono::milliseconds(5000)};
    std::chrono::milliseconds length{14000};
    // Engines that run slower than published by the factor `slowdown`.
    std::vector<engine_fault> slow;
    double slowdown = 4;
    // Paused engines. When they resume, they read what has arrived in the
    // meantime, in order, and count deadlines from then.
    std::vector<engine_fault> engine_pauses;
    // Paused agents.
    std::vector<engine_fault> agent_pauses;
    // Reports of these agents arrive later by report_delay, in order, as over a
    // link that chunk transfers fill.
    std::vector<engine_fault> late_reports;
    std::chrono::milliseconds report_delay{300};
    // Orders given in this period do not reach the engine.
    std::vector<engine_fault> orders_lost;
    // Engines whose chunks arrive later by chunk_delay.
    std::set<std::size_t> late_chunks;
    std::chrono::milliseconds chunk_delay{3000};
    // Number of entries that entries assume, if that differs from the real one.
    std::optional<std::size_t> counted_entries;
    // One in this many requests is written up to 400 ms after the decision;
    // zero for none.
    std::uint64_t one_late_write_in = 0;
    // Engines continue requests whose callers closed the connection.
    bool ignores_close = false;
    // Paused engines continue the requests that they had read, as a device
    // beside the process does. They send and read nothing before they resume.
    bool works_while_paused = false;
    // Callers disconnect if nothing has arrived for caller_patience.
    bool callers_leave = false;
    // Entry that never learns of new versions.
    std::optional<std::size_t> uninformed_entry;
};

// A request that started on a version after its retirement.
struct late_start
{
    std::size_t entry = 0;
    std::size_t engine = 0;
    std::uint64_t version = 0;
    // Work at the engine according to the report used for the decision.
    std::uint32_t work = 0;
    std::chrono::milliseconds report_age{0};
    // All relative to the version's retirement.
    std::chrono::milliseconds decided{0};
    std::chrono::milliseconds arrived{0};
    std::chrono::milliseconds begun{0};
};

struct fleet_outcome
{
    // Counted by the final result for the caller.
    std::size_t requests = 0;
    std::size_t answered = 0;
    // Answered requests whose first event arrived within the goal.
    std::size_t in_time = 0;
    std::size_t interrupted = 0;
    // Interrupted streams that had begun and whose deadline had not passed.
    std::size_t broken_off = 0;
    std::size_t refused = 0;
    // Requests that started on a version older than the newest announced one.
    std::size_t begun_on_older = 0;
    // Shortest time between such a start and the version's retirement.
    std::chrono::milliseconds min_time_left{8000};
    // Longest time from arrival at the engine until the start, among requests
    // that were sent because the engine's agent had reported a free slot.
    std::chrono::milliseconds max_wait_with_slot{0};
    std::vector<late_start> late;
    // Callers that disconnected without an answer.
    std::size_t left = 0;
    // Their requests that engines had read and not ended by then and that would
    // have run for longer than max_work_after_leaving, and those of them that
    // were still worked on after that time.
    std::size_t at_work_when_left = 0;
    std::size_t still_at_work = 0;
    // Engines that serve the newest version at the end.
    std::size_t on_newest = 0;

    bool operator==(fleet_outcome const& other) const;
};

// How long requests may start on the previous version after an announcement.
inline constexpr std::chrono::milliseconds version_bound{8000};

// How long an engine may work for a caller that has disconnected.
inline constexpr std::chrono::milliseconds max_work_after_leaving{500};

// Runs the scenario in steps of 1 ms. Entries and agents use the production
// decision code; engines, connections and callers are simulated.
fleet_outcome run_fleet(fleet_scenario const& scenario);

// Returns a readable summary in one line, plus one line for each late start.
std::string to_text(fleet_outcome const& outcome);

} // namespace foxtailvale::direct

#endif
