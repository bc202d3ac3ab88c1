#ifndef FOXTAILVALE_CONTROL_MEMBERSHIP_HPP
#define FOXTAILVALE_CONTROL_MEMBERSHIP_HPP

#include <base/error.hpp>
#include <base/ids.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::control
{

// What a VM of the system runs.
enum class vm_role
{
    entry,
    agent,
};

// One line of the platform's list of VMs.
struct listed_vm
{
    // Name of the system's process on the VM.
    std::string name;
    vm_role role = vm_role::agent;
    std::string failure_domain;
    std::string region;
    // Peer address, "IP:PORT".
    std::string address;
    // For an agent: memory of its engine; zero for a plain service.
    std::uint32_t memory_mib = 0;
    bool leaving = false;

    bool operator==(listed_vm const&) const = default;
};

// Reads the platform's list; bad_frame when it is not one.
base::result<std::vector<listed_vm>> parse_vm_list(std::string const& text);

// How a member looks from here.
enum class liveness
{
    // Listed, not heard from yet.
    unheard,
    alive,
    // Silent for a while: gets no new work, running work is left alone.
    suspected,
    leaving,
};

// A heartbeat comes each second; three missed in a row are silence. Fewer
// would suspect a VM that is only slow, more would keep sending to a dead one.
inline constexpr std::chrono::milliseconds heartbeat_interval{1000};
inline constexpr std::chrono::milliseconds silence_limit{3500};

struct member
{
    listed_vm vm;
    liveness state = liveness::unheard;
    // When it was last heard, or listed first.
    base::time_point heard;
    // Since when it is suspected, or listed without being heard.
    base::time_point absent_since;
    // Whether its silence says anything: it sends its heartbeats here. What
    // others report of a member is believed without a time limit.
    bool heard_directly = true;
    // Silence for longer than this is suspected.
    std::chrono::milliseconds patience = silence_limit;
};

// Members by name, from the lagging list, heartbeats and farewells.
struct membership
{
    std::map<std::string, member> members;
    // Version of the list that was applied last.
    std::uint64_t list_version = 0;
};

// What differs between two lists.
struct list_change
{
    std::uint64_t version = 0;
    // Version that the change applies to; zero when the list is whole.
    std::uint64_t base_version = 0;
    std::vector<listed_vm> vms;
    std::vector<std::string> removed;
};

// What a new list changes; its version must be above the applied one.
list_change diff_list(
    membership const& state,
    std::vector<listed_vm> const& list,
    std::uint64_t version);

// The list as it is applied, whole, for a peer that has another version.
list_change full_list(membership const& state);

// Takes over a change: adds, updates, removes. False when it is not newer or
// does not fit the list that is applied. Liveness that was heard at first hand
// is kept, since the list lags; a listed farewell is believed. A VM that
// comes back under its name at another address is unheard again: it is
// another VM.
bool apply_change(
    membership& state, list_change const& change, base::time_point now);

// Notes a heartbeat; a name that is not listed (yet) is ignored and answered
// with false.
bool note_heartbeat(
    membership& state,
    std::string const& name,
    bool leaving,
    base::time_point now);

// Takes over what another process reports of a member.
void note_report(
    membership& state,
    std::string const& name,
    liveness reported,
    base::time_point now);

// How long an endpoint may be absent before its replicas are planned elsewhere.
// Made for a VM that is slow, restarted or cut off for a moment, of which 110 a
// day are: moving a replica costs a VM's link a copy of the weights, and moving
// it back another. What is lost by waiting is a replica for this long, which
// the others bear; and a planner that has just started has heard nobody yet.
inline constexpr std::chrono::milliseconds replica_move_delay{30'000};

// Whether a plan may give the endpoint something to hold. One that leaves
// loses its replicas at once, a new one gets some when it is heard.
bool may_hold_replicas(
    member const& known, bool held_before, base::time_point now);

// Suspects all that have been silent too long; returns the newly suspected.
std::vector<std::string>
suspect_unresponsive(membership& state, base::time_point now);

} // namespace foxtailvale::control

#endif
