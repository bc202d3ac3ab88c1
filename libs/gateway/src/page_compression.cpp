#include "page_compression.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace foxtailvale::gateway
{

namespace
{

// The fastest level: a tenth of the size in a third of the time of the highest
// level.
constexpr int compression_level = 1;

// Bounds the memory that a received page may take; many times the maximum size
// of an object in the platform's store.
constexpr std::size_t max_decompressed_bytes = 32UL * 1024 * 1024;

} // namespace

std::string compress(std::string const& bytes)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream stream(
        out, Poco::DeflatingStreamBuf::STREAM_ZLIB, compression_level);
    stream << bytes;
    stream.close();
    return out.str();
}

std::optional<std::string> decompress(std::string const& bytes)
{
    std::istringstream in(bytes);
    Poco::InflatingInputStream stream(
        in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string expanded;
    std::array<char, 16384> block{};
    while (stream.good())
    {
        stream.read(block.data(), block.size());
        expanded.append(
            block.data(), static_cast<std::size_t>(stream.gcount()));
        if (expanded.size() > max_decompressed_bytes)
        {
            return std::nullopt;
        }
    }
    return stream.bad() ? std::nullopt : std::optional(expanded);
}

} // namespace foxtailvale::gateway
