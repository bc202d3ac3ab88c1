#include "flows.hpp"

#include <release/object_reader.hpp>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// How often each thing is read again, and after a failure.
constexpr milliseconds list_interval{1000};
constexpr milliseconds plan_interval{1000};
constexpr milliseconds watch_length{10'000};
constexpr milliseconds failure_pause{500};
// An agent that hears this sends heartbeats for a while.
constexpr milliseconds hello_interval{1000};

bool is_due(state const& state, call_purpose purpose, base::time_point now)
{
    auto const next = state.control.next_call.find(purpose);
    return next == state.control.next_call.end() || now >= next->second;
}

bool is_pending(state const& state, call_purpose purpose)
{
    for (auto const& [id, call] : state.control.calls)
    {
        if (call.purpose == purpose)
        {
            return true;
        }
    }
    return false;
}

void call_when_due(
    state& state,
    call_purpose purpose,
    core::platform_call call,
    base::time_point now,
    actions& out)
{
    if (is_due(state, purpose, now) && !is_pending(state, purpose))
    {
        call_platform(state, std::move(call), {purpose, now, 0, {}}, out);
    }
}

void push_configuration(
    state const& state, std::string const& peer, actions& out)
{
    auto const& configuration = state.control.configuration;
    core::send_message message{peer, {}};
    auto* const push = message.envelope.mutable_configuration_push();
    push->set_generation(configuration.generation);
    push->set_document(to_text(configuration));
    out.push_back(std::move(message));
}

void push_plan_to(
    control::domain_plan const& plan, std::string const& peer, actions& out)
{
    core::send_message message{peer, {}};
    auto* const push = message.envelope.mutable_plan_push();
    push->set_failure_domain(plan.failure_domain);
    push->set_version(plan.version);
    push->set_document(to_text(plan));
    out.push_back(std::move(message));
}

std::vector<std::string> own_agents(state const& state)
{
    std::vector<std::string> names;
    for (auto const& [name, member] : state.control.members.members)
    {
        if (member.vm.role == control::vm_role::agent &&
            member.vm.failure_domain == state.self.failure_domain)
        {
            names.push_back(name);
        }
    }
    return names;
}

void keep_previous_digests(state& state, release::configuration const& next)
{
    for (auto const& [name, model] : next.models)
    {
        auto const old = state.control.configuration.models.find(name);
        if (old != state.control.configuration.models.end() &&
            old->second.digest != model.digest)
        {
            state.control.previous_digests[name] = old->second.digest;
        }
    }
    std::erase_if(
        state.control.previous_digests,
        [&next](auto const& entry)
        {
            return !next.models.contains(entry.first);
        });
}

// Adopts a configuration, upwards only, and passes it on.
void adopt(state& state, release::configuration next, actions& out)
{
    // Failure: after an outage the platform answers with an older version
    // than peers have shown. Adopted, an accepted configuration would revert.
    if (next.generation <= state.control.configuration.generation)
    {
        return;
    }
    keep_previous_digests(state, next);
    state.control.configuration = std::move(next);
    out.push_back(core::write_log{
        kernel::event_id::configuration_adopted,
        {{"generation", state.control.configuration.generation}}});
    for (auto const& agent : own_agents(state))
    {
        push_configuration(state, agent, out);
    }
}

void on_release(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    auto& next = state.control.next_call[call_purpose::release_watch];
    if (!answer.ok)
    {
        auto const waited = answer.error == base::error_kind::not_found;
        next = waited ? now : now + failure_pause;
        return;
    }
    next = now;
    state.control.release_object_version = answer.version;
    auto parsed = release::parse_configuration(answer.value);
    if (!parsed)
    {
        out.push_back(core::report_error{parsed.error(), {}});
        next = now + failure_pause;
        return;
    }
    adopt(state, std::move(parsed.value()), out);
}

void connect_members(state& state, base::time_point now, actions& out)
{
    std::set<std::string> wanted;
    for (auto const& [name, member] : state.control.members.members)
    {
        if (member.vm.role == control::vm_role::agent)
        {
            wanted.insert(name);
        }
    }
    for (auto const& name : wanted)
    {
        if (state.control.connected.insert(name).second)
        {
            auto const& vm = state.control.members.members.at(name).vm;
            out.push_back(core::connect_peer{name, vm.address});
        }
    }
    std::erase_if(
        state.control.connected,
        [&](std::string const& name)
        {
            if (wanted.contains(name))
            {
                return false;
            }
            out.push_back(core::disconnect_peer{name});
            state.control.endpoints.erase(name);
            state.requests.incarnations.erase(name);
            on_endpoint_lost(state, name, now, out);
            return true;
        });
}

void on_vm_list(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    state.control.next_call[call_purpose::vm_list] = now + list_interval;
    if (!answer.ok)
    {
        return;
    }
    auto const list = control::parse_vm_list(answer.value);
    if (!list)
    {
        out.push_back(core::report_error{list.error(), {}});
        return;
    }
    control::apply_list(state.control.members, list.value());
    connect_members(state, now, out);
}

void note_plan(state& state, release::object_reader entry, actions& out)
{
    auto const version = entry.number("version", 0, 1ULL << 62U);
    auto parsed = control::parse_plan(entry.text("value"));
    if (!parsed)
    {
        out.push_back(core::report_error{parsed.error(), {}});
        return;
    }
    auto& plan = parsed.value();
    if (plan.failure_domain == state.self.failure_domain)
    {
        state.control.plan_object_version = version;
    }
    auto const known = state.control.plans.find(plan.failure_domain);
    if (known != state.control.plans.end() &&
        known->second.version >= plan.version)
    {
        return;
    }
    push_plan(state, plan, out);
    state.control.plans[plan.failure_domain] = std::move(plan);
}

void on_plan_list(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    state.control.next_call[call_purpose::plan_list] = now + plan_interval;
    if (!answer.ok)
    {
        return;
    }
    auto const source = release::parse_document("plans", answer.value);
    auto faults = source.faults;
    release::object_reader reader(source, "", faults);
    for (std::size_t index = 0; index < reader.size("objects"); ++index)
    {
        note_plan(state, reader.element("objects", index), out);
    }
    state.control.plans_read = true;
}

void say_hello(state& state, base::time_point now, actions& out)
{
    if (now - state.control.last_hello < hello_interval)
    {
        return;
    }
    state.control.last_hello = now;
    for (auto const& name : state.control.connected)
    {
        core::send_message message{name, {}};
        message.envelope.mutable_configuration_digest()->set_generation(
            state.control.configuration.generation);
        out.push_back(std::move(message));
    }
}

} // namespace

