#include <gateway/listing.hpp>

#include <iterator>

namespace foxtailvale::gateway
{

namespace
{

constexpr std::size_t max_logged_bytes = 200;

} // namespace

base::result<std::optional<std::string>>
add_page(listing& pages, platform::store_reply reply)
{
    if (pages.requested_after.empty())
    {
        pages.revision = reply.revision;
    }
    auto const last =
        reply.objects.empty() ? std::string() : reply.objects.back().name;
    pages.objects.insert(
        pages.objects.end(), std::move_iterator(reply.objects.begin()),
        std::move_iterator(reply.objects.end()));
    if (!reply.truncated)
    {
        return std::optional<std::string>();
    }
    if (last.empty() || !pages.requested_after.insert(last).second)
    {
        return base::fail(
            base::error_kind::bad_frame,
            "the page ends with no name that the next one could follow");
    }
    return std::optional(last);
}

std::string abbreviate_target(std::string const& target)
{
    return target.size() <= max_logged_bytes
               ? target
               : target.substr(0, max_logged_bytes) + "...";
}

} // namespace foxtailvale::gateway
