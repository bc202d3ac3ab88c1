#ifndef FOXTAILVALE_REQUEST_PLACEMENT_HPP
#define FOXTAILVALE_REQUEST_PLACEMENT_HPP

#include <base/random.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailvale::request
{

// An endpoint that may be chosen for a request, with its load as known to this
// entry.
struct candidate
{
    std::string agent;
    std::string failure_domain;
    // Concurrency limit of the endpoint's gate and the number of running
    // requests as last reported, plus those this entry has sent since.
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
};

// Input of `choose`.
struct placement_query
{
    std::string own_domain;
    // Hash of the prompt's prefix; requests with equal prefixes prefer the same
    // endpoint. Zero means no preference.
    std::uint64_t prefix = 0;
    // Agents of the endpoints that this request was already sent to.
    std::vector<std::string> tried;
    // Choose the endpoint with the fewest running requests. Set for requests
    // that may have crashed an endpoint, so that another crash affects the
    // fewest other requests.
    bool prefer_least_loaded = false;
};

// Chooses an endpoint, or returns nullptr if none has a free slot.
//
// Prefers the own failure domain while it has free slots, because links to
// other domains are narrow and may fail. Within a domain, takes the endpoint
// that the prefix hashes to while its load is at most a quarter above the mean
// (consistent hashing with bounded loads, so that a popular prefix does not
// overload one endpoint). Otherwise takes the less loaded of two random
// endpoints, so that entries with equally old load reports do not all choose
// the same one.
candidate const* choose(
    std::vector<candidate> const& candidates,
    placement_query const& query,
    base::random_state& random);

} // namespace foxtailvale::request

#endif
