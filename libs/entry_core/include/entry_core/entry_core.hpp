#ifndef FOXTAILVALE_ENTRY_CORE_ENTRY_CORE_HPP
#define FOXTAILVALE_ENTRY_CORE_ENTRY_CORE_HPP

#include <base/random.hpp>
#include <control/call_budget.hpp>
#include <control/lease.hpp>
#include <control/membership.hpp>
#include <control/plan.hpp>
#include <entry_core/events.hpp>
#include <release/configuration.hpp>
#include <request/claim.hpp>
#include <request/retry_budget.hpp>
#include <request/suspects.hpp>

#include <core/drain.hpp>
#include <scheduling/fair_queue.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// The entry as a state machine without sockets, clocks or threads. It admits,
// places and retries requests, replicates the configuration between entries and
// agents, and plans the endpoints of its failure domain while it holds the
// planner lease.
namespace foxtailvale::entry_core
{

// Identity and limits of this entry; constant while the process runs.
struct identity
{
    std::string name;
    std::string failure_domain;
    std::string region;
    // Requests that may be open at a time; further ones are refused with
    // queue_full.
    std::uint32_t max_requests = 2048;
    core::drain_limits drain_limits;
};

// An endpoint as last reported by its agent or by another entry.
struct endpoint_view
{
    std::string service;
    std::string failure_domain;
    // Digest of the weights that are served, by model.
    std::map<std::string, std::string> serving;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    bool leaving = false;
    std::uint64_t generation = 0;
    std::uint32_t chunks_held = 0;
    std::uint32_t chunks_wanted = 0;
};

// Processing stage of a request. The current attempt's body has been sent only
// in the last stage, so in all others that attempt certainly was not run.
enum class request_stage
{
    // In the queue of its model or service.
    waiting,
    // Reading the claim object, to see whether the idempotency key was used
    // before.
    reading_claim,
    // Asking the agent named in an existing claim for the outcome of its
    // attempt.
    querying_outcome,
    // Asking an endpoint's gate for a slot.
    reserving,
    // Recording the attempt in the claim before its body is sent.
    writing_claim,
    // That write failed or its answer was lost: reading the claim again, to see
    // whether the write took effect.
    reading_back,
    running,
};

// Claim of a request with an idempotency key.
struct open_claim
{
    std::string path;
    std::string request_digest;
    // Object version that a write replaces; zero while the object does not
    // exist.
    std::uint64_t version = 0;
    // Claim of another attempt, if one was found.
    std::optional<request::claim> found;
    std::uint32_t writes = 0;
    // Whether the stored claim names this request's attempt.
    bool held = false;
};

// A request that was accepted and has not ended yet.
struct open_request
{
    request_stage stage = request_stage::waiting;
    // When the stage times out, if it has a time-out.
    std::optional<base::time_point> stage_deadline;
    std::optional<open_claim> claim;
    // Token of the granted slot.
    std::uint64_t token = 0;
    base::time_point attempt_start;
    // Attempts that failed for a reason other than a full or cold endpoint.
    std::uint32_t failures = 0;
    // Those of them that lost their endpoint while it ran the request.
    std::uint32_t endpoint_losses = 0;
    request::fingerprint fingerprint = 0;
    // Pieces of the answer (events of a stream) that were relayed to the
    // caller. A resumed stream continues after them.
    std::uint32_t relayed_pieces = 0;
    // The caller has disconnected or was told that the deadline passed. The
    // request stays open only to record its outcome in the claim.
    bool detached = false;
    caller_request request;
    // Configuration in force when the request arrived.
    std::uint64_t generation = 0;
    // Digest of the weights that the request is pinned to; empty until it is
    // placed.
    std::string digest;
    base::time_point deadline;
    // The current attempt and the agent it was sent to.
    base::attempt_id attempt;
    std::string agent;
    std::vector<std::string> tried;
    std::uint32_t next_sequence = 0;
};

// Requests that wait for one model or service.
struct request_pool
{
    scheduling::fair_queue queue;
    // Interrupted streams that wait for room at an endpoint that serves their
    // digest. Their callers have received part of the answer, so these streams
    // are placed before all other requests. One that cannot be placed does not
    // block requests that may run on any digest.
    std::set<caller_handle> resuming_streams;
    // When an endpoint last could have served the pool's requests, with or
    // without a free slot.
    std::optional<base::time_point> last_servable;
};

// The final write of a claim, made when its request has ended.
struct closing_claim
{
    std::string path;
    std::string value;
    std::uint64_t version = 0;
    std::uint32_t tries = 0;
    // Unset while a write is in progress.
    std::optional<base::time_point> next_try;
};

// Incarnation of a peer as last heard from, and the times of contact.
struct peer_contact
{
    std::uint64_t incarnation = 0;
    base::time_point last_heard;
    // When a probe was last sent to it.
    base::time_point last_probed;
};

struct request_state
{
    std::map<caller_handle, open_request> open;
    std::map<base::attempt_id, caller_handle> attempts;
    std::map<std::string, request_pool> pools;
    request::retry_budget retries;
    request::suspect_list suspects;
    // Claims whose final write is pending, by a local number.
    std::map<std::uint64_t, closing_claim> closing;
    std::uint64_t last_closing = 0;
    // Peers that have sent this entry a frame.
    std::map<std::string, peer_contact> peer_contacts;
};

// Purpose of a platform call.
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

// A platform call that has not been answered yet.
struct pending_call
{
    call_purpose purpose = call_purpose::vm_list;
    base::time_point sent_at;
    // Object version that a conditional write expects.
    std::uint64_t expected = 0;
    // The plan that a plan_write carries.
    std::optional<control::domain_plan> plan;
    // The request that waits for the answer; for claim_close the number of the
    // closing claim.
    std::uint64_t request = 0;
    // Path of a claim that is read or written, and the text written.
    std::string claim_path;
    std::string claim_text;
};

// Whether the load balancer may route callers to this entry.
struct readiness_state
{
    bool ready = false;
    // When the entry first had a configuration.
    std::optional<base::time_point> configured_at;
};

// An endpoint as last reported to the other entries of the failure domain.
struct reported_endpoint
{
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    bool leaving = false;
    bool suspected = false;
    std::uint32_t chunks_held = 0;
    std::uint64_t detail_hash = 0;
};

// Peers of this entry and what was exchanged with them.
struct gossip_state
{
    // Entries of the failure domain that look alive, in the order in which they
    // become watchers.
    std::vector<std::string> order;
    // Agents that send their heartbeats to this entry, and those of them that
    // it reports to the other entries.
    std::set<std::string> heartbeat_agents;
    std::set<std::string> reported_agents;
    // Agents of other failure domains that requests may be sent to.
    std::set<std::string> remote_agents;
    // Agents that this entry hears although their reporter suspects them. Its
    // next report contradicts the suspicion.
    std::set<std::string> disputed_agents;
    // What was last reported of each agent.
    std::map<std::string, reported_endpoint> sent_reports;
    // Agents of the failure domain by the hash that represents their names in
    // gossip frames.
    std::map<std::uint64_t, std::string> agents_by_hash;
    // Incarnation that each entry was last heard with.
    std::map<std::string, std::uint64_t> entry_incarnations;
    std::optional<base::time_point> started;
    // When the first list of VMs was applied: since then this entry knows its
    // peers and they can answer it.
    std::optional<base::time_point> peers_known_since;
    std::uint64_t round = 0;
    base::time_point last_round;
    base::time_point last_report;
    base::time_point last_load_report;
    base::time_point last_check;
    base::time_point last_complete_digest;
    base::time_point adopted_at;
    bool topology_stale = true;
};

struct control_state
{
    release::configuration configuration;
    // Digest that the preceding version of the configuration named, by model.
    // Endpoints serve it until they have loaded the new one.
    std::map<std::string, std::string> previous_digests;
    // Highest version of the release object that the platform returned.
    std::uint64_t release_object_version = 0;
    control::membership members;
    std::map<std::string, endpoint_view> endpoints;
    // Plans by failure domain, and the object version of this domain's plan.
    std::map<std::string, control::domain_plan> plans;
    std::uint64_t plan_object_version = 0;
    bool plans_read = false;
    control::lease_state lease;
    std::uint64_t lease_turn = 0;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t last_call = 0;
    // Earliest time of the next call, by purpose.
    std::map<call_purpose, base::time_point> next_call;
    control::call_budget budget;
    // Agents and entries that a connection is kept to, and the address of each.
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

// Applies one event and returns the resulting actions in order. Errors are
// among the actions, as report_error and refuse.
std::vector<action>
step(state& state, event const& input, base::time_point now);

} // namespace foxtailvale::entry_core

#endif
