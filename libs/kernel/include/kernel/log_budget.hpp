#ifndef FOXTAILVALE_KERNEL_LOG_BUDGET_HPP
#define FOXTAILVALE_KERNEL_LOG_BUDGET_HPP

#include <chrono>
#include <cstdint>
#include <map>

namespace foxtailvale::kernel
{

// How many lines of each event were written in this second. Made for a burst of
// refusals: writing a line for each takes the processor time that answers need.
struct log_budget
{
    std::int64_t second = 0;
    std::map<int, std::uint32_t> written;
    std::uint32_t left_out = 0;
};

// What becomes of a line.
struct log_verdict
{
    bool may_write = true;
    // Lines left out in the seconds before, told once.
    std::uint32_t lines = 0;
};

// Takes one line of the event into account.
log_verdict
take(log_budget& budget, int event, std::chrono::steady_clock::time_point now);

} // namespace foxtailvale::kernel

#endif
