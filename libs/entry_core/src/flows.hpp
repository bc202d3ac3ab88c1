#ifndef FOXTAILVALE_ENTRY_CORE_FLOWS_HPP
#define FOXTAILVALE_ENTRY_CORE_FLOWS_HPP

#include <entry_core/entry_core.hpp>

// The parts of the entry's state machine, one file each. Each function takes
// one event and appends what to do.
namespace foxtailvale::entry_core
{

using actions = std::vector<action>;

// request_flow.cpp
void on_caller_request(
    state& state,
    caller_request const& request,
    base::time_point now,
    actions& out);
void on_caller_left(
    state& state,
    caller_disconnected const& left,
    base::time_point now,
    actions& out);
// The deadline passed.
void end_late(
    state& state, open_request& open, base::time_point now, actions& out);
void on_request_tick(state& state, base::time_point now, actions& out);
void check_drained(state& state, base::time_point now, actions& out);

// request_end.cpp
void refuse_caller(
    caller_request const& request, base::error error, actions& out);
// Forgets the request. A slot that waits for its body is given back, and a
// claim that names an attempt which was not run is cleared.
void close(
    state& state, caller_handle caller, base::time_point now, actions& out);
void end_with_error(
    state& state,
    open_request& open,
    base::error error,
    base::time_point now,
    actions& out);
// Tells the agent to stop the attempt's work.
void cancel_attempt(open_request const& open, actions& out);

// queue_flow.cpp
// Starts the request, lets it wait or refuses it.
void admit(
    state& state, open_request& open, base::time_point now, actions& out);
// Puts a request back that a gate had no room for.
void readmit(
    state& state, open_request& open, base::time_point now, actions& out);
// Lets a cut stream wait for an endpoint of its digest; false when there is
// none.
bool wait_to_resume(state& state, open_request& open);
// Starts what waits, as far as there is room.
void serve_waiting(state& state, base::time_point now, actions& out);
// Refuses at once what cannot be answered in time any more.
void refuse_late(state& state, base::time_point now, actions& out);
// Takes a request out of its queue, if it waits.
void leave_queue(state& state, open_request const& open);
request_pool& pool_of(state& state, open_request const& open);

// attempt_flow.cpp
// Starts the next attempt; false when no endpoint has room.
bool place(
    state& state, open_request& open, base::time_point now, actions& out);
// Whether any endpoint could serve the request, room or not.
bool is_served(state const& state, open_request const& open);
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
// An agent is gone: what it ran is lost.
void on_endpoint_lost(
    state& state, std::string const& agent, base::time_point now, actions& out);
// Decides whether the balancer may send callers.
void update_readiness(state& state, base::time_point now);

// probe_flow.cpp
// Notes the incarnation that a peer speaks with; a new one lost what the one
// before ran.
void note_incarnation(
    state& state,
    std::string const& peer,
    std::uint64_t incarnation,
    base::time_point now,
    actions& out);
// Asks agents that run something for us and have been silent for a sign.
void probe_silent_agents(state& state, base::time_point now, actions& out);

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
// Records how the attempt that the claim names has ended.
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
// Makes a platform call and remembers why.
void call_platform(
    state& state, core::platform_call call, pending_call pending, actions& out);
// Whether a call of this purpose may be made now; takes a token if so.
bool may_call(state& state, call_purpose purpose, base::time_point now);

// membership_flow.cpp
// Whether this entry waits at the platform for its failure domain.
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
void push_whole_list(state const& state, std::string const& peer, actions& out);
void on_leaving(
    state& state, std::string const& peer, base::time_point now, actions& out);
void announce_leaving(state const& state, actions& out);
// Suspects the silent and renews who talks to whom.
void check_members(state& state, base::time_point now, actions& out);

// replication_flow.cpp
// Adopts a configuration, upwards only, and passes it on.
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
// Exchanges digests with other entries and subscribes to heartbeats.
void say_hello(state& state, base::time_point now, actions& out);

// endpoint_flow.cpp
void on_heartbeat(
    state& state,
    std::string const& peer,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out);
void on_endpoint_gossip(
    state& state, wire::EndpointGossip const& gossip, base::time_point now);
// Tells the other entries of the domain what changed at the endpoints that
// this one reports.
void report_endpoints(state& state, base::time_point now, actions& out);
// Tells one entry everything about them.
void report_whole(state& state, std::string const& peer, actions& out);

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
