#include <net/message.hpp>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <ostream>
#include <utility>

namespace foxtailvale::net
{

namespace
{

constexpr std::array hop_field_names{
    std::string_view{"connection"},
    std::string_view{"keep-alive"},
    std::string_view{"proxy-connection"},
    std::string_view{"te"},
    std::string_view{"trailer"},
    std::string_view{"upgrade"},
    std::string_view{"transfer-encoding"},
    std::string_view{"content-length"},
    std::string_view{"expect"},
};

char lower(char letter)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

void append_field(
    std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

// Field names listed in the Connection fields, where commas separate them.
std::vector<std::string> connection_options(field_list const& fields)
{
    std::vector<std::string> options;
    for (auto const& entry : fields)
    {
        if (!equal_names(entry.name, "connection"))
        {
            continue;
        }
        std::string option;
        for (auto const letter : entry.value + ",")
        {
            if (letter == ',')
            {
                options.push_back(std::exchange(option, {}));
            }
            else if (letter != ' ' && letter != '\t')
            {
                option.push_back(letter);
            }
        }
    }
    return options;
}

} // namespace

bool equal_names(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(
               left.begin(), left.end(), right.begin(),
               [](char one, char other)
               {
                   return lower(one) == lower(other);
               });
}

std::optional<std::string_view>
find_field(field_list const& fields, std::string_view name)
{
    for (auto const& entry : fields)
    {
        if (equal_names(entry.name, name))
        {
            return entry.value;
        }
    }
    return std::nullopt;
}

bool is_hop_field(std::string_view name)
{
    return std::ranges::any_of(
        hop_field_names,
        [name](std::string_view hop)
        {
            return equal_names(hop, name);
        });
}

field_list end_to_end_fields(field_list const& fields)
{
    auto const options = connection_options(fields);
    field_list kept;
    for (auto const& entry : fields)
    {
        auto const named = std::ranges::any_of(
            options,
            [&entry](std::string const& option)
            {
                return equal_names(option, entry.name);
            });
        if (!named && !is_hop_field(entry.name))
        {
            kept.push_back(entry);
        }
    }
    return kept;
}

std::string serialize(request const& message)
{
    return serialize_head(message, message.body.size()) + message.body;
}

std::string serialize_head(request const& message, std::size_t body_bytes)
{
    constexpr std::size_t usual_bytes = 512;
    std::string text;
    text.reserve(usual_bytes);
    text.append(message.method).append(" ").append(message.target);
    text.append(" HTTP/1.1\r\n");
    for (auto const& entry : message.fields)
    {
        append_field(text, entry.name, entry.value);
    }
    auto const has_length =
        body_bytes > 0 || message.method == "POST" || message.method == "PUT";
    if (has_length)
    {
        append_field(text, "Content-Length", std::to_string(body_bytes));
    }
    text.append("\r\n");
    return text;
}

std::string serialize_head(unsigned status, field_list const& fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    auto const reason = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(status));
    text.append(reason.data(), reason.size());
    text.append("\r\n");
    for (auto const& entry : fields)
    {
        append_field(text, entry.name, entry.value);
    }
    text.append("\r\n");
    return text;
}

} // namespace foxtailvale::net
