#ifndef FOXTAILVALE_CONTROL_LEASE_HPP
#define FOXTAILVALE_CONTROL_LEASE_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace foxtailvale::control
{

// The planner lease as stored in the object API. Only the object's version
// matters: the holder renews the lease by writing the object, and other
// processes watch for a version that no longer changes. No wall-clock time is
// stored, since the clocks of VMs differ.
struct lease_record
{
    std::string holder;
    std::uint64_t turn = 0;
};

std::string to_text(lease_record const& record);
base::result<lease_record> parse_lease(std::string const& text);

// What one process knows about the lease.
struct lease_state
{
    std::string self;
    // The version that was read last, and since when it has been unchanged, by
    // the local clock.
    std::uint64_t version = 0;
    base::time_point seen_since;
    bool seen = false;
    // When the lease that this process holds expires. Counted from before the
    // call that took the lease, so that a slow response cannot extend it.
    std::optional<base::time_point> held_until;
};

// Length of a lease and interval between renewals. Three renewals fit into one
// lease, so that a store that is slow for a second does not cost the lease. A
// longer lease would leave a failure domain without a planner for longer after
// its planner died; the last plan stays in force meanwhile.
inline constexpr std::chrono::milliseconds lease_length{6000};
inline constexpr std::chrono::milliseconds lease_renewal{2000};

// Records the version that a read of the lease returned.
void lease_seen(
    lease_state& state, std::uint64_t version, base::time_point now);

// Whether this process may try to write the lease now: it holds the lease, the
// lease object does not exist yet, or nobody has renewed it for a whole lease
// length.
bool may_take_lease(lease_state const& state, base::time_point now);

// Records that the conditional write of this process took effect; `sent_at` is
// when the write was sent.
void lease_taken(
    lease_state& state, std::uint64_t version, base::time_point sent_at);

// Records that another process wrote the lease first.
void lease_refused(lease_state& state);

// Whether this process may issue plans under the lease. This check alone does
// not exclude two planners: a holder that was paused beyond its lease is
// stopped by the conditional update of the plan, since its successor has
// increased the plan's version.
bool holds_lease(lease_state const& state, base::time_point now);

} // namespace foxtailvale::control

#endif
