#include "log_line.hpp"

namespace foxtailvale::ctl
{

namespace
{

using json = nlohmann::json;

json parse_json(std::string const& line)
{
    auto const begin = line.find('{');
    return begin == std::string::npos
               ? json()
               : json::parse(line.substr(begin), nullptr, false);
}

} // namespace

std::optional<log_line> parse_line(std::string const& text)
{
    auto const parsed = parse_json(text);
    if (!parsed.is_object() || !parsed.contains("body") ||
        !parsed["body"].is_object())
    {
        return std::nullopt;
    }
    auto const& body = parsed["body"];
    return log_line{text_of(parsed, "time"), text_of(body, "process"), body};
}

std::string text_of(json const& body, char const* key)
{
    auto const found = body.find(key);
    if (found == body.end())
    {
        return "unknown";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::int64_t number_of(json const& body, char const* key)
{
    auto const found = body.find(key);
    return found != body.end() && found->is_number()
               ? found->get<std::int64_t>()
               : 0;
}

std::string time_before(std::int64_t remaining_ms)
{
    return remaining_ms < 0 ? std::to_string(-remaining_ms) + " ms after"
                            : std::to_string(remaining_ms) + " ms before";
}

} // namespace foxtailvale::ctl
