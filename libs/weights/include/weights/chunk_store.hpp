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

// Bytes of one verified chunk, shared by the store and whoever sends them.
using chunk_data = std::shared_ptr<std::string const>;

// One version in the store.
struct stored_version
{
    manifest description;
    std::string manifest_text;
    // Empty where the chunk is not there yet.
    std::vector<chunk_data> chunks;
    std::uint32_t held = 0;
};

// Verified chunks of the versions that an agent holds, bounded in bytes. The
// process has no disk; what it restarts with is nothing.
struct chunk_store
{
    std::uint64_t capacity_bytes = 0;
    std::uint64_t used_bytes = 0;
    std::map<std::string, stored_version> versions;
};

// Makes room for a version; platform_refused when it does not fit.
base::result<void>
add_version(chunk_store& store, std::string const& digest, std::string text);

// Verifies a chunk and keeps it; bad_digest when it is not what the manifest
// names. Nothing that fails here is ever served or loaded.
base::result<void> put_chunk(
    chunk_store& store,
    std::string const& digest,
    std::uint32_t index,
    std::string bytes);

// The chunk, or nothing while it is not there.
chunk_data find_chunk(
    chunk_store const& store, std::string const& digest, std::uint32_t index);

// Whether all chunks are there: only then may the engine be ordered to load.
bool is_complete(chunk_store const& store, std::string const& digest);

// Drops a version and frees its bytes.
void remove_version(chunk_store& store, std::string const& digest);

} // namespace foxtailvale::weights

#endif
