#ifndef FOXTAILVALE_WEIGHTS_CHUNK_STORE_HPP
#define FOXTAILVALE_WEIGHTS_CHUNK_STORE_HPP

#include <weights/manifest.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailvale::weights
{

// Bytes of one verified chunk, shared between the store and running uploads.
using chunk_data = std::shared_ptr<std::string const>;

// One version in the store.
struct stored_version
{
    manifest description;
    std::string manifest_text;
    // Null for chunks that are missing.
    std::vector<chunk_data> chunks;
    std::uint32_t held = 0;
};

// Verified chunks of the versions that an agent holds, bounded by size. The
// store is in memory only and empty after a restart.
struct chunk_store
{
    std::uint64_t capacity_bytes = 0;
    std::uint64_t used_bytes = 0;
    std::map<std::string, stored_version> versions;
};

// Reserves space for a version; platform_refused when it does not fit.
base::result<void>
add_version(chunk_store& store, std::string const& digest, std::string text);

// Verifies a chunk and stores it; bad_digest when it does not match the
// manifest, not_found for an unknown version or index. A chunk that fails
// verification is never sent to others or loaded.
base::result<void> put_chunk(
    chunk_store& store,
    std::string const& digest,
    std::uint32_t index,
    std::string bytes);

// The chunk, or null while it is missing.
chunk_data find_chunk(
    chunk_store const& store, std::string const& digest, std::uint32_t index);

// Whether all chunks are present. Only then may the engine be told to load the
// version.
bool is_complete(chunk_store const& store, std::string const& digest);

// Removes a version and releases its space.
void remove_version(chunk_store& store, std::string const& digest);

} // namespace foxtailvale::weights

#endif
