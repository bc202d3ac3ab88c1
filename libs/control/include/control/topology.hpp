#ifndef FOXTAILVALE_CONTROL_TOPOLOGY_HPP
#define FOXTAILVALE_CONTROL_TOPOLOGY_HPP

#include <control/membership.hpp>
#include <control/plan.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Which processes exchange heartbeats and updates. Each process computes this
// independently, by rendezvous hashing over the list of VMs and the members
// that are alive, so no agreement protocol is needed: temporarily different
// views cost only a few extra frames. With 60 entries and 215 agents in a
// failure domain, all-to-all heartbeats would take 50 times the control budget
// of a node.
namespace foxtailvale::control
{

// Entries per failure domain that watch the platform for changes. Few are
// used because each pending watch counts as a call; a single one would not do,
// because its death would leave the domain without updates until it is
// suspected.
inline constexpr std::size_t watchers_per_domain = 2;

// Entries that exchange heartbeats every second: the watchers and the next two
// candidates, so that a successor of a watcher is ready within seconds.
inline constexpr std::size_t watcher_candidates = 4;

// Entries that receive an agent's heartbeats. With three, a heartbeat still
// arrives when one of them is dead and another is cut off from this agent.
inline constexpr std::size_t listeners_per_agent = 3;

// Fan-out of the tree over which changes are pushed. Four reaches the 60
// entries of a failure domain within three hops and limits a push to four
// documents per node.
inline constexpr std::size_t push_fan_out = 4;

// Endpoints that an entry tracks in each other failure domain, per model and
// for all plain services together. Eight are enough that choosing between two
// random ones still spreads the load, and few enough that 410 entries do not
// overload each agent.
inline constexpr std::size_t far_endpoints_per_model = 8;

// Entries of the failure domain that appear alive, in the order in which they
// become watchers. The calling entry is always included.
std::vector<std::string> entry_order(
    membership const& members,
    std::string const& failure_domain,
    std::string const& self,
    base::time_point now);

bool is_among_first(
    std::vector<std::string> const& order,
    std::string const& name,
    std::size_t count);

// Entries that receive the agent's heartbeats; the first reports the agent's
// state to the other entries.
std::vector<std::string>
listeners_of(std::vector<std::string> const& order, std::string const& agent);

// Entries that this one pushes a change to, in the tree determined by the seed.
// Different seeds give different roots, which spreads the load.
std::vector<std::string> push_children(
    std::vector<std::string> order,
    std::string const& self,
    std::uint64_t seed);

// The root of the tree determined by the seed.
std::string
push_root(std::vector<std::string> const& order, std::uint64_t seed);

// Entries of another failure domain to exchange digests with: at most `count`
// of them, those that are most likely its watchers.
std::vector<std::string> contacts_in(
    membership const& members,
    std::string const& failure_domain,
    std::size_t count);

// Agents of other failure domains that this entry may send requests to.
std::vector<std::string> remote_endpoints(
    membership const& members,
    std::map<std::string, domain_plan> const& plans,
    std::string const& own_domain,
    std::string const& self);

} // namespace foxtailvale::control

#endif
