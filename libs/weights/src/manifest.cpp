#include <base/digest.hpp>
#include <release/object_reader.hpp>
#include <weights/manifest.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace foxtailvale::weights
{

namespace
{

constexpr std::uint64_t max_chunk_bytes = 64U * 1024U * 1024U;
constexpr std::uint64_t max_total_bytes = 1ULL << 42U;

bool has_expected_chunk_count(manifest const& value)
{
    auto const chunks =
        (value.total_bytes + value.chunk_bytes - 1) / value.chunk_bytes;
    return value.chunks.size() == chunks;
}

} // namespace

manifest describe_weights(std::string_view bytes, std::uint32_t chunk_bytes)
{
    assert(chunk_bytes > 0);
    manifest value{chunk_bytes, bytes.size(), {}};
    for (std::size_t offset = 0; offset < bytes.size(); offset += chunk_bytes)
    {
        value.chunks.push_back(
            base::sha256_hex(bytes.substr(offset, chunk_bytes)));
    }
    return value;
}

std::string to_text(manifest const& value)
{
    return nlohmann::json{
        {"chunk_bytes", value.chunk_bytes},
        {"total_bytes", value.total_bytes},
        {"chunks", value.chunks}}
        .dump();
}

base::result<manifest>
parse_manifest(std::string const& text, std::string const& digest)
{
    if (base::sha256_hex(text) != digest)
    {
        return base::fail(base::error_kind::bad_digest, "manifest " + digest);
    }
    auto const source = release::parse_document("manifest", text);
    auto faults = source.faults;
    release::object_reader reader(source, "", faults);
    manifest value;
    value.chunk_bytes = static_cast<std::uint32_t>(
        reader.number("chunk_bytes", 1, max_chunk_bytes));
    value.total_bytes = reader.number("total_bytes", 1, max_total_bytes);
    value.chunks = reader.texts_or_empty("chunks");
    reader.finish();
    if (!faults.empty() || !has_expected_chunk_count(value))
    {
        return base::fail(
            base::error_kind::bad_digest,
            "manifest " + digest + "\n" + describe(source, faults));
    }
    return value;
}

std::uint32_t chunk_size(manifest const& value, std::uint32_t index)
{
    assert(index < value.chunks.size());
    auto const start = std::uint64_t{index} * value.chunk_bytes;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(value.chunk_bytes, value.total_bytes - start));
}

} // namespace foxtailvale::weights
