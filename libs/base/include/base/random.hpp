#ifndef FOXTAILVALE_BASE_RANDOM_HPP
#define FOXTAILVALE_BASE_RANDOM_HPP

#include <cstdint>

namespace foxtailvale::base
{

// State of a small seeded pseudo-random generator. It is kept inside the state
// of a core, so that replaying a trace makes the same choices.
struct random_state
{
    std::uint64_t value = 1;
};

// Advances the state and returns the next 64 pseudo-random bits.
std::uint64_t next_random(random_state& state);

// Returns an integer in [0, bound). The bound must not be zero.
std::uint64_t random_below(random_state& state, std::uint64_t bound);

} // namespace foxtailvale::base

#endif
