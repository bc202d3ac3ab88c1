#ifndef FOXTAILVALE_GATEWAY_PAGE_COMPRESSION_HPP
#define FOXTAILVALE_GATEWAY_PAGE_COMPRESSION_HPP

#include <optional>
#include <string>

namespace foxtailvale::gateway
{

// Compresses a page that is sent between entries. A configuration of thousands
// of routes takes a megabyte and compresses to a tenth; it goes to a dozen
// entries over a link of 25 Mbit/s that also carries answers to callers.
std::string compress(std::string const& bytes);

// Returns the decompressed page; nothing when the bytes are not valid or exceed
// the maximum size of a page.
std::optional<std::string> decompress(std::string const& bytes);

} // namespace foxtailvale::gateway

#endif
