#include "flows.hpp"

#include <base/digest.hpp>
#include <control/membership.hpp>

namespace foxtailvale::agent_core
{

namespace
{

// An entry that has not renewed its subscription for this long gets no more
// heartbeats.
constexpr std::chrono::milliseconds listener_timeout{16'000};

// After this many brief heartbeats a full one is sent, in case the last full
// one was lost.
constexpr std::uint32_t max_brief_heartbeats = 15;

std::uint64_t own_plan_version(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end() ? 0 : found->second.version;
}

// Adds the fields that rarely change; brief heartbeats omit them.
void add_detail(state const& state, wire::Heartbeat& heartbeat)
{
    heartbeat.set_failure_domain(state.self.failure_domain);
    heartbeat.set_region(state.self.region);
    heartbeat.set_service(state.self.service);
    heartbeat.set_engine_instance(state.requests.gate.instance);
    for (auto const& [model, digest] : state.weights.serving)
    {
        if (state.weights.switching.contains(model))
        {
            continue;
        }
        auto* const loaded = heartbeat.add_loaded();
        loaded->set_model(model);
        loaded->set_digest(digest);
    }
}

wire::Heartbeat make_heartbeat(state const& state)
{
    auto const& gate = state.requests.gate;
    wire::Heartbeat heartbeat;
    auto const usable = state.control.endpoint_reachable;
    heartbeat.set_limit(usable ? gate.limit : 0);
    heartbeat.set_running(static_cast<std::uint32_t>(gate.running.size()));
    heartbeat.set_leaving(state.control.stopping);
    heartbeat.set_cold(state.control.endpoint_cold);
    heartbeat.set_generation(state.control.configuration.generation);
    heartbeat.set_plan_version(own_plan_version(state));
    for (auto const& [digest, version] : state.weights.store.versions)
    {
        heartbeat.set_chunks_held(heartbeat.chunks_held() + version.held);
        heartbeat.set_chunks_wanted(
            heartbeat.chunks_wanted() +
            static_cast<std::uint32_t>(version.chunks.size()));
    }
    return heartbeat;
}

std::uint64_t plans_hash(state const& state)
{
    std::string text;
    for (auto const& [domain, plan] : state.control.plans)
    {
        text.append(domain).append("=");
        text.append(std::to_string(plan.version)).append(";");
    }
    return base::stable_hash(text);
}

wire::ConfigurationDigest make_digest(state const& state)
{
    wire::ConfigurationDigest digest;
    digest.set_generation(state.control.configuration.generation);
    digest.set_whole(true);
    for (auto const& [domain, plan] : state.control.plans)
    {
        (*digest.mutable_plan_versions())[domain] = plan.version;
    }
    return digest;
}

void send_heartbeat(
    state const& state,
    std::string const& entry,
    listener& to,
    base::time_point now,
    actions& out)
{
    wire::Heartbeat detail;
    add_detail(state, detail);
    auto const hash = base::stable_hash(detail.SerializeAsString());
    auto heartbeat = make_heartbeat(state);
    auto const brief =
        hash == to.detail_hash && to.brief_heartbeats < max_brief_heartbeats;
    if (brief)
    {
        heartbeat.set_brief(true);
        ++to.brief_heartbeats;
    }
    else
    {
        heartbeat.MergeFrom(detail);
        to.detail_hash = hash;
        to.brief_heartbeats = 0;
    }
    to.last_heartbeat = now;
    core::send_message message{entry, {}};
    *message.envelope.mutable_heartbeat() = std::move(heartbeat);
    out.push_back(std::move(message));
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
    // Failure: an older configuration arrives late from a peer that lagged, and
    // callers see a withdrawn model again or a failure domain that is out of
    // service. Generations only grow, so the comparison is correct for any
    // order of arrival.
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
    state& state,
    core::message_received const& message,
    base::time_point now,
    actions& out)
{
    auto const& digest = message.envelope.configuration_digest();
    auto const incarnation = message.envelope.from_incarnation();
    auto const [place, added] =
        state.control.listeners.try_emplace(message.peer);
    auto& to = place->second;
    auto const is_new = added || to.incarnation != incarnation;
    to.last_heard = now;
    to.incarnation = incarnation;
    if (digest.heartbeat_ms() > 0)
    {
        to.interval = std::chrono::milliseconds(digest.heartbeat_ms());
    }
    if (is_new)
    {
        to.detail_hash = 0;
        send_heartbeat(state, message.peer, to, now, out);
        report_former_crashes(state, message.peer, now, out);
    }
    auto const same =
        digest.generation() == state.control.configuration.generation &&
        digest.plans_hash() == plans_hash(state);
    if (!same)
    {
        core::send_message answer{message.peer, {}};
        *answer.envelope.mutable_configuration_digest() = make_digest(state);
        out.push_back(std::move(answer));
    }
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
    auto const restarted_or_cold = report.instance != gate.instance ||
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
    // Failure: the endpoint restarts or goes cold without notice, and the load
    // that it handled when warm overloads it, so all its callers lose their
    // answers. A new instance name or a reported cold state reveals this.
    if (restarted_or_cold && state.self.service.empty())
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
        control.heartbeat_due = true;
    }
}

void send_heartbeats(state& state, base::time_point now, actions& out)
{
    state.control.heartbeat_due = false;
    for (auto& [entry, to] : state.control.listeners)
    {
        send_heartbeat(state, entry, to, now, out);
    }
}

void on_control_tick(state& state, base::time_point now, actions& out)
{
    auto& control = state.control;
    std::erase_if(
        control.listeners,
        [now](auto const& entry)
        {
            return now - entry.second.last_heard > listener_timeout;
        });
    if (control.heartbeat_due)
    {
        send_heartbeats(state, now, out);
        return;
    }
    for (auto& [entry, to] : control.listeners)
    {
        if (now - to.last_heartbeat >= to.interval)
        {
            send_heartbeat(state, entry, to, now, out);
        }
    }
}

void on_control_send_failed(state& state, core::send_failed const& failed)
{
    auto const found = state.control.listeners.find(failed.peer);
    if (found != state.control.listeners.end() &&
        failed.envelope.has_heartbeat())
    {
        // The entry did not receive the last heartbeat; the next one is a full
        // one.
        found->second.detail_hash = 0;
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
