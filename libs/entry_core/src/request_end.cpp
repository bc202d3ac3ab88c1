#include "flows.hpp"

#include <core/wire_ids.hpp>

// Ends requests, with or without an error for the caller.
namespace foxtailvale::entry_core
{

namespace
{

bool holds_slot(open_request const& open)
{
    return open.stage == request_stage::reserving ||
           open.stage == request_stage::writing_claim ||
           open.stage == request_stage::reading_back;
}

void return_slot(open_request const& open, actions& out)
{
    core::send_message message{open.agent, {}};
    core::to_wire(
        open.attempt,
        *message.envelope.mutable_confirm_not_run()->mutable_attempt());
    out.push_back(std::move(message));
}

} // namespace

void refuse_caller(
    caller_request const& request, base::error error, actions& out)
{
    out.push_back(core::report_error{
        error,
        {{"request", request.request_id}, {"workspace", request.workspace}}});
    out.push_back(refuse{request.caller, std::move(error)});
}

void cancel_attempt(open_request const& open, actions& out)
{
    core::send_message message{open.agent, {}};
    core::to_wire(
        open.attempt, *message.envelope.mutable_cancel()->mutable_attempt());
    out.push_back(std::move(message));
}

void close_request(
    state& state, caller_handle caller, base::time_point now, actions& out)
{
    auto const found = state.requests.open.find(caller);
    auto const& open = found->second;
    leave_queue(state, open);
    if (holds_slot(open))
    {
        return_slot(open, out);
    }
    auto const not_run = open.stage != request_stage::running;
    if (open.claim && open.claim->held && not_run)
    {
        request::claim ended;
        ended.state = request::claim_state::not_run;
        ended.attempt = open.attempt;
        ended.agent = open.agent;
        ended.request_digest = open.claim->request_digest;
        close_claim(
            state, open.claim->path, open.claim->version, ended, now, out);
    }
    state.requests.attempts.erase(open.attempt);
    state.requests.open.erase(found);
}

void end_with_error(
    state& state,
    open_request& open,
    base::error error,
    base::time_point now,
    actions& out)
{
    auto const request = open.request;
    auto const was_detached = open.detached;
    close_request(state, request.caller, now, out);
    if (!was_detached)
    {
        refuse_caller(request, std::move(error), out);
    }
}

} // namespace foxtailvale::entry_core
