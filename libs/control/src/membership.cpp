#include <control/membership.hpp>
#include <release/object_reader.hpp>

#include <set>

namespace foxtailvale::control
{

namespace
{

listed_vm read_vm(release::object_reader reader)
{
    listed_vm vm;
    vm.name = reader.text("name");
    auto const role = reader.text("role");
    if (role != "entry" && role != "agent")
    {
        reader.add_fault("role", "must be \"entry\" or \"agent\"");
    }
    vm.role = role == "entry" ? vm_role::entry : vm_role::agent;
    vm.failure_domain = reader.text("failure_domain");
    vm.region = reader.text("region");
    vm.address = reader.text("address");
    vm.memory_mib = static_cast<std::uint32_t>(
        reader.number_or("memory_mib", 0, 0, 16U * 1024U * 1024U));
    vm.leaving = reader.flag_or("leaving", false);
    return vm;
}

void apply_vm(membership& state, listed_vm const& vm, base::time_point now)
{
    auto const [place, added] = state.members.try_emplace(vm.name);
    auto& known = place->second;
    // Failure: a VM is replaced and its name is given to another VM. Heartbeats
    // or a leave notice of the old VM say nothing about the new one; the
    // address tells the two apart.
    if (added || known.vm.address != vm.address)
    {
        known = {};
        known.heard = now;
        known.absent_since = now;
    }
    known.vm = vm;
    if (vm.leaving)
    {
        known.state = liveness::leaving;
    }
}

} // namespace

base::result<std::vector<listed_vm>> parse_vm_list(std::string const& text)
{
    auto const source = release::parse_document("VM list", text);
    auto faults = source.faults;
    release::object_reader reader(source, "", faults);
    std::vector<listed_vm> list;
    for (std::size_t index = 0; index < reader.size("vms"); ++index)
    {
        list.push_back(read_vm(reader.element("vms", index)));
    }
    if (!faults.empty())
    {
        return base::fail(
            base::error_kind::bad_frame, describe(source, faults));
    }
    return list;
}

list_change diff_list(
    membership const& state,
    std::vector<listed_vm> const& list,
    std::uint64_t version)
{
    list_change change;
    change.version = version;
    change.base_version = state.list_version;
    std::set<std::string> names;
    for (auto const& vm : list)
    {
        names.insert(vm.name);
        auto const known = state.members.find(vm.name);
        if (known == state.members.end() || known->second.vm != vm)
        {
            change.vms.push_back(vm);
        }
    }
    for (auto const& [name, known] : state.members)
    {
        if (!names.contains(name))
        {
            change.removed.push_back(name);
        }
    }
    return change;
}

list_change full_list(membership const& state)
{
    list_change change;
    change.version = state.list_version;
    for (auto const& [name, known] : state.members)
    {
        change.vms.push_back(known.vm);
    }
    return change;
}

bool apply_change(
    membership& state, list_change const& change, base::time_point now)
{
    auto const fits =
        change.base_version == 0 || change.base_version == state.list_version;
    if (change.version <= state.list_version || !fits)
    {
        return false;
    }
    state.list_version = change.version;
    std::set<std::string> names;
    for (auto const& vm : change.vms)
    {
        names.insert(vm.name);
        apply_vm(state, vm, now);
    }
    for (auto const& name : change.removed)
    {
        state.members.erase(name);
    }
    if (change.base_version == 0)
    {
        std::erase_if(
            state.members,
            [&names](auto const& entry)
            {
                return !names.contains(entry.first);
            });
    }
    return true;
}

bool note_heartbeat(
    membership& state,
    std::string const& name,
    bool leaving,
    base::time_point now)
{
    auto const found = state.members.find(name);
    if (found == state.members.end())
    {
        return false;
    }
    found->second.heard = now;
    found->second.state = leaving || found->second.vm.leaving
                              ? liveness::leaving
                              : liveness::alive;
    return true;
}

void note_report(
    membership& state,
    std::string const& name,
    liveness reported,
    base::time_point now)
{
    auto const found = state.members.find(name);
    if (found == state.members.end())
    {
        return;
    }
    auto& known = found->second;
    if (reported == liveness::suspected && known.state != reported)
    {
        known.absent_since = now;
    }
    known.state = known.vm.leaving ? liveness::leaving : reported;
}

bool may_hold_replicas(
    member const& known, bool held_before, base::time_point now)
{
    switch (known.state)
    {
    case liveness::alive:
        return true;
    case liveness::leaving:
        return false;
    case liveness::unheard:
    case liveness::suspected:
        break;
    }
    return held_before && now - known.absent_since < replica_move_delay;
}

std::vector<std::string>
suspect_unresponsive(membership& state, base::time_point now)
{
    std::vector<std::string> suspects;
    for (auto& [name, known] : state.members)
    {
        auto const is_overdue =
            known.heard_directly && now - known.heard > known.patience;
        if (known.state == liveness::alive && is_overdue)
        {
            known.state = liveness::suspected;
            known.absent_since = now;
            suspects.push_back(name);
        }
    }
    return suspects;
}

} // namespace foxtailvale::control
