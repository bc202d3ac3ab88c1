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

// Plans by failure domain, as far as an agent knows them.
using plan_set = std::map<std::string, control::domain_plan>;

// One source that a chunk may be asked from.
struct chunk_source
{
    // Name and peer address of an agent; both empty for the origin.
    std::string agent;
    std::string address;

    bool operator==(chunk_source const&) const = default;
};

// An agent's place in a chunk's tree and whom it may ask. All agents compute
// the same from the same plans:
//
// - Within a failure domain the agents that want the version stand in order
//   of name, rotated by a stride per chunk. The first of them imports the
//   chunk; the others form a binary tree below it. Rotating rather than
//   hashing gives each agent the inner places equally often, so the load of
//   uploading evens out at one copy each.
// - The region's domains stand in order too: the importer of the first draws
//   the chunk from the origin, the importers of the others from it.
//
// An agent asks only agents that stand before it, in its domain or in a domain
// before its own, so agents that wait for each other never form a circle.
struct chunk_sources
{
    // Place in the domain's order of this chunk; zero imports it.
    std::size_t place = 0;
    // Agents of the domain that wait behind this one in the chunk's tree.
    std::size_t behind = 0;
    // The parent, its parent and so on up to the importer.
    std::vector<chunk_source> ancestors;
    // Others that stand before the agent, in order.
    std::vector<chunk_source> standbys;
    // Importers, and those who would take their place, of the region's domains
    // that stand before the own one.
    std::vector<chunk_source> outside;
    // A domain that stands before the own one is expected to want the version,
    // but its plan is not known yet.
    bool incomplete = false;
};

// Nothing when the plans do not give the version to the agent. The expected
// domains are those of the agent's region that want the version according to
// the release: they keep their places in the order while their plans, which
// come by way of other domains' entries, are still on their way. A root that is
// given stands first in its domain and its domain before all others: it is the
// agent that draws the chunk from the origin.
std::optional<chunk_sources> sources_of(
    plan_set const& plans,
    std::string const& failure_domain,
    std::string const& agent,
    std::string const& digest,
    std::uint32_t chunk,
    std::set<std::string> const& expected = {},
    std::string const& root = {});

// What an agent knows of a source with regard to one chunk.
struct source_view
{
    // Answers in time as far as is known, and did not decline this chunk.
    std::function<bool(std::string const& agent)> is_usable;
    // Agents of the own domain that said that they hold the chunk.
    std::vector<chunk_source> known_holders;
};

// The best source by this order: parent and ancestors, a known holder, others
// that stand before the agent, importers outside its domain, the origin. The
// origin (an empty source) comes up only when nobody that stands before the
// agent can be used: that order, the same for all, is what keeps the whole
// fleet from turning to the origin at once.
chunk_source
choose_source(chunk_sources const& sources, source_view const& view);

// Two other agents of the domain that want the version, next in order of
// name: whom to ask for the manifest and for what they hold.
std::vector<chunk_source> neighbours_of(
    plan_set const& plans,
    std::string const& failure_domain,
    std::string const& agent,
    std::string const& digest);

} // namespace foxtailvale::weights

#endif
