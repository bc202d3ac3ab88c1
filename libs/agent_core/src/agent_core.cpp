#include "flows.hpp"

namespace foxtailvale::agent_core
{

namespace
{

void on_message(
    state& state,
    core::message_received const& message,
    base::time_point now,
    actions& out)
{
    auto const& peer = message.peer;
    auto const& envelope = message.envelope;
    weights::note_heard(state.weights.peer_table, peer, now);
    using body = wire::Envelope;
    switch (envelope.body_case())
    {
    case body::BODY_NOT_SET:
        // Carries only the peer's new incarnation.
        return;
    case body::kRun:
        return on_run(state, peer, envelope.run(), now, out);
    case body::kReserve:
        return on_reserve(state, peer, envelope.reserve(), now, out);
    case body::kConfirmNotRun:
        return on_confirm_not_run(
            state, peer, envelope.confirm_not_run(), now, out);
    case body::kOutcomeQuery:
        return on_outcome_query(state, peer, envelope.outcome_query(), out);
    case body::kSuspectNotice:
        return on_suspect_notice(state, peer, envelope.suspect_notice(), out);
    case body::kCancel:
        return on_cancel(state, envelope.cancel(), out);
    case body::kConfigurationPush:
        return on_configuration_push(state, envelope.configuration_push(), out);
    case body::kPlanPush:
        return on_plan_push(state, envelope.plan_push(), now, out);
    case body::kConfigurationDigest:
        return on_configuration_digest(state, message, now, out);
    case body::kChunkRequest:
        return on_chunk_request(
            state, peer, envelope.chunk_request(), now, out);
    case body::kChunkReply:
        return on_chunk_reply(state, peer, envelope.chunk_reply(), now, out);
    case body::kManifestRequest:
        return on_manifest_request(
            state, peer, envelope.manifest_request(), out);
    case body::kManifestReply:
        return on_manifest_reply(
            state, peer, envelope.manifest_reply(), now, out);
    case body::kChunkHave:
        return on_chunk_have(state, peer, envelope.chunk_have(), now);
    case body::kActivationQuery:
        return on_activation_query(
            state, peer, envelope.activation_query(), out);
    case body::kActivationReply:
        return on_activation_reply(
            state, peer, envelope.activation_reply(), now);
    default:
        out.push_back(core::report_error{
            {base::error_kind::bad_frame, "unexpected message type"},
            {{"peer", peer}}});
    }
}

// Dispatches each event to the flow that handles it.
class dispatcher
{
public:
    dispatcher(state& target, base::time_point time, actions& result)
        : core(target), now(time), out(result)
    {
    }

    void operator()(core::message_received const& event)
    {
        on_message(this->core, event, this->now, this->out);
    }

    void operator()(core::send_failed const& event)
    {
        on_weights_send_failed(this->core, event, this->now);
        if (event.envelope.has_run_output())
        {
            on_output_undelivered(
                this->core, event.envelope.run_output(), this->out);
        }
        on_control_send_failed(this->core, event);
    }

    void operator()(core::tick const& /*event*/)
    {
        on_control_tick(this->core, this->now, this->out);
        on_transfer_tick(this->core, this->now, this->out);
        on_upload_tick(this->core, this->now, this->out);
        on_activation_tick(this->core, this->now, this->out);
        on_reservation_tick(this->core, this->now);
        check_drained(this->core, this->now, this->out);
    }

    void operator()(core::stop_requested const& /*event*/)
    {
        on_stop(this->core, this->now, this->out);
    }

    void operator()(attempt_output const& event)
    {
        on_attempt_output(this->core, event, this->now, this->out);
    }

    void operator()(endpoint_report const& event)
    {
        on_endpoint_report(this->core, event, this->now, this->out);
        on_engine_reported(this->core, event);
    }

    void operator()(order_answered const& event)
    {
        on_order_answered(this->core, event, this->now, this->out);
    }

    void operator()(origin_manifest const& event)
    {
        on_origin_manifest(this->core, event, this->now, this->out);
    }

    void operator()(origin_chunk const& event)
    {
        on_origin_chunk(this->core, event, this->now, this->out);
    }

private:
    state& core;
    base::time_point now;
    actions& out;
};

} // namespace

std::vector<action> step(state& state, event const& input, base::time_point now)
{
    actions out;
    std::visit(dispatcher(state, now, out), input);
    return out;
}

} // namespace foxtailvale::agent_core
