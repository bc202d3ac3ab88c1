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
    output.set_limit(gate.limit);
    output.set_running(static_cast<std::uint32_t>(gate.running.size()));
    core::send_message message{entry, {}};
    *message.envelope.mutable_run_output() = std::move(output);
    out.push_back(std::move(message));
}

void refuse(
    state const& state,
    std::string const& entry,
    wire::Run const& run,
    base::error const& reason,
    actions& out)
{
    wire::RunOutput output;
    *output.mutable_attempt() = run.attempt();
    output.set_last(true);
    output.set_error(std::string(base::row_of(reason.kind).name));
    output.set_detail(reason.detail);
    send_output(state, entry, std::move(output), out);
    out.push_back(core::report_error{reason, {{"entry", entry}}});
}

std::string serving_digest(state const& state, std::string const& model)
{
    // Failure: a request begins while the engine is ordered to another version
    // and its answer comes from both. The gate stays closed from before the
    // order until the engine has reported what it serves since.
    if (state.weights.switching.contains(model))
    {
        return "";
    }
    auto const found = state.weights.serving.find(model);
    return found == state.weights.serving.end() ? "" : found->second;
}

// Whether the attempt is aimed at what stands behind this agent.
bool is_ours(state const& state, wire::Target const& target)
{
    return state.self.service.empty() ? !target.model().empty()
                                      : target.service() == state.self.service;
}

} // namespace

void on_run(
    state& state, std::string const& peer, wire::Run const& run, actions& out)
{
    auto const& target = run.target();
    auto const attempt = core::from_wire(run.attempt());
    if (!is_ours(state, target))
    {
        refuse(
            state, peer, run,
            {base::error_kind::version_mismatch, "not served here"}, out);
        return;
    }
    request::gate_ask const ask{
        attempt, target.digest(), serving_digest(state, target.model())};
    auto const admitted = request::admit(state.requests.gate, ask);
    if (!admitted)
    {
        refuse(state, peer, run, admitted.error(), out);
        return;
    }
    state.requests.running.emplace(
        attempt, running_attempt{peer, target.model(), target.digest(), 0});
    out.push_back(start_work{attempt, run});
}

void on_cancel(state& state, wire::Cancel const& cancel, actions& out)
{
    auto const attempt = core::from_wire(cancel.attempt());
    if (state.requests.running.contains(attempt))
    {
        out.push_back(cancel_work{attempt});
    }
}

void on_work_output(state& state, work_output const& output, actions& out)
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
    if (output.failure)
    {
        message.set_error(std::string(base::row_of(output.failure->kind).name));
        message.set_detail(output.failure->detail);
    }
    auto const entry = attempt.entry;
    if (output.last)
    {
        auto const answered = !output.failure;
        request::finish(state.requests.gate, output.attempt, answered);
        state.requests.running.erase(found);
    }
    send_output(state, entry, std::move(message), out);
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
    // An endpoint that holds several models bears what the most careful of
    // them declares.
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
    auto const busy = !state.requests.running.empty();
    if (core::advance_drain(
            state.control.drain, state.self.drain_limits, busy, now))
    {
        out.push_back(core::stop_finished{});
    }
}

} // namespace foxtailvale::agent_core
