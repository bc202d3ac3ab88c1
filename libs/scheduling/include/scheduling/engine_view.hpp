#ifndef FOXTAILVALE_SCHEDULING_ENGINE_VIEW_HPP
#define FOXTAILVALE_SCHEDULING_ENGINE_VIEW_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <deque>

// State of an endpoint as the requests of one entry show it.
namespace foxtailvale::scheduling
{

// Time for which a prompt that was sent counts as ahead of the next one.
inline constexpr std::chrono::milliseconds sent_window{250};

struct sent_prompt
{
    base::time_point at;
    std::uint64_t tokens = 0;
};

// Recent sends to one endpoint.
struct engine_view
{
    // Within sent_window, oldest first.
    std::deque<sent_prompt> sent;
};

void note_sent(
    engine_view& view, std::uint64_t prompt_tokens, base::time_point now);

// Dates the sends back after the machine was suspended for this time.
void note_suspended(engine_view& view, std::chrono::milliseconds time);

// Returns the tokens of the prompts that were sent within sent_window.
std::uint64_t tokens_ahead(engine_view const& view, base::time_point now);

} // namespace foxtailvale::scheduling

#endif