void call_platform(
    state& state, core::platform_call call, pending_call pending, actions& out)
{
    call.id = ++state.control.last_call;
    state.control.calls.emplace(call.id, std::move(pending));
    out.push_back(std::move(call));
}

void push_plan(
    state const& state, control::domain_plan const& plan, actions& out)
{
    for (auto const& agent : own_agents(state))
    {
        push_plan_to(plan, agent, out);
    }
}

void on_heartbeat(
    state& state,
    std::string const& peer,
    wire::Heartbeat const& beat,
    base::time_point now,
    actions& out)
{
    if (!control::note_heartbeat(
            state.control.members, peer, beat.leaving(), now))
    {
        return;
    }
    auto& view = state.control.endpoints[peer];
    if (beat.leaving() && !view.leaving)
    {
        out.push_back(
            core::write_log{kernel::event_id::peer_leaving, {{"peer", peer}}});
    }
    view.service = beat.service();
    view.failure_domain = beat.failure_domain();
    view.serving.clear();
    for (auto const& loaded : beat.loaded())
    {
        view.serving[loaded.model()] = loaded.digest();
    }
    view.limit = beat.limit();
    view.running = beat.running();
    view.leaving = beat.leaving();
    view.generation = beat.generation();
    view.chunks_held = beat.chunks_held();
    view.chunks_wanted = beat.chunks_wanted();
}

void on_configuration_digest(
    state& state,
    std::string const& peer,
    wire::ConfigurationDigest const& digest,
    actions& out)
{
    auto const member = state.control.members.members.find(peer);
    if (member == state.control.members.members.end())
    {
        return;
    }
    if (digest.generation() < state.control.configuration.generation)
    {
        push_configuration(state, peer, out);
    }
    if (member->second.vm.failure_domain != state.self.failure_domain)
    {
        return;
    }
    for (auto const& [domain, plan] : state.control.plans)
    {
        auto const known = digest.plan_versions().find(domain);
        if (known == digest.plan_versions().end() ||
            known->second < plan.version)
        {
            push_plan_to(plan, peer, out);
        }
    }
}

void on_platform_answer(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    auto const found = state.control.calls.find(answer.id);
    if (found == state.control.calls.end())
    {
        return;
    }
    auto const call = std::move(found->second);
    state.control.calls.erase(found);
    switch (call.purpose)
    {
    case call_purpose::vm_list:
        return on_vm_list(state, answer, now, out);
    case call_purpose::release_watch:
        return on_release(state, answer, now, out);
    case call_purpose::plan_list:
        return on_plan_list(state, answer, now, out);
    case call_purpose::lease_read:
        return on_lease_read(state, answer, now);
    case call_purpose::lease_write:
        return on_lease_write(state, answer, call, out);
    case call_purpose::plan_write:
        return on_plan_write(state, answer, call, out);
    case call_purpose::claim_read:
        return on_claim_read(state, answer, call, now, out);
    case call_purpose::claim_write:
        return on_claim_written(state, answer, call, now, out);
    case call_purpose::claim_close:
        return on_claim_closed(state, answer, call, now);
    }
}

void on_control_tick(state& state, base::time_point now, actions& out)
{
    call_when_due(
        state, call_purpose::vm_list, {.method = core::platform_method::vms},
        now, out);
    call_when_due(
        state, call_purpose::release_watch,
        {.method = core::platform_method::watch,
         .path = core::release_path,
         .expected = state.control.release_object_version,
         .wait = watch_length},
        now, out);
    call_when_due(
        state, call_purpose::plan_list,
        {.method = core::platform_method::list, .path = core::plans_prefix},
        now, out);
    say_hello(state, now, out);
    for (auto const& name : control::suspect_silent(state.control.members, now))
    {
        out.push_back(core::write_log{
            kernel::event_id::peer_suspected, {{"peer", name}}});
    }
}

} // namespace foxtailvale::entry_core
