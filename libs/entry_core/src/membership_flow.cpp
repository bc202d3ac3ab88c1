#include "flows.hpp"

#include <base/digest.hpp>
#include <control/topology.hpp>

#include <algorithm>

namespace foxtailvale::entry_core
{

namespace
{

using std::chrono::milliseconds;

// Interval of the check for unresponsive members.
constexpr milliseconds check_interval{250};

// Entries of each other failure domain that a watcher exchanges digests with.
constexpr std::size_t contacts_per_domain = 3;

void to_wire(control::listed_vm const& vm, wire::ListedVm& into)
{
    into.set_name(vm.name);
    into.set_entry(vm.role == control::vm_role::entry);
    into.set_failure_domain(vm.failure_domain);
    into.set_region(vm.region);
    into.set_address(vm.address);
    into.set_memory_mib(vm.memory_mib);
    into.set_leaving(vm.leaving);
}

control::listed_vm from_wire(wire::ListedVm const& from)
{
    control::listed_vm vm;
    vm.name = from.name();
    vm.role = from.entry() ? control::vm_role::entry : control::vm_role::agent;
    vm.failure_domain = from.failure_domain();
    vm.region = from.region();
    vm.address = from.address();
    vm.memory_mib = from.memory_mib();
    vm.leaving = from.leaving();
    return vm;
}

void send_change(
    control::list_change const& change, std::string const& peer, actions& out)
{
    core::send_message message{peer, {}};
    auto* const push = message.envelope.mutable_vm_list_push();
    push->set_version(change.version);
    push->set_base_version(change.base_version);
    for (auto const& vm : change.vms)
    {
        to_wire(vm, *push->add_vms());
    }
    for (auto const& name : change.removed)
    {
        push->add_removed(name);
    }
    out.push_back(std::move(message));
}

void forward_change(
    state const& state, control::list_change const& change, actions& out)
{
    auto const& order = state.control.gossip.order;
    auto const& self = state.self.name;
    if (order.empty())
    {
        return;
    }
    auto const root = control::push_root(order, change.version);
    if (root != self && is_watcher(state))
    {
        send_change(change, root, out);
    }
    for (auto const& peer : control::push_children(order, self, change.version))
    {
        send_change(change, peer, out);
    }
}

bool is_in_own_domain(state const& state, control::member const& known)
{
    return known.vm.failure_domain == state.self.failure_domain;
}

// Determines which agents send their heartbeats to this entry, and which of
// them it reports, after entries were lost or added. The silence of an agent
// for which this changes is measured anew, with the default limit.
void assign_listeners(state& state, base::time_point now)
{
    auto& gossip = state.control.gossip;
    gossip.agents_by_hash.clear();
    std::set<std::string> heartbeat_agents;
    gossip.reported_agents.clear();
    for (auto& [name, known] : state.control.members.members)
    {
        if (known.vm.role != control::vm_role::agent ||
            !is_in_own_domain(state, known))
        {
            continue;
        }
        gossip.agents_by_hash[base::stable_hash(name)] = name;
        auto const listeners = control::listeners_of(gossip.order, name);
        if (listeners.front() == state.self.name)
        {
            gossip.reported_agents.insert(name);
        }
        auto const is_listener =
            std::ranges::find(listeners, state.self.name) != listeners.end();
        if (is_listener)
        {
            heartbeat_agents.insert(name);
        }
        if (is_listener != known.heard_directly ||
            (is_listener && !gossip.heartbeat_agents.contains(name)))
        {
            known.heard_directly = is_listener;
            known.heard = now;
            known.patience = control::silence_limit;
        }
    }
    gossip.heartbeat_agents = std::move(heartbeat_agents);
    std::erase_if(
        gossip.sent_reports,
        [&gossip](auto const& item)
        {
            return !gossip.reported_agents.contains(item.first);
        });
}

void choose_remote_agents(state& state)
{
    auto& gossip = state.control.gossip;
    auto const chosen = control::remote_endpoints(
        state.control.members, state.control.plans, state.self.failure_domain,
        state.self.name);
    gossip.remote_agents = {chosen.begin(), chosen.end()};
}

// All processes that this entry needs a connection to.
std::set<std::string> wanted_connections(state const& state)
{
    auto wanted = state.control.gossip.remote_agents;
    std::set<std::string> domains;
    for (auto const& [name, known] : state.control.members.members)
    {
        domains.insert(known.vm.failure_domain);
        if (is_in_own_domain(state, known) && name != state.self.name)
        {
            wanted.insert(name);
        }
    }
    domains.erase(state.self.failure_domain);
    if (is_watcher(state))
    {
        for (auto const& domain : domains)
        {
            auto const contacts = control::contacts_in(
                state.control.members, domain, contacts_per_domain);
            wanted.insert(contacts.begin(), contacts.end());
        }
    }
    return wanted;
}

void forget_peer(
    state& state, std::string const& name, base::time_point now, actions& out)
{
    out.push_back(core::disconnect_peer{name});
    state.control.addresses.erase(name);
    state.control.gossip.entry_incarnations.erase(name);
    state.requests.peer_contacts.erase(name);
    if (state.control.endpoints.erase(name) > 0)
    {
        on_endpoint_lost(state, name, now, out);
    }
}

void connect_members(state& state, base::time_point now, actions& out)
{
    auto& control = state.control;
    auto const wanted = wanted_connections(state);
    for (auto const& name : wanted)
    {
        auto const& address = control.members.members.at(name).vm.address;
        auto& known = control.addresses[name];
        if (known != address)
        {
            known = address;
            control.connected.insert(name);
            out.push_back(core::connect_peer{name, address});
        }
    }
    std::erase_if(
        control.connected,
        [&](std::string const& name)
        {
            if (wanted.contains(name))
            {
                return false;
            }
            forget_peer(state, name, now, out);
            return true;
        });
}

void update_topology(state& state, base::time_point now, actions& out)
{
    auto& gossip = state.control.gossip;
    auto order = control::entry_order(
        state.control.members, state.self.failure_domain, state.self.name, now);
    if (order == gossip.order && !gossip.topology_stale)
    {
        return;
    }
    gossip.order = std::move(order);
    gossip.topology_stale = false;
    assign_listeners(state, now);
    choose_remote_agents(state);
    connect_members(state, now, out);
}

void on_list_change(
    state& state,
    control::list_change const& change,
    base::time_point now,
    actions& out)
{
    if (!control::apply_change(state.control.members, change, now))
    {
        return;
    }
    auto& gossip = state.control.gossip;
    gossip.topology_stale = true;
    gossip.peers_known_since = gossip.peers_known_since.value_or(now);
    update_topology(state, now, out);
    forward_change(state, change, out);
}

} // namespace

bool is_watcher(state const& state)
{
    return control::is_among_first(
        state.control.gossip.order, state.self.name,
        control::watchers_per_domain);
}

void on_vm_list(
    state& state,
    core::platform_answer const& answer,
    base::time_point now,
    actions& out)
{
    auto const known = state.control.members.list_version;
    if (!answer.ok || answer.version <= known)
    {
        return;
    }
    auto const list = control::parse_vm_list(answer.value);
    if (!list)
    {
        out.push_back(core::report_error{list.error(), {}});
        return;
    }
    on_list_change(
        state,
        control::diff_list(state.control.members, list.value(), answer.version),
        now, out);
}

void on_vm_list_push(
    state& state,
    wire::VmListPush const& push,
    base::time_point now,
    actions& out)
{
    control::list_change change;
    change.version = push.version();
    change.base_version = push.base_version();
    for (auto const& vm : push.vms())
    {
        change.vms.push_back(from_wire(vm));
    }
    change.removed.assign(push.removed().begin(), push.removed().end());
    on_list_change(state, change, now, out);
}

void push_complete_list(
    state const& state, std::string const& peer, actions& out)
{
    send_change(control::full_list(state.control.members), peer, out);
}

void on_leaving(
    state& state, std::string const& peer, base::time_point now, actions& out)
{
    control::note_report(
        state.control.members, peer, control::liveness::leaving, now);
    out.push_back(
        core::write_log{kernel::event_id::peer_leaving, {{"peer", peer}}});
    update_topology(state, now, out);
}

void announce_leaving(state const& state, actions& out)
{
    for (auto const& peer : state.control.gossip.order)
    {
        if (peer != state.self.name)
        {
            core::send_message message{peer, {}};
            message.envelope.mutable_leaving()->set_failure_domain(
                state.self.failure_domain);
            out.push_back(std::move(message));
        }
    }
}

void check_members(state& state, base::time_point now, actions& out)
{
    auto& gossip = state.control.gossip;
    if (now - gossip.last_check < check_interval)
    {
        return;
    }
    gossip.last_check = now;
    for (auto const& name :
         control::suspect_unresponsive(state.control.members, now))
    {
        out.push_back(core::write_log{
            kernel::event_id::peer_suspected, {{"peer", name}}});
    }
    update_topology(state, now, out);
}

} // namespace foxtailvale::entry_core
