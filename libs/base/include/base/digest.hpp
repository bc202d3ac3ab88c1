#ifndef FOXTAILVALE_BASE_DIGEST_HPP
#define FOXTAILVALE_BASE_DIGEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailvale::base
{

// SHA-256 of the bytes, as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

// Fast 64-bit hash for placement and ordering, the same in every process. Not
// to be used as an identity: weights are identified by sha256_hex().
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace foxtailvale::base

#endif
