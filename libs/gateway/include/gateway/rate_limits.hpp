#ifndef FOXTAILVALE_GATEWAY_RATE_LIMITS_HPP
#define FOXTAILVALE_GATEWAY_RATE_LIMITS_HPP

#include <base/ids.hpp>

#include <string>

namespace foxtailvale::platform
{
struct endpoint_head;
} // namespace foxtailvale::platform

namespace foxtailvale::wire
{
class RateLimits;
} // namespace foxtailvale::wire

// The rate limits that endpoints name in their answers, as this entry has read
// them and as the other entries have told it.
namespace foxtailvale::gateway
{

struct entry_context;

// Applies what the endpoint's answer to a request sent at this time says of its
// limit.
void note_answered_limit(
    entry_context& context,
    std::string const& endpoint,
    platform::endpoint_head const& answer,
    base::time_point sent);

// Takes over what another entry has read. The reporter is its name.
void note_rate_limits(
    entry_context& context,
    wire::RateLimits const& limits,
    std::string const& reporter);

// Adds the limits that came into force or ended since the last call, as this
// entry has read it.
void add_changed_limits(entry_context& context, wire::RateLimits& limits);

// Adds the limits in force and those that ended lately, as this entry was the
// last to read, as many as fit into a datagram, others each time when there are
// more.
void add_known_limits(entry_context& context, wire::RateLimits& limits);

} // namespace foxtailvale::gateway

#endif
