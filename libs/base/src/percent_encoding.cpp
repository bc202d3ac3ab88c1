#include <base/percent_encoding.hpp>

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace foxtailvale::base
{

std::string percent_encode(std::string_view text)
{
    // POCO encodes controls, blanks and bytes beyond ASCII by itself.
    std::string const reserved = "!#$%&'()*+,/:;=?@[]";
    std::string encoded;
    Poco::URI::encode(std::string(text), reserved, encoded);
    return encoded;
}

std::optional<std::string> percent_decode(std::string const& text)
{
    try
    {
        std::string decoded;
        Poco::URI::decode(text, decoded);
        return decoded;
    }
    catch (Poco::Exception const&)
    {
        return std::nullopt;
    }
}

} // namespace foxtailvale::base
