#include "flows.hpp"

#include <control/topology.hpp>
#include <release/object_reader.hpp>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds watch_timeout{10'000};
// Interval at which a watcher reads the list of VMs. The list itself lags;
// shorter intervals would cost calls and show changes no sooner.
constexpr milliseconds list_interval{2000};
// Interval at which all plans are read again. Peers push plans. Reading
// recovers pushes that were lost while failure domains were cut off from each
// other, and transfers the bytes of all plans.
constexpr milliseconds plan_interval{60'000};
// Time for which a starting entry waits for its peers to send what is in force
// before it trusts the platform. Peers greet it within a second.
constexpr milliseconds peer_answer_timeout{2000};

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

bool is_due(state const& state, call_purpose purpose, base::time_point now)
{
    auto const next = state.control.next_call.find(purpose);
    return next == state.control.next_call.end() || now >= next->second;
}

void call_when_due(
    state& state,
    call_purpose purpose,
    core::platform_call call,
    base::time_point now,
    actions& out)
{
    if (may_call(state, purpose, now))
    {
        call_platform(state, std::move(call), {purpose, now, 0, {}}, out);
    }
}

// Failure: the platform answers a process that has just started from an old
// copy. If the entry trusted it, it would route by a configuration that its
// peers have replaced, and an accepted change would appear to revert. So the
// peers are heard first. The remaining risk is that no peer answers within the
// whole time-out.
bool trusts_platform(state const& state, base::time_point now)
{
    auto const& control = state.control;
    auto const since = control.gossip.peers_known_since;
    return control.configuration.generation > 0 ||
           (since && now - *since > peer_answer_timeout);
}

void on_release(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    if (!answer.ok)
    {
        return;
    }
    auto parsed = release::parse_configuration(answer.value);
    if (!parsed)
    {
        out.push_back(core::report_error{parsed.error(), {}});
        state.control.next_call[call_purpose::release_watch] =
            now + control::longest_pause;
        return;
    }
    auto& known = state.control.release_object_version;
    known = std::max(known, answer.version);
    adopt(state, std::move(parsed.value()), now, out);
}

void note_plan(state& state, release::object_reader plan_object, actions& out)
{
    auto const version = plan_object.number("version", 0, 1ULL << 62U);
    auto parsed = control::parse_plan(plan_object.text("value"));
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
    adopt_plan(state, std::move(plan), out);
}

void on_plan_list(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    if (!answer.ok)
    {
        return;
    }
    state.control.next_call[call_purpose::plan_list] = now + plan_interval;
    auto const source = release::parse_document("plans", answer.value);
    auto faults = source.faults;
    release::object_reader reader(source, "", faults);
    for (std::size_t index = 0; index < reader.size("objects"); ++index)
    {
        note_plan(state, reader.element("objects", index), out);
    }
    state.control.plans_read = true;
}

// "Not found" and a version conflict are answers too.
bool was_answered(core::platform_answer const& answer)
{
    return answer.ok || answer.error == base::error_kind::not_found ||
           answer.error == base::error_kind::platform_conflict;
}

void apply_backoff(
    state& state,
    call_purpose purpose,
    core::platform_answer const& answer,
    base::time_point now)
{
    auto& control = state.control;
    auto const pause =
        control::note_call(control.budget, was_answered(answer), state.random);
    if (pause > milliseconds(0))
    {
        control.next_call[purpose] = now + pause;
    }
}

void watch_platform(state& state, base::time_point now, actions& out)
{
    if (trusts_platform(state, now))
    {
        call_when_due(
            state, call_purpose::release_watch,
            {.method = core::platform_method::watch,
             .path = core::release_path,
             .expected = state.control.release_object_version,
             .wait = watch_timeout},
            now, out);
    }
    // Plans are read again when the outcome of a write is unknown, and
    // periodically in case a network cut kept a peer's push away.
    auto& next = state.control.next_call;
    if (!state.control.plans_read && next.contains(call_purpose::plan_list) &&
        next[call_purpose::plan_list] > now + control::longest_pause)
    {
        next[call_purpose::plan_list] = now;
    }
    call_when_due(
        state, call_purpose::plan_list,
        {.method = core::platform_method::list, .path = core::plans_prefix},
        now, out);
}

void read_vm_list(state& state, base::time_point now, actions& out)
{
    call_when_due(
        state, call_purpose::vm_list,
        {.method = core::platform_method::vms,
         .expected = state.control.members.list_version},
        now, out);
}

} // namespace

bool may_call(state& state, call_purpose purpose, base::time_point now)
{
    return is_due(state, purpose, now) && !is_pending(state, purpose) &&
           control::take_call(state.control.budget, now);
}

void call_platform(
    state& state, core::platform_call call, pending_call pending, actions& out)
{
    call.id = ++state.control.last_call;
    state.control.calls.emplace(call.id, std::move(pending));
    out.push_back(std::move(call));
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
        state.control.next_call[call.purpose] = now + list_interval;
        apply_backoff(state, call.purpose, answer, now);
        return on_vm_list(state, answer, now, out);
    case call_purpose::release_watch:
        apply_backoff(state, call.purpose, answer, now);
        return on_release(state, answer, now, out);
    case call_purpose::plan_list:
        apply_backoff(state, call.purpose, answer, now);
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
    auto& gossip = state.control.gossip;
    if (!gossip.started)
    {
        gossip.started = now;
        auto const long_ago = now - std::chrono::hours(1);
        gossip.last_check = long_ago;
        gossip.last_round = long_ago;
        gossip.last_report = long_ago;
        gossip.last_load_report = long_ago;
        gossip.last_complete_digest = long_ago;
    }
    check_members(state, now, out);
    // Without a list an entry knows no peers, so it reads the list itself.
    auto const is_listed = state.control.members.list_version > 0;
    if (!is_listed || is_watcher(state))
    {
        read_vm_list(state, now, out);
    }
    if (is_listed && is_watcher(state))
    {
        watch_platform(state, now, out);
    }
    send_greetings(state, now, out);
    report_endpoints(state, now, out);
}

} // namespace foxtailvale::entry_core
