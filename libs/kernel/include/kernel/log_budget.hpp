#ifndef FOXTAILVALE_KERNEL_LOG_BUDGET_HPP
#define FOXTAILVALE_KERNEL_LOG_BUDGET_HPP

#include <chrono>
#include <cstdint>
#include <map>

namespace foxtailvale::kernel
{

// Number of lines of each event written in the current second. The limit is for
// bursts of refusals, where writing a line for each would take the processor
// time that answers need.
struct log_budget
{
    std::int64_t second = 0;
    std::map<int, std::uint32_t> written;
    std::uint32_t left_out = 0;
};

// Whether a line may be written.
struct log_decision
{
    bool may_write = true;
    // Lines left out since they were last reported; set only on the first line
    // of a second.
    std::uint32_t left_out_lines = 0;
};

// Counts one line of the event against the budget of the current second.
log_decision admit_line(
    log_budget& budget, int event, std::chrono::steady_clock::time_point now);

} // namespace foxtailvale::kernel

#endif
