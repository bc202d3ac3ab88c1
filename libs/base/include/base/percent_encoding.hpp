#ifndef FOXTAILVALE_BASE_PERCENT_ENCODING_HPP
#define FOXTAILVALE_BASE_PERCENT_ENCODING_HPP

#include <optional>
#include <string>
#include <string_view>

namespace foxtailvale::base
{

// Encodes a text for use as one segment of a path or as a value in a query.
// Only letters, digits and "-._~" stay as they are.
std::string percent_encode(std::string_view text);

// Reverses percent_encode(); nothing when the text is malformed.
std::optional<std::string> percent_decode(std::string const& text);

} // namespace foxtailvale::base

#endif
