#ifndef FOXTAILVALE_GATEWAY_ANSWER_MEMORY_HPP
#define FOXTAILVALE_GATEWAY_ANSWER_MEMORY_HPP

#include <cstddef>

// Bounds the memory in which an entry holds answers that callers were not sent
// yet: bodies that are not whole and events that are not complete.
namespace foxtailvale::gateway
{

// One answer.
inline constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;

// All answers of an entry, by the memory of its VM: a sixth, beside what is
// written to callers.
inline constexpr std::size_t max_all_answers(std::size_t memory_bytes)
{
    constexpr std::size_t divisor = 6;
    return memory_bytes / divisor;
}

// While answers take three quarters of that, one that is larger than this may
// not grow.
inline constexpr std::size_t small_answer_bytes = 1024UL * 1024;

// Whether an answer that has grown to this size has to be given up, with this
// size of all answers and their maximum. Large ones go first, so that a few
// endpoints that send without end do not end the answers of others.
inline bool
is_too_large(std::size_t answer, std::size_t all, std::size_t max_all)
{
    return answer > max_answer_bytes || all > max_all ||
           (all > max_all / 4 * 3 && answer > small_answer_bytes);
}

} // namespace foxtailvale::gateway

#endif
