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

enum class vm_role
{
    entry,
    agent,
};

// One entry of the platform's list of VMs.
struct listed_vm
{
    // Name of the process that runs on the VM.
    std::string name;
    vm_role role = vm_role::agent;
    std::string failure_domain;
    std::string region;
    // Peer address, "IP:PORT".
    std::string address;
    // Memory of the agent's engine in MiB; zero for an endpoint without an
    // engine (a plain service).
    std::uint32_t memory_mib = 0;
    bool leaving = false;

    bool operator==(listed_vm const&) const = default;
};

// Parses the platform's list of VMs; bad_frame when it is malformed.
base::result<std::vector<listed_vm>> parse_vm_list(std::string const& text);

// State of a member as seen by this process.
enum class liveness
{
    // Listed, but no heartbeat has been received yet.
    unheard,
    alive,
    // Heartbeats are missing: receives no new work, while running work
    // continues.
    suspected,
    leaving,
};

// Heartbeats are sent every second; a member is suspected after three missed in
// a row. A lower limit would suspect VMs that are only slow; a higher one would
// keep sending requests to dead ones.
inline constexpr std::chrono::milliseconds heartbeat_interval{1000};
inline constexpr std::chrono::milliseconds silence_limit{3500};

struct member
{
    listed_vm vm;
    liveness state = liveness::unheard;
    // When the last heartbeat was received, or when the member was first
    // listed.
    base::time_point heard;
    // Since when the member has been suspected, or listed without a heartbeat.
    base::time_point absent_since;
    // Whether the member sends its heartbeats to this process, so that missing
    // ones are evidence. States that other processes report are accepted
    // without a time limit.
    bool heard_directly = true;
    // Time without a heartbeat after which the member is suspected.
    std::chrono::milliseconds patience = silence_limit;
};

// Members by name, derived from the platform's list, which lags, and from
// heartbeats, including those that announce that a member leaves.
struct membership
{
    std::map<std::string, member> members;
    // Version of the list that was applied last.
    std::uint64_t list_version = 0;
};

// Difference between two lists.
struct list_change
{
    std::uint64_t version = 0;
    // Version that the change applies to; zero when the change holds the full
    // list.
    std::uint64_t base_version = 0;
    std::vector<listed_vm> vms;
    std::vector<std::string> removed;
};

// Difference between the members and a new list; the new list's version must be
// greater than the applied one.
list_change diff_list(
    membership const& state,
    std::vector<listed_vm> const& list,
    std::uint64_t version);

// The applied list in full, for a peer that has another version.
list_change full_list(membership const& state);

// Applies a change: adds, updates and removes members. Returns false when the
// change is not newer or is not based on the applied list. A state derived from
// heartbeats is kept, since the list lags behind; a member that the list marks
// as leaving becomes `leaving`. A VM that reappears under the same name at
// another address is a different VM and starts as `unheard`.
bool apply_change(
    membership& state, list_change const& change, base::time_point now);

// Records a heartbeat; returns false for a name that is not (yet) listed, which
// is ignored.
bool note_heartbeat(
    membership& state,
    std::string const& name,
    bool leaving,
    base::time_point now);

// Adopts the state of a member that another process reported.
void note_report(
    membership& state,
    std::string const& name,
    liveness reported,
    base::time_point now);

// How long an endpoint may be absent before its replicas are planned elsewhere.
// About 110 VMs a day are slow, restart or are cut off briefly, and moving a
// replica costs a VM's link one copy of the weights, moving it back another.
// The cost of waiting is one missing replica for this long, which the other
// replicas can handle. The delay also covers a planner that has just started
// and has not received any heartbeats yet.
inline constexpr std::chrono::milliseconds replica_move_delay{30'000};

// Whether a plan may assign replicas to the endpoint. A leaving endpoint loses
// its replicas at once; a new one gets replicas after its first heartbeat.
bool may_hold_replicas(
    member const& known, bool held_before, base::time_point now);

// Suspects every member whose heartbeats have been missing for too long, and
// returns the names of the newly suspected.
std::vector<std::string>
suspect_unresponsive(membership& state, base::time_point now);

} // namespace foxtailvale::control

#endif
