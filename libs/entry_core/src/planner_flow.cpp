#include "flows.hpp"

#include <control/planner.hpp>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds lease_read_interval{1000};
constexpr milliseconds plan_write_interval{200};

void read_lease(state& state, base::time_point now, actions& out)
{
    core::platform_call call;
    call.method = core::platform_method::get;
    call.path = core::lease_path(state.self.failure_domain);
    state.control.next_call[call_purpose::lease_read] =
        now + lease_read_interval;
    call_platform(state, call, {call_purpose::lease_read, now, 0, {}}, out);
}

void write_lease(state& state, base::time_point now, actions& out)
{
    auto& control = state.control;
    core::platform_call call;
    call.method = core::platform_method::put;
    call.path = core::lease_path(state.self.failure_domain);
    call.expected = control.lease.version;
    call.value = control::to_text(
        control::lease_record{state.self.name, ++control.lease_turn});
    control.next_call[call_purpose::lease_write] = now + control::lease_renewal;
    call_platform(
        state, call,
        {call_purpose::lease_write, now, control.lease.version, {}}, out);
}

// Engine endpoints of this failure domain that a plan may use.
std::vector<control::plan_member> plan_members(
    state const& state,
    control::domain_plan const& previous,
    base::time_point now)
{
    std::set<std::string> held_before;
    for (auto const& endpoint : previous.endpoints)
    {
        held_before.insert(endpoint.agent);
    }
    std::vector<control::plan_member> members;
    for (auto const& [name, member] : state.control.members.members)
    {
        auto const& vm = member.vm;
        auto const is_engine = vm.role == control::vm_role::agent &&
                               vm.memory_mib > 0 &&
                               vm.failure_domain == state.self.failure_domain;
        if (is_engine &&
            control::may_hold_replicas(member, held_before.contains(name), now))
        {
            members.push_back({name, vm.address, vm.memory_mib});
        }
    }
    return members;
}

void plan_now(state& state, base::time_point now, actions& out)
{
    auto& control = state.control;
    auto const& domain = state.self.failure_domain;
    auto const& previous = control.plans[domain];
    auto next = control::make_plan(
        control.configuration, domain, plan_members(state, previous, now),
        previous);
    if (control::same_assignments(next, previous) ||
        !may_call(state, call_purpose::plan_write, now))
    {
        return;
    }
    ++next.version;
    core::platform_call call;
    call.method = core::platform_method::put;
    call.path = core::plan_path(domain);
    call.expected = control.plan_object_version;
    call.value = to_text(next);
    control.next_call[call_purpose::plan_write] = now + plan_write_interval;
    call_platform(
        state, call,
        {call_purpose::plan_write, now, control.plan_object_version,
         std::move(next)},
        out);
}

} // namespace

void on_lease_read(
    state& state, core::platform_answer const& answer, base::time_point now)
{
    if (answer.ok)
    {
        control::lease_seen(state.control.lease, answer.version, now);
    }
    else if (answer.error == base::error_kind::not_found)
    {
        control::lease_seen(state.control.lease, 0, now);
    }
}

void on_lease_write(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    actions& out)
{
    auto& lease = state.control.lease;
    if (answer.ok)
    {
        auto const is_new = !lease.held_until;
        control::lease_taken(lease, answer.version, call.sent_at);
        if (is_new)
        {
            out.push_back(core::write_log{kernel::event_id::lease_taken, {}});
        }
        return;
    }
    if (answer.error == base::error_kind::platform_conflict)
    {
        if (lease.held_until)
        {
            out.push_back(core::write_log{kernel::event_id::lease_lost, {}});
        }
        control::lease_refused(lease);
    }
}

void on_plan_write(
    state& state,
    core::platform_answer const& answer,
    pending_call const& call,
    actions& out)
{
    if (!answer.ok)
    {
        // The next read of all plans shows whether the write took effect.
        state.control.plans_read = false;
        return;
    }
    state.control.plan_object_version = answer.version;
    adopt_plan(state, *call.plan, out);
    out.push_back(core::write_log{
        kernel::event_id::plan_written, {{"version", call.plan->version}}});
}

void on_planner_tick(state& state, base::time_point now, actions& out)
{
    auto& control = state.control;
    // Only watchers compete for the lease. Reads by other entries would serve
    // no purpose, and the number of calls would grow with the number of
    // entries.
    if (control.stopping || control.members.list_version == 0 ||
        !is_watcher(state))
    {
        return;
    }
    control.lease.self = state.self.name;
    if (!control::holds_lease(control.lease, now) &&
        may_call(state, call_purpose::lease_read, now))
    {
        read_lease(state, now, out);
    }
    if (control::may_take_lease(control.lease, now) &&
        may_call(state, call_purpose::lease_write, now))
    {
        write_lease(state, now, out);
    }
    if (control::holds_lease(control.lease, now) && control.plans_read &&
        control.configuration.generation > 0)
    {
        plan_now(state, now, out);
    }
}

} // namespace foxtailvale::entry_core
