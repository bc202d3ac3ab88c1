#include <base/ids.hpp>

#include <charconv>
#include <cstdio>
#include <random>

namespace foxtailvale::base
{

namespace
{

constexpr std::size_t half_digits = 16;

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace

attempt_id make_attempt_id(random_state& random)
{
    auto const high = next_random(random);
    return {high, next_random(random)};
}

std::string to_string(attempt_id id)
{
    char text[2 * half_digits + 1];
    std::snprintf(
        text, sizeof text, "%016llx%016llx",
        static_cast<unsigned long long>(id.high),
        static_cast<unsigned long long>(id.low));
    return text;
}

std::optional<attempt_id> parse_attempt_id(std::string_view text)
{
    if (text.size() != 2 * half_digits)
    {
        return std::nullopt;
    }
    auto const high = parse_half(text.substr(0, half_digits));
    auto const low = parse_half(text.substr(half_digits));
    if (!high || !low)
    {
        return std::nullopt;
    }
    return attempt_id{*high, *low};
}

std::uint64_t entropy_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace foxtailvale::base
