#ifndef FOXTAILVALE_ENTRY_CORE_FLOWS_HPP
#define FOXTAILVALE_ENTRY_CORE_FLOWS_HPP

#include <entry_core/entry_core.hpp>

// The parts of the entry's state machine, one source file each. Each handler
// takes one event and appends the resulting actions.
namespace foxtailvale::entry_core
{

using actions = std::vector<action>;

// request_flow.cpp
void on_caller_request(
    state& state,
    caller_request const& request,
    base::time_point now,
    actions& out);
void on_caller_disconnected(
    state& state,
    caller_disconnected const& disconnected,
    base::time_point now,
    actions& out);
// Ends a request whose deadline has passed. An attempt whose outcome must be
// recorded stays open without its caller.
void end_past_deadline(
    state& state, open_request& open, base::time_point now, actions& out);
void on_request_tick(state& state, base::time_point now, actions& out);
void check_drained(state& state, base::time_point now, actions& out);

// request_end.cpp
void refuse_caller(
    caller_request const& request, base::error error, actions& out);
// Removes the request. Returns a slot whose body was not sent, and marks a held
// claim as not run if its attempt was not run.
void close_request(
    state& state, caller_handle caller, base::time_point now, actions& out);
void end_with_error(
    state& state,
    open_request& open,
    base::error error,
    base::time_point now,
    actions& out);
// Asks the agent to cancel the attempt.
void cancel_attempt(open_request const& open, actions& out);

// queue_flow.cpp
// Places the request, queues it or refuses it.
void admit(
    state& state, open_request& open, base::time_point now, actions& out);
// Puts a request back at the head of its queue after no endpoint had room for
// it. Refuses it if no endpoint serves it any more.
void requeue(
    state& state, open_request& open, base::time_point now, actions& out);
// Queues an interrupted stream for an endpoint that serves its digest; false
// when there is none.
bool wait_to_resume(state& state, open_request& open);
// Places queued requests while endpoints have room.
void serve_waiting(state& state, base::time_point now, actions& out);
// Refuses queued requests that can no longer be answered by their deadlines,
// and those that no endpoint serves.
void refuse_unreachable_deadlines(
    state& state, base::time_point now, actions& out);
// Removes a request from its queue, if it is queued.
void leave_queue(state& state, open_request const& open);
request_pool& pool_of(state& state, open_request const& open);

// attempt_flow.cpp
// Starts the next attempt; false when no endpoint has room.
bool place(
    state& state, open_request& open, base::time_point now, actions& out);
// Whether any endpoint can serve the request, with or without a free slot.
bool is_servable(state const& state, open_request const& open);
void send_run(
    state& state, open_request& open, base::time_point now, actions& out);
void attempt_failed(
    state& state,
    open_request& open,
    base::error error,
    base::time_point now,
    actions& out);
open_request*
find_attempt(state& state, base::attempt_id attempt, std::string const& peer);
void on_grant(
    state& state,
    std::string const& peer,
    wire::Grant const& grant,
    base::time_point now,
    actions& out);
void on_run_output(
    state& state,
    std::string const& peer,
    wire::RunOutput const& output,
    base::time_point now,
    actions& out);
void on_request_send_failed(
    state& state,
    core::send_failed const& failed,
    base::time_point now,
    actions& out);
// Fails the attempts at an agent that is gone.
void on_endpoint_lost(
    state& state, std::string const& agent, base::time_point now, actions& out);
// Decides whether the load balancer may route callers to this entry.
void update_readiness(state& state, base::time_point now);

// probe_flow.cpp
// Records the incarnation that a peer's frame carries. A new incarnation means
// that the peer restarted and lost the attempts it ran.
void note_incarnation(
    state& state,
    std::string const& peer,
    std::uint64_t incarnation,
    base::time_point now,
    actions& out);
// Probes agents that run requests of this entry and have sent nothing lately.
void probe_unresponsive_agents(
    state& state, base::time_point now, actions& out);

// suspect_flow.cpp
request::fingerprint fingerprint_of(caller_request const& request);
void on_suspect_notice(
    state& state,
    wire::SuspectNotice const& notice,
    base::time_point now,
    actions& out);
void on_release_suspect(
    state& state, release_suspect const& order, actions& out);

// claim_flow.cpp
bool needs_claim(caller_request const& request);
void read_claim(
    state& state, open_request& open, base::time_point now, actions& out);
void write_claim(
    state& state, open_request& open, base::time_point now, actions& out);
void on_claim_read(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now,
    actions& out);
void on_claim_written(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now,
    actions& out);
void on_outcome_reply(
    state& state,
    std::string const& peer,
    wire::OutcomeReply const& answer,
    base::time_point now,
    actions& out);

// claim_close.cpp
// Records in the claim how the attempt that it names has ended.
void close_claim(
    state& state,
    std::string path,
    std::uint64_t version,
    request::claim const& ended,
    base::time_point now,
    actions& out);
void on_claim_closed(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    base::time_point now);
void on_closing_tick(state& state, base::time_point now, actions& out);

// control_flow.cpp
void on_platform_answer(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out);
void on_control_tick(state& state, base::time_point now, actions& out);
// Makes a platform call and records its purpose until it is answered.
void call_platform(
    state& state, core::platform_call call, pending_call pending, actions& out);
// Whether a call of this purpose may be made now; if so, takes a token from the
// call budget.
bool may_call(state& state, call_purpose purpose, base::time_point now);

// membership_flow.cpp
// Whether this entry watches the platform on behalf of its failure domain.
bool is_watcher(state const& state);
void on_vm_list(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out);
void on_vm_list_push(
    state& state,
    wire::VmListPush const& push,
    base::time_point now,
    actions& out);
void push_complete_list(
    state const& state, std::string const& peer, actions& out);
void on_leaving(
    state& state, std::string const& peer, base::time_point now, actions& out);
void announce_leaving(state const& state, actions& out);
// Suspects unresponsive members and updates which peers this entry talks to.
void check_members(state& state, base::time_point now, actions& out);

// replication_flow.cpp
// Adopts a configuration with a higher generation than the current one and
// pushes it to peers.
void adopt(
    state& state,
    release::configuration next,
    base::time_point now,
    actions& out);
void adopt_plan(state& state, control::domain_plan plan, actions& out);
void push_configuration(
    state const& state, std::string const& peer, actions& out);
void on_configuration_push(
    state& state,
    wire::ConfigurationPush const& push,
    base::time_point now,
    actions& out);
void on_plan_push(state& state, wire::PlanPush const& push, actions& out);
void on_configuration_digest(
    state& state,
    core::message_received const& message,
    base::time_point now,
    actions& out);
// Sends the configuration digests of this round: greetings to other entries,
// and subscriptions to the heartbeats of agents.
void send_greetings(state& state, base::time_point now, actions& out);

// endpoint_flow.cpp
void on_heartbeat(
    state& state,
    std::string const& peer,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out);
void on_endpoint_gossip(
    state& state, wire::EndpointGossip const& gossip, base::time_point now);
// Sends the other entries of the failure domain what changed at the endpoints
// that this one reports.
void report_endpoints(state& state, base::time_point now, actions& out);
// Sends one entry the complete state of those endpoints.
void report_all_endpoints(state& state, std::string const& peer, actions& out);

// planner_flow.cpp
void on_lease_read(
    state& state, core::platform_answer const& answer, base::time_point now);
void on_lease_write(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    actions& out);
void on_plan_write(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    actions& out);
void on_planner_tick(state& state, base::time_point now, actions& out);

} // namespace foxtailvale::entry_core

#endif
