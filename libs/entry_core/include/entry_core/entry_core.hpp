#ifndef FOXTAILVALE_ENTRY_CORE_ENTRY_CORE_HPP
#define FOXTAILVALE_ENTRY_CORE_ENTRY_CORE_HPP

#include <base/random.hpp>
#include <control/call_budget.hpp>
#include <control/lease.hpp>
#include <control/membership.hpp>
#include <control/plan.hpp>
#include <entry_core/events.hpp>
#include <release/configuration.hpp>

#include <core/drain.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// The entry's decisions as one state machine without sockets, clocks or
// threads: admitting and placing requests, retrying, replicating the
// configuration, and planning for its failure domain under a lease.
namespace foxtailvale::entry_core
{

// Who this entry is; does not change while it runs.
struct identity
{
    std::string name;
    std::string failure_domain;
    std::string region;
    std::uint32_t most_requests = 2048;
    core::drain_limits drain_limits;
};

// An endpoint as its agent last reported it.
struct endpoint_view
{
    std::string service;
    std::string failure_domain;
    // Digest that serves, by model.
    std::map<std::string, std::string> serving;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    bool leaving = false;
    std::uint64_t generation = 0;
    std::uint32_t chunks_held = 0;
    std::uint32_t chunks_wanted = 0;
};

// A request that has been taken and not answered.
struct open_request
{
    caller_request request;
    // Configuration that it is pinned to.
    std::uint64_t generation = 0;
    std::string digest;
    base::time_point deadline;
    // The running attempt and where it runs.
    base::attempt_id attempt;
    std::string agent;
    std::vector<std::string> tried;
    std::uint32_t next_sequence = 0;
    bool replied = false;
};

struct request_state
{
    std::map<caller_handle, open_request> open;
    std::map<base::attempt_id, caller_handle> attempts;
};

// What a platform call was made for.
enum class call_purpose
{
    vm_list,
    release_watch,
    plan_list,
    lease_read,
    lease_write,
    plan_write,
};

struct pending_call
{
    call_purpose purpose = call_purpose::vm_list;
    base::time_point asked;
    // Version expected by a write.
    std::uint64_t expected = 0;
    // The plan that a write carries.
    std::optional<control::domain_plan> plan;
};

// How an endpoint was last reported to the other entries of the domain.
struct reported_endpoint
{
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    bool leaving = false;
    bool suspected = false;
    std::uint32_t chunks_held = 0;
    std::uint64_t detail_hash = 0;
};

// Whom this entry talks to and what it told them.
struct gossip_state
{
    // Entries of the domain that look alive, in order of succession.
    std::vector<std::string> order;
    // Agents whose heartbeats come here, and those of them that this entry
    // reports to the others.
    std::set<std::string> listened;
    std::set<std::string> reported;
    // Agents of other failure domains that it may send work to.
    std::set<std::string> far;
    // Agents that it hears although their reporter suspects them.
    std::set<std::string> contradicted;
    std::map<std::string, reported_endpoint> told;
    // Agents of the domain by the hash that stands for their names.
    std::map<std::uint64_t, std::string> names;
    // Incarnation that each entry last spoke with.
    std::map<std::string, std::uint64_t> lives;
    std::optional<base::time_point> started;
    // Since when it knows its peers and they can answer.
    std::optional<base::time_point> listed_since;
    std::uint64_t round = 0;
    base::time_point last_round;
    base::time_point last_report;
    base::time_point last_load_report;
    base::time_point last_check;
    base::time_point last_whole_digest;
    base::time_point adopted;
    bool topology_stale = true;
};

struct control_state
{
    release::configuration configuration;
    // Version of the release's object that was last answered.
    std::uint64_t release_object_version = 0;
    control::membership members;
    std::map<std::string, endpoint_view> endpoints;
    // Plans by failure domain, and the object version of our own.
    std::map<std::string, control::domain_plan> plans;
    std::uint64_t plan_object_version = 0;
    bool plans_read = false;
    control::lease_state lease;
    std::uint64_t lease_turn = 0;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t last_call = 0;
    // When each purpose may be called for next.
    std::map<call_purpose, base::time_point> next_call;
    control::call_budget budget;
    // Agents and entries with a connection, and the address of each.
    std::set<std::string> connected;
    std::map<std::string, std::string> addresses;
    gossip_state gossip;
    bool stopping = false;
    core::drain drain;
};

struct state
{
    identity self;
    base::random_state random;
    request_state requests;
    control_state control;
};

// Takes one event and returns what to do, in order.
std::vector<action>
step(state& state, event const& input, base::time_point now);

} // namespace foxtailvale::entry_core

#endif
