#include "flows.hpp"

namespace foxtailvale::entry_core
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
    using body = wire::Envelope;
    note_incarnation(state, peer, envelope.from_incarnation(), now, out);
    switch (envelope.body_case())
    {
    case body::BODY_NOT_SET:
        // The frame carries only the peer's new incarnation.
        return;
    case body::kRunOutput:
        return on_run_output(state, peer, envelope.run_output(), now, out);
    case body::kGrant:
        return on_grant(state, peer, envelope.grant(), now, out);
    case body::kOutcomeReply:
        return on_outcome_reply(
            state, peer, envelope.outcome_reply(), now, out);
    case body::kNotRunConfirmed:
        // Reply to a returned slot; no request waits for it.
        return;
    case body::kSuspectNotice:
        return on_suspect_notice(state, envelope.suspect_notice(), now, out);
    case body::kHeartbeat:
        return on_heartbeat(state, peer, envelope.heartbeat(), now, out);
    case body::kConfigurationDigest:
        return on_configuration_digest(state, message, now, out);
    case body::kConfigurationPush:
        return on_configuration_push(
            state, envelope.configuration_push(), now, out);
    case body::kPlanPush:
        return on_plan_push(state, envelope.plan_push(), out);
    case body::kEndpointGossip:
        return on_endpoint_gossip(state, envelope.endpoint_gossip(), now);
    case body::kVmListPush:
        return on_vm_list_push(state, envelope.vm_list_push(), now, out);
    case body::kLeaving:
        return on_leaving(state, peer, now, out);
    default:
        out.push_back(core::report_error{
            {base::error_kind::bad_frame, "unexpected message type"},
            {{"peer", peer}}});
    }
}

// Whether the frame may mean that an endpoint has a free slot.
bool makes_room(wire::Envelope const& envelope)
{
    return envelope.has_heartbeat() ||
           (envelope.has_run_output() && envelope.run_output().last());
}

// Dispatches each event to its handler.
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
        if (makes_room(event.envelope))
        {
            serve_waiting(this->core, this->now, this->out);
        }
    }

    void operator()(core::send_failed const& event)
    {
        on_request_send_failed(this->core, event, this->now, this->out);
    }

    void operator()(core::tick const& /*event*/)
    {
        on_control_tick(this->core, this->now, this->out);
        on_planner_tick(this->core, this->now, this->out);
        on_request_tick(this->core, this->now, this->out);
        update_readiness(this->core, this->now);
        check_drained(this->core, this->now, this->out);
    }

    void operator()(core::stop_requested const& /*event*/)
    {
        this->core.control.stopping = true;
        core::begin_drain(this->core.control.drain, this->now);
        this->out.push_back(
            core::write_log{kernel::event_id::process_stopping, {}});
        announce_leaving(this->core, this->out);
    }

    void operator()(core::platform_answer const& event)
    {
        on_platform_answer(this->core, event, this->now, this->out);
    }

    void operator()(caller_request const& event)
    {
        on_caller_request(this->core, event, this->now, this->out);
    }

    void operator()(caller_disconnected const& event)
    {
        on_caller_disconnected(this->core, event, this->now, this->out);
    }

    void operator()(release_suspect const& event)
    {
        on_release_suspect(this->core, event, this->out);
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

} // namespace foxtailvale::entry_core
