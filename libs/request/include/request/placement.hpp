#ifndef FOXTAILVALE_REQUEST_PLACEMENT_HPP
#define FOXTAILVALE_REQUEST_PLACEMENT_HPP

#include <base/random.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::request
{

// An endpoint that could take a request, as this entry sees it.
struct candidate
{
    std::string agent;
    std::string failure_domain;
    // The gate's limit and load as last reported, with what this entry has
    // sent since.
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
};

// What a placement goes by.
struct placement_query
{
    std::string own_domain;
    // Hash of the prompt's prefix; equal prefixes prefer equal endpoints.
    std::uint64_t prefix = 0;
    // Agents that this request has tried already.
    std::vector<std::string> tried;
    // The request may have crashed an endpoint: it goes where the fewest
    // others would fall with it.
    bool prefer_least_loaded = false;
};

// Chooses an endpoint, or nullptr when none has room. Own failure domain first
// while it has room: the other domains' links are narrow and may be cut. Within
// a domain the endpoint that the prefix hashes to, as long as it carries no
// more than a quarter over the mean (bounded load: a popular prefix must not
// bury one endpoint); else the freer of two random ones, which keeps entries
// with equally old load reports from all choosing the same one.
candidate const* choose(
    std::vector<candidate> const& candidates,
    placement_query const& ask,
    base::random_state& random);

} // namespace foxtailvale::request

#endif
