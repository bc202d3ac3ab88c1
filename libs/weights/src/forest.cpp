#include <weights/forest.hpp>

#include <algorithm>
#include <numeric>

namespace foxtailvale::weights
{

namespace
{

using ring = std::vector<control::plan_endpoint const*>;

// Children per position of the tree. With two, an inner agent's upload link
// carries at most two copies of a chunk.
constexpr std::size_t fan_out = 2;

// Standbys considered besides the ancestors. When half of a domain's agents die
// at once, the chance that a chunk's ancestors and all eight standbys are among
// the dead is below one in two hundred; each such chunk costs one extra fetch
// from the origin.
constexpr std::size_t max_standbys = 8;

// Agents per preceding domain that may take the place of its importer.
constexpr std::size_t max_outside = 3;

constexpr std::size_t neighbour_count = 2;

// Half of the ring's size, increased until it is coprime to the size. Each
// chunk's inner positions then follow on those of the chunk before, and over
// the chunks every agent takes every position.
std::size_t stride_of(std::size_t size)
{
    auto stride = std::max<std::size_t>(1, size / fan_out);
    while (std::gcd(stride, size) != 1)
    {
        ++stride;
    }
    return stride;
}

// Moves the root to the front and keeps the order of the others.
void move_to_front(ring& order, std::string const& root)
{
    auto const found =
        std::ranges::find(order, root, &control::plan_endpoint::agent);
    if (found != order.end())
    {
        std::rotate(order.begin(), found, found + 1);
    }
}

// Agents of a domain, in the order for this chunk.
ring chunk_order(
    control::domain_plan const& plan,
    std::string const& digest,
    std::uint32_t chunk,
    std::string const& root)
{
    auto order = control::holders(plan, digest);
    if (order.empty())
    {
        return order;
    }
    auto const shift = (stride_of(order.size()) * chunk) % order.size();
    auto const middle = order.begin() + static_cast<std::ptrdiff_t>(shift);
    std::rotate(order.begin(), middle, order.end());
    move_to_front(order, root);
    return order;
}

// The failure domain of the root; empty when no plan contains the root.
std::string domain_of(plan_set const& plans, std::string const& root)
{
    for (auto const& [name, plan] : plans)
    {
        if (!root.empty() &&
            std::ranges::find(
                plan.endpoints, root, &control::plan_endpoint::agent) !=
                plan.endpoints.end())
        {
            return name;
        }
    }
    return {};
}

chunk_source source_for(control::plan_endpoint const& endpoint)
{
    return {endpoint.agent, endpoint.address};
}

// Names of the region's failure domains that need the version, in the order for
// this chunk.
std::vector<std::string> domain_order(
    plan_set const& plans,
    std::string const& region,
    std::string const& digest,
    std::uint32_t chunk,
    std::string const& root,
    std::set<std::string> domain_names)
{
    for (auto const& [name, plan] : plans)
    {
        if (plan.region == region && !control::holders(plan, digest).empty())
        {
            domain_names.insert(name);
        }
    }
    std::vector<std::string> domains(domain_names.begin(), domain_names.end());
    if (!domains.empty())
    {
        auto const shift = chunk % domains.size();
        auto const middle =
            domains.begin() + static_cast<std::ptrdiff_t>(shift);
        std::rotate(domains.begin(), middle, domains.end());
    }
    auto const first = std::ranges::find(domains, domain_of(plans, root));
    if (first != domains.end())
    {
        std::rotate(domains.begin(), first, first + 1);
    }
    return domains;
}

// Number of descendants of a position in a tree of the given size.
std::size_t count_below(std::size_t place, std::size_t size)
{
    std::size_t below = 0;
    auto first = fan_out * place + 1;
    auto count = fan_out;
    while (first < size)
    {
        below += std::min(count, size - first);
        first = fan_out * first + 1;
        count *= fan_out;
    }
    return below;
}

void add_ancestors(chunk_sources& sources, ring const& order)
{
    for (auto place = sources.place; place > 0;)
    {
        place = (place - 1) / fan_out;
        sources.ancestors.push_back(source_for(*order[place]));
    }
}

void add_standbys(chunk_sources& sources, ring const& order)
{
    for (std::size_t place = 0;
         place < sources.place && sources.standbys.size() < max_standbys;
         ++place)
    {
        auto const standby = source_for(*order[place]);
        if (std::ranges::find(sources.ancestors, standby) ==
            sources.ancestors.end())
        {
            sources.standbys.push_back(standby);
        }
    }
}

void add_outside(
    chunk_sources& sources,
    plan_set const& plans,
    control::domain_plan const& own,
    std::string const& digest,
    std::uint32_t chunk,
    std::string const& root,
    std::set<std::string> const& expected)
{
    for (auto const& name :
         domain_order(plans, own.region, digest, chunk, root, expected))
    {
        if (name == own.failure_domain)
        {
            return;
        }
        auto const plan = plans.find(name);
        auto const order = plan == plans.end()
                               ? ring{}
                               : chunk_order(plan->second, digest, chunk, root);
        sources.incomplete = sources.incomplete || order.empty();
        auto const count = std::min(order.size(), max_outside);
        for (std::size_t place = 0; place < count; ++place)
        {
            sources.outside.push_back(source_for(*order[place]));
        }
    }
}

chunk_source const*
first_usable(std::vector<chunk_source> const& list, source_view const& view)
{
    auto const found = std::ranges::find_if(
        list,
        [&view](chunk_source const& source)
        {
            return view.is_usable(source.agent);
        });
    return found == list.end() ? nullptr : &*found;
}

} // namespace

std::optional<chunk_sources> sources_of(
    plan_set const& plans,
    std::string const& failure_domain,
    std::string const& agent,
    std::string const& digest,
    std::uint32_t chunk,
    std::set<std::string> const& expected,
    std::string const& root)
{
    auto const own = plans.find(failure_domain);
    if (own == plans.end())
    {
        return std::nullopt;
    }
    auto const order = chunk_order(own->second, digest, chunk, root);
    auto const self =
        std::ranges::find(order, agent, &control::plan_endpoint::agent);
    if (self == order.end())
    {
        return std::nullopt;
    }
    chunk_sources sources;
    sources.place = static_cast<std::size_t>(self - order.begin());
    sources.behind = count_below(sources.place, order.size());
    add_ancestors(sources, order);
    add_standbys(sources, order);
    add_outside(sources, plans, own->second, digest, chunk, root, expected);
    return sources;
}

chunk_source
choose_source(chunk_sources const& sources, source_view const& view)
{
    for (auto const* const list :
         {&sources.ancestors, &view.known_holders, &sources.standbys,
          &sources.outside})
    {
        if (auto const* const found = first_usable(*list, view))
        {
            return *found;
        }
    }
    return {};
}

std::vector<chunk_source> neighbours_of(
    plan_set const& plans,
    std::string const& failure_domain,
    std::string const& agent,
    std::string const& digest)
{
    std::vector<chunk_source> neighbours;
    auto const own = plans.find(failure_domain);
    if (own == plans.end())
    {
        return neighbours;
    }
    auto order = control::holders(own->second, digest);
    auto const self =
        std::ranges::find(order, agent, &control::plan_endpoint::agent);
    if (self == order.end())
    {
        return neighbours;
    }
    std::rotate(order.begin(), self, order.end());
    auto const end = std::min(order.size(), neighbour_count + 1);
    for (std::size_t place = 1; place < end; ++place)
    {
        neighbours.push_back(source_for(*order[place]));
    }
    return neighbours;
}

} // namespace foxtailvale::weights
