#include <kernel/events.hpp>
#include <kernel/log_budget.hpp>

#include <utility>

namespace foxtailvale::kernel
{

log_verdict
take(log_budget& budget, int event, std::chrono::steady_clock::time_point now)
{
    log_verdict verdict;
    auto const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (second != budget.second)
    {
        budget.second = second;
        budget.written.clear();
        verdict.lines = std::exchange(budget.left_out, 0);
    }
    auto& written = budget.written[event];
    verdict.may_write = written < most_lines_a_second;
    if (verdict.may_write)
    {
        ++written;
    }
    else
    {
        ++budget.left_out;
    }
    return verdict;
}

} // namespace foxtailvale::kernel
