#ifndef FOXTAILVALE_AGENT_CORE_FLOWS_HPP
#define FOXTAILVALE_AGENT_CORE_FLOWS_HPP

#include <agent_core/agent_core.hpp>

// The parts of the agent's state machine, one file each. Each function takes
// one event and appends what to do.
namespace foxtailvale::agent_core
{

using actions = std::vector<action>;

// request_flow.cpp
void on_run(
    state& state, std::string const& peer, wire::Run const& run, actions& out);
void on_cancel(state& state, wire::Cancel const& cancel, actions& out);
void on_work_output(state& state, work_output const& output, actions& out);
void on_release_changed(state& state);
void check_drained(state& state, base::time_point now, actions& out);

// transfer_flow.cpp
void on_plan_changed(state& state, base::time_point now, actions& out);
void on_chunk_reply(
    state& state,
    std::string const& peer,
    wire::ChunkReply const& reply,
    base::time_point now,
    actions& out);
void on_chunk_have(
    state& state,
    std::string const& peer,
    wire::ChunkHave const& have,
    base::time_point now);
void on_origin_chunk(
    state& state,
    origin_chunk const& reply,
    base::time_point now,
    actions& out);
void on_transfer_tick(state& state, base::time_point now, actions& out);
void on_weights_send_failed(
    state& state, core::send_failed const& failed, base::time_point now);

// manifest_flow.cpp
void on_manifest_request(
    state& state,
    std::string const& peer,
    wire::ManifestRequest const& request,
    actions& out);
void on_manifest_reply(
    state& state,
    std::string const& peer,
    wire::ManifestReply const& reply,
    base::time_point now,
    actions& out);
void on_origin_manifest(
    state& state,
    origin_manifest const& reply,
    base::time_point now,
    actions& out);

// upload_flow.cpp
void on_chunk_request(
    state& state,
    std::string const& peer,
    wire::ChunkRequest const& request,
    base::time_point now,
    actions& out);
void on_upload_tick(state& state, base::time_point now, actions& out);

// activation_flow.cpp
void on_order_answered(
    state& state,
    order_answered const& answer,
    base::time_point now,
    actions& out);
void on_engine_reported(state& state, endpoint_report const& report);
void on_activation_tick(state& state, base::time_point now, actions& out);

// rollout_flow.cpp
void on_activation_query(
    state& state,
    std::string const& peer,
    wire::ActivationQuery const& query,
    actions& out);
void on_activation_reply(
    state& state,
    std::string const& peer,
    wire::ActivationReply const& reply,
    base::time_point now);

// control_flow.cpp
void on_configuration_push(
    state& state, wire::ConfigurationPush const& push, actions& out);
void on_plan_push(
    state& state,
    wire::PlanPush const& push,
    base::time_point now,
    actions& out);
void on_configuration_digest(
    state& state,
    core::message_received const& message,
    base::time_point now,
    actions& out);
void on_endpoint_report(
    state& state, endpoint_report const& report, actions& out);
void on_control_tick(state& state, base::time_point now, actions& out);
void on_control_send_failed(state& state, core::send_failed const& failed);
void on_stop(state& state, base::time_point now, actions& out);
// Tells every listening entry at once how this agent stands.
void send_heartbeats(state& state, base::time_point now, actions& out);

} // namespace foxtailvale::agent_core

#endif
