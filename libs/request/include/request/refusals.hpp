#ifndef FOXTAILVALE_REQUEST_REFUSALS_HPP
#define FOXTAILVALE_REQUEST_REFUSALS_HPP

#include <base/ids.hpp>
#include <request/suspects.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

// Requests that were refused a moment ago, here or at a neighbour, so that one
// that comes back is known for what it is.
//
// Made for lasting overload, where a fifth of all requests has been refused
// once: such a request can no longer be answered within its goal, and in front
// of a fresh one it makes that one late too. What its caller still has of time
// does not tell it: callers name times that differ by a seventh.
namespace foxtailvale::request
{

struct recent_refusals
{
    std::unordered_map<fingerprint, base::time_point> refused;
    // The same, oldest first.
    std::deque<std::pair<fingerprint, base::time_point>> order;
};

// Callers come back within a third of their time: two seconds of six, and the
// way there.
inline constexpr std::chrono::milliseconds refusal_memory{3000};

// Past this many the oldest are forgotten: what a failure domain of a fleet of
// 1,200 requests a second refuses in the time above when it refuses all.
inline constexpr std::size_t most_refusals = 4096;

void note_refusal(
    recent_refusals& state, fingerprint request, base::time_point now);

// When the request was refused, if it was a moment ago.
std::optional<base::time_point> refused_at(
    recent_refusals const& state, fingerprint request, base::time_point now);

// Forgets what is past its time.
void expire(recent_refusals& state, base::time_point now);

} // namespace foxtailvale::request

#endif
