#ifndef FOXTAILVALE_SCHEDULING_ADMISSION_RIG_HPP
#define FOXTAILVALE_SCHEDULING_ADMISSION_RIG_HPP

#include <scheduling/admission.hpp>
#include <scheduling/fair_queue.hpp>
#include <scheduling/service_load.hpp>

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

// Entries before one service, in virtual time.
namespace foxtailvale::scheduling
{

// Requests of one size, rank and workspace.
struct rig_kind
{
    std::uint32_t rank = 0;
    std::string workspace;
    // Offered cost as a part of the service's capacity.
    double load = 0;
    // Time for which a request takes a slot.
    std::chrono::milliseconds cost{200};
};

struct rig_setup
{
    std::size_t entries = 8;
    std::vector<rig_kind> kinds;
    // Multiplies all loads, by the second.
    std::function<double(double)> factor = [](double)
    {
        return 1.0;
    };
    // Part of the summaries that are lost.
    double lost = 0;
};

// By kind, in a period.
struct rig_tally
{
    double offered = 0;
    double started = 0;

    double served() const
    {
        return this->started / this->offered;
    }
};

struct rig_period
{
    std::vector<rig_tally> kinds;
    // Occupied part of the slots.
    double busy = 0;
    // Requests refused by their level, and those of them that were refused
    // while a tenth of the slots was free beyond the waiting requests of all
    // entries.
    double refused = 0;
    double refused_while_free = 0;
    // Mean level of each rank over all decisions.
    std::map<std::uint32_t, double> levels;
};

inline constexpr std::uint32_t rig_slots_per_entry = 4;

// Runs the entries for some seconds and returns what happened in each second.
std::vector<rig_period> run_rig(rig_setup const& setup, int seconds);

// Sums of several periods, from the first to before the last one.
rig_period sum_of(
    std::vector<rig_period> const& periods,
    std::size_t first,
    std::size_t last);

} // namespace foxtailvale::scheduling

#endif
