#ifndef FOXTAILVALE_ENTRY_CORE_ENTRY_CORE_HPP
#define FOXTAILVALE_ENTRY_CORE_ENTRY_CORE_HPP

#include <base/random.hpp>
#include <control/call_budget.hpp>
#include <control/lease.hpp>
#include <control/membership.hpp>
#include <control/plan.hpp>
#include <entry_core/events.hpp>
#include <release/configuration.hpp>
#include <request/admission.hpp>
#include <request/claim.hpp>
#include <request/suspects.hpp>

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
    std::uint32_t max_requests = 2048;
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

// Where a request stands. Its body has left only in the last stage, so in all
// others it certainly was not run.
enum class request_stage
{
    // In the queue of its model or service.
    waiting,
    // Reading whether its idempotency key was used before.
    reading_claim,
    // Asking the agent that a found claim names what became of its attempt.
    asking_outcome,
    // Asking a gate for a slot.
    reserving,
    // Recording the attempt before its body is sent.
    writing_claim,
    // The answer to that write was lost: reading what holds.
    reading_back,
    running,
};

// The claim of a request with an idempotency key.
struct open_claim
{
    std::string path;
    std::string request_digest;
    // Version of the object that a write replaces; zero while there is none.
    std::uint64_t version = 0;
    // What another attempt has left there.
    std::optional<request::claim> found;
    std::uint32_t writes = 0;
    // Whether the object names our attempt.
    bool held = false;
};

// A request that has been taken and not answered.
struct open_request
{
    request_stage stage = request_stage::waiting;
    // When the stage is given up, if it has such a limit.
    std::optional<base::time_point> stage_end;
    std::optional<open_claim> claim;
    // Token of the slot that was granted.
    std::uint64_t token = 0;
    base::time_point attempt_start;
    // Attempts that failed for another reason than a full gate.
    std::uint32_t failures = 0;
    // Of these the ones that lost their endpoint while it ran the request.
    std::uint32_t losses = 0;
    request::fingerprint fingerprint = 0;
    // Events of a stream that the caller has.
    std::uint32_t relayed = 0;
    // The caller is gone or was told that the deadline passed; the outcome is
    // still recorded in the claim.
    bool detached = false;
    caller_request request;
    // Configuration that it came under.
    std::uint64_t generation = 0;
    // Weights that it is pinned to; empty until it is placed.
    std::string digest;
    base::time_point deadline;
    // The running attempt and where it runs.
    base::attempt_id attempt;
    std::string agent;
    std::vector<std::string> tried;
    std::uint32_t next_sequence = 0;
};

// The requests for one model or service.
struct request_pool
{
    request::admission_queue queue;
    // Cut streams that wait for room at an endpoint of their digest. Their
    // callers read already, so they go before all others, and none of them
    // holds up those that may run on any digest.
    std::set<caller_handle> resuming;
    // When an endpoint last could have served it, whether or not it had room.
    std::optional<base::time_point> last_served;
};

// A claim's last write, made after the caller was answered.
struct closing_claim
{
    std::string path;
    std::string value;
    std::uint64_t version = 0;
    std::uint32_t tries = 0;
    // Unset while a write is under way.
    std::optional<base::time_point> next_try;
};

// The life of a peer that this entry last heard from.
struct peer_life
{
    std::uint64_t incarnation = 0;
    base::time_point heard;
    // When it was last asked for a sign.
    base::time_point probed;
};

struct request_state
{
    std::map<caller_handle, open_request> open;
    std::map<base::attempt_id, caller_handle> attempts;
    std::map<std::string, request_pool> pools;
    request::retry_budget retries;
    request::suspect_list suspects;
    std::map<std::uint64_t, closing_claim> closing;
    std::uint64_t last_closing = 0;
    // Agents that have spoken to this entry.
    std::map<std::string, peer_life> lives;
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
    claim_read,
    claim_write,
    claim_close,
};

struct pending_call
{
    call_purpose purpose = call_purpose::vm_list;
    base::time_point asked;
    // Version expected by a write.
    std::uint64_t expected = 0;
    // The plan that a write carries.
    std::optional<control::domain_plan> plan;
    // The request that waits for it, or the number of the closing claim.
    std::uint64_t request = 0;
    // Path and text of a claim that is written.
    std::string claim_path;
    std::string claim_text;
};

// Whether the balancer may send callers.
struct readiness_state
{
    bool ready = false;
    // When a configuration was there first.
    std::optional<base::time_point> configured;
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
    // Digest that the configuration before named, by model: endpoints serve it
    // until they have loaded the new one.
    std::map<std::string, std::string> previous_digests;
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
    readiness_state readiness;
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
