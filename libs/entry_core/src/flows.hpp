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
void on_heartbeat(
    state& state,
    std::string const& peer,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out);
void on_configuration_digest(
    state& state,
    std::string const& peer,
    wire::ConfigurationDigest const& digest,
    actions& out);
void on_platform_answer(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out);
void on_control_tick(state& state, base::time_point now, actions& out);
// Makes a platform call and remembers why.
void call_platform(
    state& state, core::platform_call call, pending_call pending, actions& out);
// Sends a plan to every agent of this failure domain.
void push_plan(
    state const& state, control::domain_plan const& plan, actions& out);

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
