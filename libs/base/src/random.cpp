#include <base/random.hpp>

#include <cassert>

namespace foxtailvale::base
{

std::uint64_t next_random(random_state& state)
{
    // SplitMix64: one 64-bit word of state; its quality is sufficient for load
    // spreading.
    state.value += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state.value;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

std::uint64_t random_below(random_state& state, std::uint64_t bound)
{
    assert(bound > 0);
    return next_random(state) % bound;
}

} // namespace foxtailvale::base
