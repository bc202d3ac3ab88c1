#include <node/weights_server.hpp>

#include <algorithm>
#include <charconv>

namespace foxtailvale::node
{

namespace
{

constexpr std::string_view prefix = "/weights/";
constexpr std::string_view chunks_part = "/chunks/";
constexpr std::string_view manifest_part = "/manifest";

// Reads the number after "/chunks/"; returns an index past the end when there
// is none.
std::size_t chunk_index(std::string_view path)
{
    auto const digits = path.substr(path.rfind('/') + 1);
    std::size_t index = 0;
    auto const* const end = digits.data() + digits.size();
    auto const read = std::from_chars(digits.data(), end, index);
    return read.ec == std::errc() && read.ptr == end
               ? index
               : static_cast<std::size_t>(-1);
}

} // namespace

weights_server::weights_server(http::server_options const& options)
    : listener(
          options,
          [this](
              Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response)
          {
              this->answer(request, response);
          })
{
}

void weights_server::offer(
    std::string const& digest, weights::stored_version version)
{
    std::lock_guard const lock(this->mutex);
    this->versions.emplace(digest, std::move(version));
}

void weights_server::keep_only(std::vector<std::string> const& digests)
{
    std::lock_guard const lock(this->mutex);
    std::erase_if(
        this->versions,
        [&digests](auto const& entry)
        {
            return std::ranges::find(digests, entry.first) == digests.end();
        });
}

void weights_server::answer(
    Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    std::string_view const path = request.getURI();
    weights::chunk_data chunk;
    std::string manifest;
    if (path.starts_with(prefix))
    {
        auto const rest = path.substr(prefix.size());
        auto const digest = std::string(rest.substr(0, rest.find('/')));
        std::lock_guard const lock(this->mutex);
        auto const found = this->versions.find(digest);
        if (found != this->versions.end())
        {
            auto const& version = found->second;
            auto const part = rest.substr(digest.size());
            auto const index = chunk_index(part);
            if (part == manifest_part)
            {
                manifest = version.manifest_text;
            }
            else if (
                part.starts_with(chunks_part) && index < version.chunks.size())
            {
                chunk = version.chunks[index];
            }
        }
    }
    if (chunk)
    {
        http::send_text(response, 200, "application/octet-stream", *chunk);
        return;
    }
    auto const status = manifest.empty() ? 404 : 200;
    http::send_text(response, status, "application/json", manifest);
}

} // namespace foxtailvale::node
