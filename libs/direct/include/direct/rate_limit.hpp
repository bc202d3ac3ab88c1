#ifndef FOXTAILVALE_DIRECT_RATE_LIMIT_HPP
#define FOXTAILVALE_DIRECT_RATE_LIMIT_HPP

#include <base/ids.hpp>
#include <direct/shares.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

// Rate limits that endpoints in need name in their answers, and what each entry
// may send without the sum over all entries exceeding them.
namespace foxtailvale::direct
{

struct rate_limit
{
    // Requests a second over all entries; nothing while no limit is in force.
    std::optional<double> per_second;
    // When the limit came into force here.
    base::time_point since;
    // When the answer came that last named the limit, here or at another entry.
    base::time_point named_at;
    // When an answer came that ended a limit, here or at another entry.
    base::time_point ended_at;
    // The last of these answers came to this entry.
    bool first_hand = false;
    // When this entry last sent the endpoint a request.
    base::time_point last_sent;
};

// Applies an answer that names a limit, or another entry's notice of it, with
// the time of the answer. Returns whether a limit comes into force or changes.
// Does nothing when something newer is known.
bool note_named(
    rate_limit& state, double per_second, base::time_point at, bool first_hand);

// Applies an answer without a limit to a request that was sent at the first
// time. Returns whether that ends a limit.
//
// Failure: an answer from before the limit is read after one that names it, and
// the endpoint is flooded again.
bool note_not_named(
    rate_limit& state, base::time_point sent, base::time_point now);

// Applies another entry's notice that the limit had ended at the time. Returns
// whether that ends a limit here.
bool note_ended(rate_limit& state, base::time_point at);

// What may come beyond an even stream at the limit, as a bound that the entries
// divide: as many of them may send to the endpoint as the bound has shares.
//
// Failure: twenty entries each send one request within the same second to an
// endpoint that takes one a second.
rate_bound shared_bound(double per_second);

// This entry's part in an endpoint's limit.
struct limit_part
{
    // Whether this entry is among those that may send to the endpoint.
    bool has_share = true;
    // Number of entries that divide the limit.
    std::size_t entries = 1;
    // Differs between the entries.
    std::uint64_t ticket = 0;
};

// Returns when this entry may send the endpoint its next request; the epoch if
// no limit is in force.
//
// The first requests are spread over the time between two, so that the entries
// do not send together. An entry without a share sends nothing as long as it
// hears of the limit from others. Without news it asks the endpoint once in
// some minutes, each entry at another time.
base::time_point next_send(rate_limit const& state, limit_part const& part);

} // namespace foxtailvale::direct

#endif
