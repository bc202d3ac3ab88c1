#ifndef FOXTAILVALE_WEIGHTS_MANIFEST_HPP
#define FOXTAILVALE_WEIGHTS_MANIFEST_HPP

#include <base/error.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::weights
{

// Describes the weights of a version. A version is identified by the SHA-256 of
// its manifest's text.
struct manifest
{
    // Size of every chunk except the last, in bytes.
    std::uint32_t chunk_bytes = 0;
    // Size of all chunks together, in bytes.
    std::uint64_t total_bytes = 0;
    // SHA-256 of each chunk, in order.
    std::vector<std::string> chunks;

    bool operator==(manifest const&) const = default;
};

// Splits the weights into chunks and computes their digests.
manifest describe_weights(std::string_view bytes, std::uint32_t chunk_bytes);

// Serialises the manifest; this is the text that is stored, sent and hashed.
std::string to_text(manifest const& value);

// Parses a manifest and verifies it against its digest; bad_digest when the
// digest does not match or the contents are inconsistent.
base::result<manifest>
parse_manifest(std::string const& text, std::string const& digest);

std::uint32_t chunk_size(manifest const& value, std::uint32_t index);

} // namespace foxtailvale::weights

#endif
