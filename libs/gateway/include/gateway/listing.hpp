#ifndef FOXTAILVALE_GATEWAY_LISTING_HPP
#define FOXTAILVALE_GATEWAY_LISTING_HPP

#include <platform/objects.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace foxtailvale::gateway
{

// A listing of the store that is being read page by page.
struct listing
{
    std::vector<platform::store_object> objects;
    // Revision of the first page. Later pages may belong to a later revision; a
    // watch from this one delivers the changes made between them.
    std::uint64_t revision = 0;
    // Names after which further pages were requested.
    std::set<std::string> requested_after;
};

// Adds the next page. Returns the name after which to request the page that
// follows, or nothing when the listing is complete. The error is bad_frame when
// more pages follow but this one ends with no name that was not requested
// already: the store would return the same page again without end.
base::result<std::optional<std::string>>
add_page(listing& pages, platform::store_reply reply);

// Shortens a request's target for a log line: names of other writers have any
// length.
std::string abbreviate_target(std::string const& target);

} // namespace foxtailvale::gateway

#endif
