#include <base/digest.hpp>
#include <weights/chunk_store.hpp>

namespace foxtailvale::weights
{

base::result<void>
add_version(chunk_store& store, std::string const& digest, std::string text)
{
    if (store.versions.contains(digest))
    {
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(description, parse_manifest(text, digest));
    if (store.used_bytes + description.total_bytes > store.capacity_bytes)
    {
        return base::fail(
            base::error_kind::platform_refused,
            "the spool has no room for " + digest);
    }
    store.used_bytes += description.total_bytes;
    stored_version version;
    version.chunks.resize(description.chunks.size());
    version.description = std::move(description);
    version.manifest_text = std::move(text);
    store.versions.emplace(digest, std::move(version));
    return boost::outcome_v2::success();
}

base::result<void> put_chunk(
    chunk_store& store,
    std::string const& digest,
    std::uint32_t index,
    std::string bytes)
{
    auto const found = store.versions.find(digest);
    if (found == store.versions.end() || index >= found->second.chunks.size())
    {
        return base::fail(base::error_kind::not_found, digest);
    }
    auto& version = found->second;
    if (version.chunks[index])
    {
        return boost::outcome_v2::success();
    }
    // Failure: a chunk arrives corrupted. The engine would load it and give
    // wrong answers. Comparing every chunk with the manifest before it is
    // stored prevents this, since the manifest itself is identified by its
    // digest.
    if (base::sha256_hex(bytes) != version.description.chunks[index])
    {
        return base::fail(
            base::error_kind::bad_digest,
            digest + " chunk " + std::to_string(index));
    }
    version.chunks[index] =
        std::make_shared<std::string const>(std::move(bytes));
    ++version.held;
    return boost::outcome_v2::success();
}

chunk_data find_chunk(
    chunk_store const& store, std::string const& digest, std::uint32_t index)
{
    auto const found = store.versions.find(digest);
    if (found == store.versions.end() || index >= found->second.chunks.size())
    {
        return nullptr;
    }
    return found->second.chunks[index];
}

bool is_complete(chunk_store const& store, std::string const& digest)
{
    auto const found = store.versions.find(digest);
    return found != store.versions.end() &&
           found->second.held == found->second.chunks.size();
}

void remove_version(chunk_store& store, std::string const& digest)
{
    auto const found = store.versions.find(digest);
    if (found == store.versions.end())
    {
        return;
    }
    store.used_bytes -= found->second.description.total_bytes;
    store.versions.erase(found);
}

} // namespace foxtailvale::weights
