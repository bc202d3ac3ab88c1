#include <scheduling/engine_view.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace foxtailvale::scheduling
{

namespace
{

constexpr double late_ratio = 2;
constexpr double on_time_ratio = 1.5;
constexpr double max_slowdown = 3;

// Part of the candidates that may count as slow at one time.
constexpr std::size_t slow_divisor = 3;

bool is_recent(sent_prompt const& sent, base::time_point now)
{
    return now - sent.at < sent_window;
}

} // namespace

void note_sent(
    engine_view& view, std::uint64_t prompt_tokens, base::time_point now)
{
    auto& sent = view.sent;
    while (!sent.empty() && !is_recent(sent.front(), now))
    {
        sent.pop_front();
    }
    sent.push_back({now, std::min(prompt_tokens, max_counted_tokens)});
}

void note_first_event(
    engine_view& view,
    base::duration expected,
    base::duration taken,
    base::time_point now)
{
    if (expected <= base::duration::zero())
    {
        return;
    }
    auto const ratio = std::chrono::duration<double>(taken) /
                       std::chrono::duration<double>(expected);
    if (ratio >= late_ratio)
    {
        view.last_ratio = std::min(ratio, max_slowdown);
        view.last_late = now;
    }
    else if (ratio < on_time_ratio)
    {
        view.last_ratio = 1;
    }
}

std::uint64_t tokens_ahead(engine_view const& view, base::time_point now)
{
    std::uint64_t sum = 0;
    for (auto const& sent : view.sent)
    {
        sum += is_recent(sent, now) ? sent.tokens : 0;
    }
    return sum;
}

double slowdown(engine_view const& view, base::time_point now)
{
    return now - view.last_late < slowdown_memory ? view.last_ratio : 1;
}

void limit_slowdowns(std::span<double> slowdowns)
{
    auto const most = slowdowns.size() / slow_divisor;
    std::vector<std::size_t> slow;
    for (std::size_t index = 0; index < slowdowns.size(); ++index)
    {
        if (slowdowns[index] > 1)
        {
            slow.push_back(index);
        }
    }
    if (slow.size() <= most)
    {
        return;
    }
    std::ranges::sort(
        slow, std::ranges::greater(),
        [slowdowns](std::size_t index)
        {
            return slowdowns[index];
        });
    for (auto const index : std::span(slow).subspan(most))
    {
        slowdowns[index] = 1;
    }
}

base::duration expected_first_event(
    engine_speed const& speed,
    std::uint32_t steps_per_pass,
    std::uint64_t prompt_tokens,
    std::uint64_t ahead)
{
    if (speed.read_per_second <= 0)
    {
        return base::duration::zero();
    }
    auto const prompt = prompt_tokens > 0 ? static_cast<double>(prompt_tokens)
                                          : speed.usual_prompt;
    auto const tokens =
        prompt + static_cast<double>(ahead) + speed.usual_prompt;
    auto const read =
        std::chrono::duration<double>(tokens / speed.read_per_second);
    return std::chrono::duration_cast<base::duration>(
        read + speed.step * steps_per_pass);
}

} // namespace foxtailvale::scheduling
