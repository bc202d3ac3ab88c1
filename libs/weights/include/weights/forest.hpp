#ifndef FOXTAILVALE_WEIGHTS_FOREST_HPP
#define FOXTAILVALE_WEIGHTS_FOREST_HPP

#include <control/plan.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace foxtailvale::weights
{

// Plans by failure domain, as far as they are known to an agent.
using plan_set = std::map<std::string, control::domain_plan>;

// A source that a chunk may be requested from.
struct chunk_source
{
    // Name and peer address of an agent; both are empty for the origin.
    std::string agent;
    std::string address;

    bool operator==(chunk_source const&) const = default;
};

// An agent's position in the distribution tree of a chunk, and the agents it
// may request the chunk from. Each chunk has a tree of its own. All agents
// compute the same trees from the same plans:
//
// - Within a failure domain, the agents that need the version are sorted by
//   name and rotated by a stride per chunk. The first agent is the chunk's
//   importer; the others form a binary tree below it. Rotation, unlike hashing,
//   gives each agent the inner positions equally often, so that uploads even
//   out at one copy per agent.
// - The failure domains of a region are ordered too: the importer of the first
//   domain fetches the chunk from the origin, and the importers of the other
//   domains get it from that importer.
//
// An agent requests chunks only from agents that precede it, in its own domain
// or in a preceding domain, so agents that wait for each other never form a
// cycle.
struct chunk_sources
{
    // Position in the domain's order for this chunk; the agent at position zero
    // is the importer.
    std::size_t place = 0;
    // Agents of the domain that are below this one in the chunk's tree.
    std::size_t behind = 0;
    // The parent, its parent and so on up to the importer.
    std::vector<chunk_source> ancestors;
    // Other agents that precede this one, in order.
    std::vector<chunk_source> standbys;
    // Importers, and the agents next in line to replace them, of the region's
    // domains that precede the agent's own domain.
    std::vector<chunk_source> outside;
    // A domain that precedes the agent's own is expected to need the version,
    // but its plan is not known yet.
    bool incomplete = false;
};

// The agent's possible sources of a chunk; nothing when the plans do not assign
// the version to the agent. `expected` holds the domains of the agent's region
// that need the version according to the release: they keep their positions in
// the order even while their plans, which arrive through entries of other
// domains, are still unknown. If `root` is given, that agent comes first in its
// domain and its domain before all others: it is the agent that fetches the
// chunk from the origin.
std::optional<chunk_sources> sources_of(
    plan_set const& plans,
    std::string const& failure_domain,
    std::string const& agent,
    std::string const& digest,
    std::uint32_t chunk,
    std::set<std::string> const& expected = {},
    std::string const& root = {});

// What an agent knows about the possible sources of one chunk.
struct source_view
{
    // Whether the agent responds in time, as far as known, and has not declined
    // this chunk.
    std::function<bool(std::string const& agent)> is_usable;
    // Agents that reported that they hold the chunk.
    std::vector<chunk_source> known_holders;
};

// The first usable source, in this order: the parent and its ancestors, a known
// holder, other agents that precede this one, importers of other domains, the
// origin. The origin (an empty source) is chosen only when no preceding agent
// can be used. Since the order is the same for all agents, the fleet does not
// fall back to the origin all at once.
chunk_source
choose_source(chunk_sources const& sources, source_view const& view);

// The two agents that follow this one, by name, among those of its domain that
// need the version. The agent requests the manifest and chunk summaries from
// them.
std::vector<chunk_source> neighbours_of(
    plan_set const& plans,
    std::string const& failure_domain,
    std::string const& agent,
    std::string const& digest);

} // namespace foxtailvale::weights

#endif
