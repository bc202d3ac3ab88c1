#ifndef FOXTAILVALE_STANDINS_SYNTHETIC_HPP
#define FOXTAILVALE_STANDINS_SYNTHETIC_HPP

#include <weights/manifest.hpp>

#include <cstdint>
#include <string>

// Weights and answers that the stand-ins and the load tool compute
// independently, so that every answer can be verified.
namespace foxtailvale::standins
{

// Pseudo-random weights generated from a seed.
struct synthetic_weights
{
    std::string bytes;
    weights::manifest description;
    std::string manifest_text;
    std::string digest;
};

// Deterministic: the same seed and sizes give the same weights.
synthetic_weights make_weights(
    std::uint64_t seed, std::uint64_t total_bytes, std::uint32_t chunk_bytes);

// Returns the token at `index` of the answer that weights with this digest
// give to a prompt.
std::string answer_token(
    std::string const& digest, std::string const& prompt, std::uint32_t index);

// Returns the first `tokens` tokens of that answer, concatenated.
std::string answer_text(
    std::string const& digest, std::string const& prompt, std::uint32_t tokens);

} // namespace foxtailvale::standins

#endif
