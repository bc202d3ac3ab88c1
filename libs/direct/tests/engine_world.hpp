#ifndef FOXTAILVALE_DIRECT_ENGINE_WORLD_HPP
#define FOXTAILVALE_DIRECT_ENGINE_WORLD_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Entries, engines and the agents beside them in virtual time, while versions
// of the weights are named under load.
namespace foxtailvale::direct
{

// A stretch of time, counted from the start.
struct stretch
{
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};
};

// Something that happens to some engines for a while.
struct engine_trouble
{
    std::set<std::size_t> engines;
    stretch time;
};

struct fleet_course
{
    std::uint64_t seed = 1;
    std::size_t entries = 8;
    std::size_t engines = 14;
    std::uint32_t slots = 16;
    // Requests that arrive, as a share of what the engines can do.
    double load = 1;
    // Requests that arrive at the same moment, at any entries; the mean of it.
    std::uint64_t together = 1;
    // When version 2 was named, and those after it.
    std::vector<std::chrono::milliseconds> named{
        std::chrono::milliseconds(2000), std::chrono::milliseconds(5000)};
    std::chrono::milliseconds length{14000};
    // Engines that work so many times slower than published.
    std::vector<engine_trouble> slow;
    double slowness = 4;
    // Engines that stand still. They read what came meanwhile when they go on,
    // in order, and count deadlines from then.
    std::vector<engine_trouble> engine_pauses;
    // Agents that stand still.
    std::vector<engine_trouble> agent_pauses;
    // Reports of these agents come that much later, in order, as over a link
    // that chunks fill.
    std::vector<engine_trouble> late_reports;
    std::chrono::milliseconds report_delay{300};
    // Orders given in this time do not reach the engine.
    std::vector<engine_trouble> orders_lost;
    // Chunks of these engines come that much later.
    std::set<std::size_t> late_chunks;
    std::chrono::milliseconds chunk_delay{3000};
    // What entries take for the number of entries, where that is wrong.
    std::optional<std::size_t> counted_entries;
    // One request in so many is written up to 400 ms after the decision.
    std::uint64_t one_late_write_in = 0;
    // The engines go on with requests whose callers closed the connection.
    bool ignores_close = false;
    // Engines that stand still work on what they had read, as a device beside
    // the process does; nothing of it comes out, and nothing new is read,
    // before they go on.
    bool works_unheard = false;
    // Callers leave when nothing has come for caller_patience.
    bool callers_leave = false;
    // This entry never learns of versions.
    std::optional<std::size_t> entry_without_news;
};

// A request that began on a version after its time.
struct late_beginning
{
    std::size_t entry = 0;
    std::size_t engine = 0;
    std::uint64_t version = 0;
    // What the report showed when the entry decided.
    std::uint32_t work = 0;
    std::chrono::milliseconds report_age{0};
    // All counted from the end of the version's time.
    std::chrono::milliseconds decided{0};
    std::chrono::milliseconds arrived{0};
    std::chrono::milliseconds begun{0};
};

struct fleet_outcome
{
    // By what the callers got in the end.
    std::size_t asked = 0;
    std::size_t answered = 0;
    // Of these, with a first event within the goal.
    std::size_t in_time = 0;
    std::size_t cut = 0;
    std::size_t refused = 0;
    // Requests that began on a version older than the newest that was named.
    std::size_t begun_on_older = 0;
    // Time that the last of these had left.
    std::chrono::milliseconds least_left{8000};
    // Longest time from its arrival at the engine until a request began that
    // was sent as the engine's agent had reported a free slot.
    std::chrono::milliseconds longest_with_slot{0};
    std::vector<late_beginning> late;
    // Callers who left unanswered.
    std::size_t left = 0;
    // Their requests that engines had read and not ended when they left, as far
    // as they would have lasted for run_on_time, and those of them that were
    // still worked on that long afterwards.
    std::size_t at_work_when_left = 0;
    std::size_t ran_on = 0;
    // Engines that serve the newest version at the end.
    std::size_t on_newest = 0;

    bool operator==(fleet_outcome const& other) const;
};

// How long after a naming requests may begin on the version before.
inline constexpr std::chrono::milliseconds version_bound{8000};

// How long an engine may still work for a caller who has left.
inline constexpr std::chrono::milliseconds run_on_time{500};

// Plays the course in steps of a millisecond. Entries and agents decide as in
// the product; engines, wires and callers are played here.
fleet_outcome run_fleet(fleet_course const& course);

// One line of figures for people.
std::string to_text(fleet_outcome const& outcome);

} // namespace foxtailvale::direct

#endif
