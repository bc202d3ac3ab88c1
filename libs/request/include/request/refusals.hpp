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

// Tracks requests that this entry or a neighbouring one refused recently, so
// that a resent request is recognised.
//
// Under sustained overload a fifth of all requests have been refused once. Such
// a request can no longer be answered within its goal, and if it runs before a
// new request it makes that one late too. The remaining time does not identify
// a resent request, because the times that callers set differ by a seventh.
namespace foxtailvale::request
{

struct recent_refusals
{
    // Time of the latest refusal by request.
    std::unordered_map<fingerprint, base::time_point> refused;
    // All remembered refusals, oldest first.
    std::deque<std::pair<fingerprint, base::time_point>> order;
};

// Time for which a refusal is remembered. Callers resend within a third of
// their time limit, which is 2 s of 6 s, plus the transit time.
inline constexpr std::chrono::milliseconds refusal_retention{3000};

// Maximum number of remembered refusals; beyond it the oldest are evicted.
// Covers a failure domain of a fleet with 1,200 requests per second that
// refuses all of them for the retention time.
inline constexpr std::size_t max_refusals = 4096;

// Records a refusal; evicts the oldest one if there are more than max_refusals.
void note_refusal(
    recent_refusals& state, fingerprint request, base::time_point now);

// Time of the request's latest refusal; empty if it was not refused within the
// retention time.
std::optional<base::time_point> refused_at(
    recent_refusals const& state, fingerprint request, base::time_point now);

// Removes refusals that are older than the retention time.
void expire(recent_refusals& state, base::time_point now);

} // namespace foxtailvale::request

#endif
