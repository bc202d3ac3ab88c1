#include "flows.hpp"

#include <core/wire_ids.hpp>

namespace foxtailvale::agent_core
{

namespace
{

void send_output(
    state const& state,
    std::string const& entry,
    wire::RunOutput output,
    actions& out)
{
    auto const& gate = state.requests.gate;
    // As in the heartbeat, an unreachable endpoint has no capacity; a late
    // reply must not report otherwise.
    output.set_limit(state.control.endpoint_reachable ? gate.limit : 0);
    output.set_running(static_cast<std::uint32_t>(gate.running.size()));
    core::send_message message{entry, {}};
    *message.envelope.mutable_run_output() = std::move(output);
    out.push_back(std::move(message));
}

std::string serving_digest(state const& state, std::string const& model)
{
    // Failure: a request starts while the engine switches to another version,
    // and its answer mixes both. The gate is closed before the order is sent
    // and stays closed until the engine has reported what it serves afterwards.
    if (state.weights.switching.contains(model))
    {
        return "";
    }
    auto const found = state.weights.serving.find(model);
    return found == state.weights.serving.end() ? "" : found->second;
}

// Whether the target is the endpoint of this agent.
bool is_target_local(state const& state, wire::Target const& target)
{
    return state.self.service.empty() ? !target.model().empty()
                                      : target.service() == state.self.service;
}

// Failure: a restarted engine answers 503 because it has not loaded a model
// yet. If that were relayed, the caller would get an internal engine error
// although another endpoint could answer. Reported as a failure, it makes the
// entry retry elsewhere.
constexpr std::uint32_t first_server_error = 500;

std::optional<base::error>
failure_of(running_attempt const& attempt, attempt_output const& output)
{
    if (output.failure || attempt.model.empty() ||
        output.status < first_server_error)
    {
        return output.failure;
    }
    return base::error{
        base::error_kind::endpoint_failed,
        "engine answered " + std::to_string(output.status)};
}

bool has_ended(state const& state, base::attempt_id attempt)
{
    auto const known = state.requests.outcomes.find(attempt);
    return known != state.requests.outcomes.end() &&
           known->second.answer.state() != wire::OutcomeReply::NOT_RUN;
}

wire::OutcomeReply outcome_of(
    attempt_output const& output, std::optional<base::error> const& failure)
{
    wire::OutcomeReply answer;
    if (failure)
    {
        auto const not_run =
            base::row_of(failure->kind).ran == base::ran_state::no;
        answer.set_state(
            not_run ? wire::OutcomeReply::NOT_RUN
                    : wire::OutcomeReply::UNKNOWN);
        return answer;
    }
    answer.set_state(wire::OutcomeReply::FINISHED);
    answer.set_status(output.status);
    answer.set_content_type(output.content_type);
    answer.set_body(output.body);
    answer.set_body_kept(true);
    return answer;
}

} // namespace

void refuse_attempt(
    state const& state,
    std::string const& entry,
    wire::AttemptId const& attempt,
    base::error const& reason,
    actions& out)
{
    wire::RunOutput output;
    *output.mutable_attempt() = attempt;
    output.set_last(true);
    output.set_error(std::string(base::row_of(reason.kind).name));
    output.set_detail(reason.detail);
    send_output(state, entry, std::move(output), out);
    out.push_back(core::report_error{reason, {{"entry", entry}}});
}

base::result<void> admit_attempt(
    state& state, base::attempt_id attempt, wire::Target const& target)
{
    if (!is_target_local(state, target))
    {
        return base::fail(
            base::error_kind::version_mismatch, "not served here");
    }
    request::gate_query const query{
        attempt, target.digest(), serving_digest(state, target.model())};
    return request::admit(state.requests.gate, query);
}

void on_run(
    state& state,
    std::string const& peer,
    wire::Run const& run,
    base::time_point now,
    actions& out)
{
    auto const attempt = core::from_wire(run.attempt());
    // Failure: a frame arrives twice. A second run would send out two vans, and
    // a refusal would make the first run's answer look like "not run". The
    // duplicate is dropped.
    if (state.requests.running.contains(attempt) || has_ended(state, attempt))
    {
        return;
    }
    auto const has_token = run.token() != 0;
    if (has_token && !spend_token(state, attempt, run.token(), now))
    {
        refuse_attempt(
            state, peer, run.attempt(), {base::error_kind::grant_void, {}},
            out);
        return;
    }
    if (!has_token)
    {
        auto const admitted = admit_attempt(state, attempt, run.target());
        if (!admitted)
        {
            refuse_attempt(state, peer, run.attempt(), admitted.error(), out);
            return;
        }
    }
    auto const& target = run.target();
    state.requests.running.emplace(
        attempt, running_attempt{
                     peer, target.model(), target.digest(), 0, has_token,
                     run.fingerprint()});
    out.push_back(start_attempt{attempt, run});
}

void on_cancel(state& state, wire::Cancel const& cancel, actions& out)
{
    auto const attempt = core::from_wire(cancel.attempt());
    if (state.requests.running.contains(attempt))
    {
        out.push_back(stop_attempt{attempt});
    }
}

void on_attempt_output(
    state& state,
    attempt_output const& output,
    base::time_point now,
    actions& out)
{
    auto const found = state.requests.running.find(output.attempt);
    if (found == state.requests.running.end())
    {
        return;
    }
    auto& attempt = found->second;
    wire::RunOutput message;
    core::to_wire(output.attempt, *message.mutable_attempt());
    message.set_sequence(attempt.next_sequence++);
    message.set_status(output.status);
    message.set_content_type(output.content_type);
    message.set_body(output.body);
    message.set_last(output.last);
    message.set_digest(attempt.digest);
    auto const failure = failure_of(attempt, output);
    if (failure)
    {
        message.set_error(std::string(base::row_of(failure->kind).name));
        message.set_detail(failure->detail);
    }
    auto const entry = attempt.entry;
    if (output.last)
    {
        if (failure && failure->kind == base::error_kind::endpoint_lost)
        {
            note_lost_attempt(state, attempt.fingerprint, now);
        }
        request::finish(state.requests.gate, output.attempt, !failure);
        if (attempt.remembered)
        {
            remember_outcome(
                state, output.attempt, outcome_of(output, failure), now);
        }
        state.requests.running.erase(found);
    }
    send_output(state, entry, std::move(message), out);
}

// Failure: the entry that sent the attempt is gone, and its streams would hold
// slots to their end for no caller. The call of a plain service is left to
// finish: it may be a booking whose caller will query the outcome.
void on_output_undelivered(
    state const& state, wire::RunOutput const& output, actions& out)
{
    auto const attempt = core::from_wire(output.attempt());
    auto const found = state.requests.running.find(attempt);
    if (found != state.requests.running.end() && !found->second.model.empty())
    {
        out.push_back(stop_attempt{attempt});
    }
}

void on_release_changed(state& state)
{
    auto const& configuration = state.control.configuration;
    auto& gate = state.requests.gate;
    auto const domain = configuration.domains.find(state.self.failure_domain);
    gate.domain_in = domain == configuration.domains.end() || domain->second.in;
    auto const service = configuration.services.find(state.self.service);
    if (service != configuration.services.end())
    {
        request::set_limits(gate, service->second.limit, service->second.limit);
        gate.limit = gate.warm_limit;
        return;
    }
    // An endpoint with several models can handle only the lowest limit that any
    // of them declares.
    std::optional<std::uint32_t> warm;
    std::uint32_t cold = 1;
    for (auto const& [model, digest] : state.weights.serving)
    {
        auto const released = configuration.models.find(model);
        if (released == configuration.models.end())
        {
            continue;
        }
        if (!warm || released->second.limit < *warm)
        {
            warm = released->second.limit;
            cold = released->second.cold_limit;
        }
    }
    if (warm)
    {
        request::set_limits(gate, *warm, cold);
    }
}

void check_drained(state& state, base::time_point now, actions& out)
{
    auto const busy = !state.requests.running.empty() ||
                      !state.requests.reservations.empty() ||
                      awaits_engine(state);
    if (core::advance_drain(
            state.control.drain, state.self.drain_limits, busy, now))
    {
        out.push_back(core::stop_finished{});
    }
}

} // namespace foxtailvale::agent_core
