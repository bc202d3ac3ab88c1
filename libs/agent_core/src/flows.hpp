#ifndef FOXTAILVALE_AGENT_CORE_FLOWS_HPP
#define FOXTAILVALE_AGENT_CORE_FLOWS_HPP

#include <agent_core/agent_core.hpp>

// The parts of the agent's state machine, one source file each. Each function
// handles one event and appends the resulting actions to `out`.
namespace foxtailvale::agent_core
{

using actions = std::vector<action>;

// request_flow.cpp
void on_run(
    state& state,
    std::string const& peer,
    wire::Run const& run,
    base::time_point now,
    actions& out);
void on_cancel(state& state, wire::Cancel const& cancel, actions& out);
void on_attempt_output(
    state& state,
    attempt_output const& output,
    base::time_point now,
    actions& out);
void on_output_undelivered(
    state const& state, wire::RunOutput const& output, actions& out);
void on_release_changed(state& state);
void check_drained(state& state, base::time_point now, actions& out);
// Sends the entry the reason why an attempt was not run.
void refuse_attempt(
    state const& state,
    std::string const& entry,
    wire::AttemptId const& attempt,
    base::error const& reason,
    actions& out);
// Reserves a slot for the attempt; fails with the reason when none is free or
// the target is not served here.
base::result<void> admit_attempt(
    state& state, base::attempt_id attempt, wire::Target const& target);

// reservation_flow.cpp
void on_reserve(
    state& state,
    std::string const& peer,
    wire::Reserve const& reserve,
    base::time_point now,
    actions& out);
// Consumes the reservation token; false when it is unknown, expired or already
// used.
bool spend_token(
    state& state,
    base::attempt_id attempt,
    std::uint64_t token,
    base::time_point now);
void on_confirm_not_run(
    state& state,
    std::string const& peer,
    wire::ConfirmNotRun const& confirm,
    base::time_point now,
    actions& out);
void on_outcome_query(
    state const& state,
    std::string const& peer,
    wire::OutcomeQuery const& query,
    actions& out);
// Stores the outcome of an attempt for a caller that retries its request.
void remember_outcome(
    state& state,
    base::attempt_id attempt,
    wire::OutcomeReply answer,
    base::time_point now);
void on_reservation_tick(state& state, base::time_point now);

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

// suspect_flow.cpp
//
// Records that the endpoint broke off an attempt.
void note_lost_attempt(
    state& state, std::uint64_t fingerprint, base::time_point now);
// Handles a crash of the endpoint: notifies the entries of the requests that
// ran on it.
void report_crash(state& state, base::time_point now, actions& out);

// Tells an entry that begins to listen which requests ran on the endpoint as it
// crashed, as long as they are remembered anywhere.
void report_former_crashes(
    state& state, std::string const& entry, base::time_point now, actions& out);
void on_suspect_notice(
    state& state,
    std::string const& peer,
    wire::SuspectNotice const& notice,
    actions& out);

// activation_flow.cpp
void on_order_answered(
    state& state,
    order_answered const& answer,
    base::time_point now,
    actions& out);
void on_engine_reported(state& state, endpoint_report const& report);
// Whether the engine has not answered an order yet, during which it may fetch
// weights from this agent.
bool awaits_engine(state const& state);
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
    state& state,
    endpoint_report const& report,
    base::time_point now,
    actions& out);
void on_control_tick(state& state, base::time_point now, actions& out);
void on_control_send_failed(state& state, core::send_failed const& failed);
void on_stop(state& state, base::time_point now, actions& out);
// Sends a heartbeat to every listener at once.
void send_heartbeats(state& state, base::time_point now, actions& out);

} // namespace foxtailvale::agent_core

#endif
