#include <base/digest.hpp>
#include <control/topology.hpp>

#include <algorithm>
#include <set>

namespace foxtailvale::control
{

namespace
{

void sort_by_hash(std::vector<std::string>& names, std::uint64_t seed)
{
    std::ranges::sort(
        names, {},
        [seed](std::string const& name)
        {
            return base::stable_hash(name, seed);
        });
}

void keep_first(std::vector<std::string>& names, std::size_t count)
{
    if (names.size() > count)
    {
        names.resize(count);
    }
}

// A newly listed entry counts as alive until its first heartbeat would be
// overdue.
bool looks_alive(member const& entry, base::time_point now)
{
    return entry.state == liveness::alive ||
           (entry.state == liveness::unheard &&
            now - entry.heard <= entry.patience);
}

// Agents of a failure domain, grouped by model for those in the domain's plan,
// and with all plain services in one group.
std::map<std::string, std::vector<std::string>> group_agents(
    membership const& members,
    domain_plan const& plan,
    std::string const& failure_domain)
{
    std::map<std::string, std::vector<std::string>> groups;
    std::set<std::string> planned;
    for (auto const& endpoint : plan.endpoints)
    {
        for (auto const& model : endpoint.models)
        {
            if (members.members.contains(endpoint.agent))
            {
                groups[model.model].push_back(endpoint.agent);
            }
        }
        planned.insert(endpoint.agent);
    }
    for (auto const& [name, known] : members.members)
    {
        auto const is_service = known.vm.role == vm_role::agent &&
                                known.vm.failure_domain == failure_domain &&
                                known.vm.memory_mib == 0;
        if (is_service && !planned.contains(name))
        {
            groups[""].push_back(name);
        }
    }
    return groups;
}

std::set<std::string>
other_domains(membership const& members, std::string const& own_domain)
{
    std::set<std::string> domains;
    for (auto const& [name, known] : members.members)
    {
        domains.insert(known.vm.failure_domain);
    }
    domains.erase(own_domain);
    return domains;
}

} // namespace

std::vector<std::string> entry_order(
    membership const& members,
    std::string const& failure_domain,
    std::string const& self,
    base::time_point now)
{
    std::vector<std::string> order{self};
    for (auto const& [name, known] : members.members)
    {
        auto const is_peer = known.vm.role == vm_role::entry &&
                             known.vm.failure_domain == failure_domain &&
                             name != self;
        if (is_peer && looks_alive(known, now))
        {
            order.push_back(name);
        }
    }
    sort_by_hash(order, base::stable_hash(failure_domain));
    return order;
}

bool is_among_first(
    std::vector<std::string> const& order,
    std::string const& name,
    std::size_t count)
{
    auto const found = std::ranges::find(order, name);
    return found != order.end() &&
           static_cast<std::size_t>(found - order.begin()) < count;
}

std::vector<std::string>
listeners_of(std::vector<std::string> const& order, std::string const& agent)
{
    auto listeners = order;
    sort_by_hash(listeners, base::stable_hash(agent));
    keep_first(listeners, listeners_per_agent);
    return listeners;
}

std::vector<std::string> push_children(
    std::vector<std::string> order, std::string const& self, std::uint64_t seed)
{
    sort_by_hash(order, seed);
    auto const found = std::ranges::find(order, self);
    auto const index = static_cast<std::size_t>(found - order.begin());
    std::vector<std::string> children;
    auto const first = index * push_fan_out + 1;
    for (auto child = first;
         child < first + push_fan_out && child < order.size(); ++child)
    {
        children.push_back(order[child]);
    }
    return children;
}

std::string push_root(std::vector<std::string> const& order, std::uint64_t seed)
{
    return *std::ranges::min_element(
        order, {},
        [seed](std::string const& name)
        {
            return base::stable_hash(name, seed);
        });
}

std::vector<std::string> contacts_in(
    membership const& members,
    std::string const& failure_domain,
    std::size_t count)
{
    std::vector<std::string> entries;
    for (auto const& [name, known] : members.members)
    {
        if (known.vm.role == vm_role::entry && !known.vm.leaving &&
            known.vm.failure_domain == failure_domain)
        {
            entries.push_back(name);
        }
    }
    sort_by_hash(entries, base::stable_hash(failure_domain));
    keep_first(entries, count);
    return entries;
}

std::vector<std::string> remote_endpoints(
    membership const& members,
    std::map<std::string, domain_plan> const& plans,
    std::string const& own_domain,
    std::string const& self)
{
    std::set<std::string> chosen;
    for (auto const& domain : other_domains(members, own_domain))
    {
        auto const plan = plans.find(domain);
        auto groups = group_agents(
            members, plan == plans.end() ? domain_plan{} : plan->second,
            domain);
        for (auto& [model, agents] : groups)
        {
            sort_by_hash(agents, base::stable_hash(self));
            keep_first(agents, far_endpoints_per_model);
            chosen.insert(agents.begin(), agents.end());
        }
    }
    return {chosen.begin(), chosen.end()};
}

} // namespace foxtailvale::control
