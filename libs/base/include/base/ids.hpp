#ifndef FOXTAILVALE_BASE_IDS_HPP
#define FOXTAILVALE_BASE_IDS_HPP

#include <base/random.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailvale::base
{

// Monotonic time, which all decisions are based on. Wall-clock time is not used
// for decisions, since the clocks of VMs differ and jump.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Identifies one attempt to run a request on one endpoint. 128 random bits, so
// that a late reply to another attempt cannot carry the same ID.
struct attempt_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(attempt_id const&) const = default;
};

// Generates a random attempt ID.
attempt_id make_attempt_id(random_state& random);

// 32 hexadecimal digits.
std::string to_string(attempt_id id);

// Parses the output of to_string(); returns std::nullopt for any other text.
std::optional<attempt_id> parse_attempt_id(std::string_view text);

// Returns a seed for the process's random number generators, read from the
// system's entropy source.
std::uint64_t entropy_seed();

} // namespace foxtailvale::base

#endif
