#include <scheduling/request_cost.hpp>

#include <algorithm>
#include <cmath>

namespace foxtailvale::scheduling
{

namespace
{

constexpr std::chrono::microseconds cost_without_figures{1000};

double counted_tokens(std::uint64_t stated, double usual)
{
    auto const tokens = stated > 0 ? static_cast<double>(stated) : usual;
    return std::min(tokens, static_cast<double>(max_counted_tokens));
}

} // namespace

std::chrono::microseconds
request_cost(engine_speed const& speed, request_size const& size)
{
    constexpr double us_per_second = 1e6;
    constexpr double us_per_ms = 1000;
    auto const prompt = counted_tokens(size.prompt_tokens, speed.usual_prompt);
    auto const answer =
        counted_tokens(size.expected_tokens, speed.usual_answer);
    auto const read = speed.read_per_second > 0
                          ? us_per_second * prompt / speed.read_per_second
                          : 0.0;
    auto const slots =
        static_cast<double>(std::max<std::uint32_t>(1, speed.slots));
    auto const step =
        us_per_ms * (speed.step / slots + speed.step_per_request).count();
    auto const cost = std::chrono::microseconds(
        static_cast<std::int64_t>(std::llround(read + answer * step)));
    return cost.count() > 0 ? cost : cost_without_figures;
}

} // namespace foxtailvale::scheduling
