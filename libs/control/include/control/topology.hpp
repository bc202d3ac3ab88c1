#ifndef FOXTAILVALE_CONTROL_TOPOLOGY_HPP
#define FOXTAILVALE_CONTROL_TOPOLOGY_HPP

#include <control/membership.hpp>
#include <control/plan.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Who talks to whom. Every process computes this alike from the list of VMs
// and from who is alive, by rendezvous hash, so that nothing has to be agreed:
// views that differ for a moment cost a few frames more and nothing else.
// Made for 60 entries and 215 agents a failure domain, where all-to-all
// heartbeats would take 50 times the control budget of a node.
namespace foxtailvale::control
{

// Entries of a failure domain that wait at the platform for changes. Each
// waiting watch counts as a call; with one, its death would leave the domain
// without news until it is suspected.
inline constexpr std::size_t watchers_per_domain = 2;

// Entries that hear each other every second, so that a watcher's successor is
// ready in seconds: the watchers and the next two.
inline constexpr std::size_t watcher_candidates = 4;

// Entries that an agent sends its heartbeats to. One may die and one may be
// cut off from the agent alone, and its heartbeat still arrives.
inline constexpr std::size_t listeners_per_agent = 3;

// Peers that one process pushes a change to. Four keep a domain of 60 entries
// within three hops, and a push within four documents a node.
inline constexpr std::size_t push_fan_out = 4;

// Endpoints that an entry knows of each model, and of all services, in each
// other failure domain: enough that two random choices among them still
// spread, few enough that 410 entries do not load each agent.
inline constexpr std::size_t far_endpoints_per_model = 8;

// Entries of the failure domain that look alive, in the order in which they
// become watchers. The entry itself is always one of them.
std::vector<std::string> entry_order(
    membership const& members,
    std::string const& failure_domain,
    std::string const& self,
    base::time_point now);

bool is_among_first(
    std::vector<std::string> const& order,
    std::string const& name,
    std::size_t count);

// Entries that the agent sends its heartbeats to; the first one reports it to
// the others.
std::vector<std::string>
listeners_of(std::vector<std::string> const& order, std::string const& agent);

// Whom to push a change to in the tree that its seed gives; another seed puts
// others at the root, so that the load moves round.
std::vector<std::string> push_children(
    std::vector<std::string> order,
    std::string const& self,
    std::uint64_t seed);

// The root of that tree.
std::string
push_root(std::vector<std::string> const& order, std::uint64_t seed);

// Entries of another failure domain to exchange digests with: its likely
// watchers, at most the count.
std::vector<std::string> contacts_in(
    membership const& members,
    std::string const& failure_domain,
    std::size_t count);

// Agents of other failure domains that this entry may send work to.
std::vector<std::string> remote_endpoints(
    membership const& members,
    std::map<std::string, domain_plan> const& plans,
    std::string const& own_domain,
    std::string const& self);

} // namespace foxtailvale::control

#endif
