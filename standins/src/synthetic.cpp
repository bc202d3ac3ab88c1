#include <base/digest.hpp>
#include <base/random.hpp>

#include <standins/synthetic.hpp>

#include <cstring>

namespace foxtailvale::standins
{

synthetic_weights make_weights(
    std::uint64_t seed, std::uint64_t total_bytes, std::uint32_t chunk_bytes)
{
    synthetic_weights result;
    result.bytes.resize(total_bytes);
    base::random_state random{seed};
    for (std::uint64_t offset = 0; offset < total_bytes;
         offset += sizeof(std::uint64_t))
    {
        auto const word = base::next_random(random);
        auto const size =
            std::min<std::uint64_t>(sizeof word, total_bytes - offset);
        std::memcpy(result.bytes.data() + offset, &word, size);
    }
    result.description = weights::describe_weights(result.bytes, chunk_bytes);
    result.manifest_text = weights::to_text(result.description);
    result.digest = base::sha256_hex(result.manifest_text);
    return result;
}

std::string answer_token(
    std::string const& digest, std::string const& prompt, std::uint32_t index)
{
    auto const hash = base::stable_hash(digest + prompt, index);
    return "t" + std::to_string(hash % 100'000) + " ";
}

std::string answer_text(
    std::string const& digest, std::string const& prompt, std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index)
    {
        text += answer_token(digest, prompt, index);
    }
    return text;
}

} // namespace foxtailvale::standins
