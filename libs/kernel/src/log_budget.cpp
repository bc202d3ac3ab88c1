#include <kernel/events.hpp>
#include <kernel/log_budget.hpp>

#include <utility>

namespace foxtailvale::kernel
{

log_decision admit_line(
    log_budget& budget, int event, std::chrono::steady_clock::time_point now)
{
    log_decision decision;
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (second != budget.second)
    {
        budget.second = second;
        budget.written.clear();
        decision.left_out_lines = std::exchange(budget.left_out, 0);
    }
    auto& written = budget.written[event];
    decision.may_write = written < max_lines_per_second;
    if (decision.may_write)
    {
        ++written;
    }
    else
    {
        ++budget.left_out;
    }
    return decision;
}

} // namespace foxtailvale::kernel
