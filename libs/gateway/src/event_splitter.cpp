#include <gateway/event_splitter.hpp>

#include <charconv>

namespace foxtailvale::gateway
{

namespace
{

// Returns the offset past the blank line that ends the first event of the text;
// npos when the text holds no complete event.
std::size_t end_of_event(std::string_view text)
{
    auto from = std::size_t{0};
    while (true)
    {
        auto const line_end = text.find('\n', from);
        if (line_end == std::string_view::npos)
        {
            return std::string_view::npos;
        }
        auto const line = text.substr(from, line_end - from);
        if (line.empty() || line == "\r")
        {
            return line_end + 1;
        }
        from = line_end + 1;
    }
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    constexpr std::string_view key = "id:";
    auto from = std::size_t{0};
    while (from < event.size())
    {
        auto const line_end = event.find('\n', from);
        auto line = event.substr(from, line_end - from);
        if (line.starts_with(key))
        {
            line.remove_prefix(key.size());
            while (line.starts_with(' '))
            {
                line.remove_prefix(1);
            }
            std::uint64_t number = 0;
            auto const parsed =
                std::from_chars(line.data(), line.data() + line.size(), number);
            if (parsed.ec == std::errc{})
            {
                return number;
            }
        }
        if (line_end == std::string_view::npos)
        {
            break;
        }
        from = line_end + 1;
    }
    return std::nullopt;
}

// Events hold a few tokens.
constexpr std::size_t max_event_bytes = 256UL * 1024;

} // namespace

bool is_too_long(event_splitter const& state)
{
    return state.incomplete.size() > max_event_bytes;
}

std::vector<stream_event> split(event_splitter& state, std::string_view data)
{
    state.incomplete.append(data);
    std::vector<stream_event> events;
    auto from = std::size_t{0};
    while (true)
    {
        auto const text = std::string_view(state.incomplete).substr(from);
        auto const end = end_of_event(text);
        if (end == std::string_view::npos)
        {
            break;
        }
        auto const event = text.substr(0, end);
        events.push_back({std::string(event), id_of(event)});
        from += end;
    }
    state.incomplete.erase(0, from);
    return events;
}

} // namespace foxtailvale::gateway
