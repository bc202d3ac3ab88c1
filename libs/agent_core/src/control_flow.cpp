#include "flows.hpp"

#include <control/membership.hpp>

namespace foxtailvale::agent_core
{

namespace
{

// An entry that has not asked for this long gets no more heartbeats.
constexpr std::chrono::milliseconds listener_limit{10'000};

std::uint64_t own_plan_version(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end() ? 0 : found->second.version;
}

wire::Heartbeat make_heartbeat(state const& state)
{
    auto const& gate = state.requests.gate;
    wire::Heartbeat beat;
    beat.set_failure_domain(state.self.failure_domain);
    beat.set_region(state.self.region);
    beat.set_service(state.self.service);
    beat.set_engine_instance(gate.instance);
    for (auto const& [model, digest] : state.weights.serving)
    {
        if (state.weights.switching.contains(model))
        {
            continue;
        }
        auto* const loaded = beat.add_loaded();
        loaded->set_model(model);
        loaded->set_digest(digest);
    }
    auto const usable = state.control.endpoint_reachable;
    beat.set_limit(usable ? gate.limit : 0);
    beat.set_running(static_cast<std::uint32_t>(gate.running.size()));
    beat.set_leaving(state.control.stopping);
    beat.set_cold(state.control.endpoint_cold);
    beat.set_generation(state.control.configuration.generation);
    beat.set_plan_version(own_plan_version(state));
    for (auto const& [digest, version] : state.weights.store.versions)
    {
        beat.set_chunks_held(beat.chunks_held() + version.held);
        beat.set_chunks_wanted(
            beat.chunks_wanted() +
            static_cast<std::uint32_t>(version.chunks.size()));
    }
    return beat;
}

wire::ConfigurationDigest make_digest(state const& state)
{
    wire::ConfigurationDigest digest;
    digest.set_generation(state.control.configuration.generation);
    for (auto const& [domain, plan] : state.control.plans)
    {
        (*digest.mutable_plan_versions())[domain] = plan.version;
    }
    return digest;
}

void send_heartbeat(state const& state, std::string const& entry, actions& out)
{
    core::send_message beat{entry, {}};
    *beat.envelope.mutable_heartbeat() = make_heartbeat(state);
    out.push_back(std::move(beat));
}

void log_domain_change(
    state const& state,
    bool was_in,
    release::configuration const& next,
    actions& out)
{
    auto const found = next.domains.find(state.self.failure_domain);
    if (found == next.domains.end() || found->second.in == was_in)
    {
        return;
    }
    out.push_back(core::write_log{
        found->second.in ? kernel::event_id::domain_in
                         : kernel::event_id::domain_out,
        {{"generation", next.generation}}});
}

} // namespace

void on_configuration_push(
    state& state, wire::ConfigurationPush const& push, actions& out)
{
    // Failure: an older configuration arrives late, from a peer that lagged.
    // Callers would see a withdrawn model or a domain that is out come back.
    // The generation only grows, so comparing it holds for any order.
    if (push.generation() <= state.control.configuration.generation)
    {
        return;
    }
    auto parsed = release::parse_configuration(push.document());
    if (!parsed || parsed.value().generation != push.generation())
    {
        out.push_back(core::report_error{
            {base::error_kind::bad_frame, "configuration"}, {}});
        return;
    }
    log_domain_change(
        state, state.requests.gate.domain_in, parsed.value(), out);
    state.control.configuration = std::move(parsed.value());
    on_release_changed(state);
    out.push_back(core::write_log{
        kernel::event_id::configuration_adopted,
        {{"generation", push.generation()}}});
}

void on_plan_push(
    state& state,
    wire::PlanPush const& push,
    base::time_point now,
    actions& out)
{
    auto const known = state.control.plans.find(push.failure_domain());
    if (known != state.control.plans.end() &&
        known->second.version >= push.version())
    {
        return;
    }
    auto parsed = control::parse_plan(push.document());
    if (!parsed || parsed.value().version != push.version() ||
        parsed.value().failure_domain != push.failure_domain())
    {
        out.push_back(
            core::report_error{{base::error_kind::bad_frame, "plan"}, {}});
        return;
    }
    state.control.plans[push.failure_domain()] = std::move(parsed.value());
    out.push_back(core::write_log{
        kernel::event_id::plan_adopted,
        {{"failure_domain", push.failure_domain()},
         {"version", push.version()}}});
    on_plan_changed(state, now, out);
}

void on_configuration_digest(
    state& state, std::string const& peer, base::time_point now, actions& out)
{
    auto const added =
        state.control.listeners.insert_or_assign(peer, listener{now}).second;
    if (added)
    {
        send_heartbeat(state, peer, out);
    }
    core::send_message answer{peer, {}};
    *answer.envelope.mutable_configuration_digest() = make_digest(state);
    out.push_back(std::move(answer));
}

void on_endpoint_report(
    state& state,
    endpoint_report const& report,
    base::time_point now,
    actions& out)
{
    auto& control = state.control;
    control.endpoint_reachable = report.reachable;
    if (!report.reachable)
    {
        return;
    }
    auto& gate = state.requests.gate;
    if (!gate.instance.empty() && report.instance != gate.instance)
    {
        report_crash(state, now, out);
    }
    auto const turned = report.instance != gate.instance ||
                        (report.cold && !control.endpoint_cold);
    control.endpoint_cold = report.cold;
    gate.reports_cold = report.cold;
    auto const before = state.weights.serving;
    state.weights.serving.clear();
    for (auto const& loaded : report.loaded)
    {
        state.weights.serving[loaded.model] = loaded.digest;
    }
    on_release_changed(state);
    // Failure: the endpoint restarted or went cold without a word; under the
    // load that it bore when warm it would fall over and every caller on it
    // would lose the answer. Its instance or state tells.
    if (turned && state.self.service.empty())
    {
        request::turn_cold(gate, report.instance);
        out.push_back(core::write_log{
            kernel::event_id::engine_turned_cold,
            {{"instance", report.instance}}});
    }
    if (before != state.weights.serving)
    {
        out.push_back(core::write_log{
            kernel::event_id::weights_activated,
            {{"serving", state.weights.serving}}});
        control.last_heartbeat = {};
    }
}

void send_heartbeats(state& state, base::time_point now, actions& out)
{
    state.control.last_heartbeat = now;
    for (auto const& [entry, heard] : state.control.listeners)
    {
        send_heartbeat(state, entry, out);
    }
}

void on_control_tick(state& state, base::time_point now, actions& out)
{
    auto& control = state.control;
    std::erase_if(
        control.listeners,
        [now](auto const& entry)
        {
            return now - entry.second.heard > listener_limit;
        });
    if (now - control.last_heartbeat >= control::heartbeat_interval)
    {
        send_heartbeats(state, now, out);
    }
}

void on_stop(state& state, base::time_point now, actions& out)
{
    state.control.stopping = true;
    core::begin_drain(state.control.drain, now);
    state.requests.gate.leaving = true;
    out.push_back(core::write_log{kernel::event_id::process_stopping, {}});
    send_heartbeats(state, now, out);
}

} // namespace foxtailvale::agent_core
