#include <scheduling/engine_view.hpp>
#include <scheduling/request_cost.hpp>

#include <algorithm>

namespace foxtailvale::scheduling
{

namespace
{

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

void note_suspended(engine_view& view, std::chrono::milliseconds time)
{
    for (auto& sent : view.sent)
    {
        sent.at -= time;
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

} // namespace foxtailvale::scheduling
