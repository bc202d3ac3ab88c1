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
void on_caller_left(state& state, caller_left const& left, actions& out);
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
// An agent was found silent: its attempts are lost.
void on_endpoint_lost(
    state& state, std::string const& agent, base::time_point now, actions& out);
void on_request_tick(state& state, base::time_point now, actions& out);
void check_drained(state& state, base::time_point now, actions& out);

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
