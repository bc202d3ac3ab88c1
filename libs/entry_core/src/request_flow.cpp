#include "flows.hpp"

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// How long a call whose caller has gone, or whose deadline has passed, is
// still waited for, so that its outcome reaches the claim. The endpoint's own
// call ends with the deadline; the rest is for the way back.
constexpr milliseconds settle_length{5000};

// Why a request cannot be taken at all, if so.
std::optional<base::error>
refusal(state const& state, caller_request const& request)
{
    using base::error_kind;
    auto const& configuration = state.control.configuration;
    if (state.control.drain.refuses)
    {
        return base::error{error_kind::entry_stopping, {}};
    }
    if (request.workspace.empty())
    {
        return base::error{
            error_kind::missing_workspace, "set the header X-Workspace"};
    }
    if (!request.model.empty() && !configuration.models.contains(request.model))
    {
        return base::error{error_kind::unknown_model, request.model};
    }
    if (request.model.empty() &&
        !configuration.services.contains(request.service))
    {
        return base::error{error_kind::unknown_service, request.service};
    }
    if (state.requests.open.size() >= state.self.max_requests)
    {
        return base::error{error_kind::queue_full, {}};
    }
    return std::nullopt;
}

// A generated answer may be generated again; of a service's calls those that
// only read, or all when the release says so.
bool is_retry_allowed(state const& state, caller_request const& request)
{
    if (!request.model.empty() || request.method == "GET")
    {
        return true;
    }
    auto const& services = state.control.configuration.services;
    return services.at(request.service).repeatable;
}

// The body was sent and the outcome is to be recorded although nobody waits.
void detach(open_request& open, base::time_point now, milliseconds settle)
{
    open.detached = true;
    open.deadline = now + settle;
}

bool outcome_is_wanted(open_request const& open)
{
    return open.stage == request_stage::running && open.claim && !open.detached;
}

// What a caller is told whose deadline passed at this stage.
base::error late_error(request_stage stage)
{
    switch (stage)
    {
    case request_stage::running:
        return {base::error_kind::deadline_passed, {}};
    case request_stage::asking_outcome:
        return {base::error_kind::outcome_unknown, "its agent is silent"};
    case request_stage::reading_claim:
    case request_stage::writing_claim:
    case request_stage::reading_back:
        return {base::error_kind::claim_unavailable, "the platform is slow"};
    default:
        return {base::error_kind::deadline_unreachable, "no room in time"};
    }
}

} // namespace

void end_late(
    state& state, open_request& open, base::time_point now, actions& out)
{
    if (open.detached)
    {
        close(state, open.request.caller, now, out);
        return;
    }
    if (outcome_is_wanted(open))
    {
        refuse_caller(
            open.request, {base::error_kind::deadline_passed, {}}, out);
        detach(open, now, settle_length);
        return;
    }
    if (open.stage == request_stage::running && open.request.idempotent)
    {
        cancel_attempt(open, out);
    }
    end_with_error(state, open, late_error(open.stage), now, out);
}

namespace
{

// A gate or an agent did not answer in its time.
void end_stage(
    state& state, open_request& open, base::time_point now, actions& out)
{
    open.stage_end.reset();
    if (open.stage == request_stage::asking_outcome)
    {
        end_with_error(state, open, late_error(open.stage), now, out);
        return;
    }
    attempt_failed(
        state, open, {base::error_kind::peer_unreachable, open.agent}, now,
        out);
}

} // namespace

void on_caller_request(
    state& state,
    caller_request const& request,
    base::time_point now,
    actions& out)
{
    auto refused = refusal(state, request);
    if (refused)
    {
        refuse_caller(request, std::move(*refused), out);
        return;
    }
    request::earn(state.requests.retries);
    auto const fingerprint = fingerprint_of(request);
    if (request::is_suspect(state.requests.suspects, fingerprint))
    {
        refuse_caller(request, {base::error_kind::suspect_request, {}}, out);
        return;
    }
    open_request open;
    open.fingerprint = fingerprint;
    open.request = request;
    open.request.idempotent = is_retry_allowed(state, request);
    open.generation = state.control.configuration.generation;
    open.deadline = now + request.time_left;
    auto& added = state.requests.open.emplace(request.caller, std::move(open))
                      .first->second;
    if (needs_claim(added.request))
    {
        read_claim(state, added, now, out);
        return;
    }
    admit(state, added, now, out);
}

void on_caller_left(
    state& state, caller_disconnected const& left, base::time_point now, actions& out)
{
    auto const found = state.requests.open.find(left.caller);
    if (found == state.requests.open.end())
    {
        return;
    }
    auto& open = found->second;
    out.push_back(core::report_error{
        {base::error_kind::caller_gone, {}},
        {{"request", open.request.request_id}}});
    // Failure: the line drops while a booking runs and the caller sends it
    // again. Its claim must then hold the answer, so the call is left to end.
    if (outcome_is_wanted(open))
    {
        detach(
            open, now,
            open.deadline - now > milliseconds(0)
                ? std::chrono::duration_cast<milliseconds>(
                      open.deadline - now) +
                      settle_length
                : settle_length);
        return;
    }
    if (open.stage == request_stage::running && open.request.idempotent)
    {
        cancel_attempt(open, out);
    }
    close(state, left.caller, now, out);
}

void on_request_tick(state& state, base::time_point now, actions& out)
{
    std::vector<caller_handle> late;
    std::vector<caller_handle> stage_ended;
    for (auto const& [caller, open] : state.requests.open)
    {
        if (now >= open.deadline)
        {
            late.push_back(caller);
        }
        else if (open.stage_end && now >= *open.stage_end)
        {
            stage_ended.push_back(caller);
        }
    }
    for (auto const caller : late)
    {
        end_late(state, state.requests.open.at(caller), now, out);
    }
    for (auto const caller : stage_ended)
    {
        auto const open = state.requests.open.find(caller);
        if (open != state.requests.open.end())
        {
            end_stage(state, open->second, now, out);
        }
    }
    probe_silent_agents(state, now, out);
    request::expire(state.requests.suspects, now);
    refuse_late(state, now, out);
    serve_waiting(state, now, out);
    on_closing_tick(state, now, out);
}

void check_drained(state& state, base::time_point now, actions& out)
{
    auto const busy =
        !state.requests.open.empty() || !state.requests.closing.empty();
    if (core::advance_drain(
            state.control.drain, state.self.drain_limits, busy, now))
    {
        out.push_back(core::stop_finished{});
    }
}

} // namespace foxtailvale::entry_core
