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

void note_answer(usual_size& usual, std::uint64_t tokens)
{
    // The mean follows a change within some hundred answers; single long
    // answers do not move it.
    constexpr double newest = 1.0 / 64;
    auto const counted =
        static_cast<double>(std::min(tokens, max_counted_tokens));
    usual.answer_tokens += usual.answer_tokens > 0
                               ? newest * (counted - usual.answer_tokens)
                               : counted;
}

std::chrono::microseconds request_cost(
    engine_speed speed, request_size const& size, usual_size const& usual)
{
    if (usual.answer_tokens > 0)
    {
        speed.usual_answer = usual.answer_tokens;
    }
    return request_cost(speed, size);
}

} // namespace foxtailvale::scheduling
