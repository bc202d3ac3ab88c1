#ifndef FOXTAILVALE_SCHEDULING_ENGINE_VIEW_HPP
#define FOXTAILVALE_SCHEDULING_ENGINE_VIEW_HPP

#include <base/ids.hpp>

#include <scheduling/request_cost.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>

// State of an endpoint as the requests of one entry show it.
namespace foxtailvale::scheduling
{

// Time for which a prompt that was sent counts as ahead of the next one.
inline constexpr std::chrono::milliseconds sent_window{250};

// A slowdown is forgotten this long after the last late answer.
inline constexpr std::chrono::milliseconds slowdown_memory{1000};

struct sent_prompt
{
    base::time_point at;
    std::uint64_t tokens = 0;
};

// Recent sends to one endpoint and how late their first events came.
struct engine_view
{
    // Within sent_window, oldest first.
    std::deque<sent_prompt> sent;
    // Time of the last late first event over the expected time; one while first
    // events are on time.
    double last_ratio = 1;
    base::time_point last_late;
};

void note_sent(
    engine_view& view, std::uint64_t prompt_tokens, base::time_point now);

// Records the first event, or the whole answer of a plain service. Nothing is
// recorded without an expected time.
void note_first_event(
    engine_view& view,
    base::duration expected,
    base::duration taken,
    base::time_point now);

// Returns the tokens of the prompts that were sent within sent_window.
std::uint64_t tokens_ahead(engine_view const& view, base::time_point now);

// Returns how much slower than usual the endpoint is: one is usual, and three
// the most, so that it keeps part of its load and can show that it has
// recovered.
//
// An endpoint is slow from the first event that took twice the expected time
// until one takes less than one and a half times that, and for at most
// slowdown_memory. Between the two limits nothing changes.
double slowdown(engine_view const& view, base::time_point now);

// Limits the slowdowns of all candidates to the slowest third of them; the
// others become one. Failure: the whole fleet is late under overload, and the
// few endpoints without a late answer get all requests.
void limit_slowdowns(std::span<double> slowdowns);

// Returns the usual time from sending a request to its first event: reading its
// prompt, those that this entry sent before it and a usual one of another
// entry, and one pass of the engine.
base::duration expected_first_event(
    engine_speed const& speed,
    std::uint32_t steps_per_pass,
    std::uint64_t prompt_tokens,
    std::uint64_t ahead);

} // namespace foxtailvale::scheduling

#endif
