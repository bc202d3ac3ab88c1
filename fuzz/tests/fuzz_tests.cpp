#include "targets.hpp"

#include <base/random.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::fuzz
{

namespace
{

constexpr std::uint32_t iterations = 3000;
constexpr std::uint64_t seed = 20260301;
constexpr std::uint64_t max_changes = 6;
constexpr std::uint64_t input_bytes_bound = 400;

std::string random_bytes(base::random_state& random, std::uint64_t bound)
{
    std::string bytes(base::random_below(random, bound), '\0');
    for (auto& byte : bytes)
    {
        byte = static_cast<char>(base::random_below(random, 256));
    }
    return bytes;
}

void mutate(std::string& bytes, base::random_state& random)
{
    auto const at = base::random_below(random, bytes.size() + 1);
    switch (base::random_below(random, 4))
    {
    case 0:
        bytes.insert(at, 1, static_cast<char>(base::random_below(random, 256)));
        break;
    case 1:
        bytes.erase(at, base::random_below(random, 8));
        break;
    case 2:
        bytes.insert(at, bytes.substr(at / 2, 12));
        break;
    default:
        if (at < bytes.size())
        {
            bytes[at] = static_cast<char>(base::random_below(random, 256));
        }
    }
}

template <class Target>
void run_mutated(std::vector<std::string> const& seeds, Target target)
{
    base::random_state random{seed};
    for (auto const& input : seeds)
    {
        target(input);
    }
    for (std::uint32_t iteration = 0; iteration < iterations; ++iteration)
    {
        auto input = seeds[base::random_below(random, seeds.size())];
        auto const changes = 1 + base::random_below(random, max_changes);
        for (std::uint64_t done = 0; done < changes; ++done)
        {
            mutate(input, random);
        }
        target(input);
    }
}

template <class Target>
void run_random(Target target)
{
    base::random_state random{seed};
    for (std::uint32_t iteration = 0; iteration < iterations; ++iteration)
    {
        target(random_bytes(random, input_bytes_bound));
    }
}

} // namespace

// A violated invariant in a target aborts the process and so fails the test.
TEST(fuzz, release_notes)
{
    run_mutated(release_note_seeds(), release_note);
}

TEST(fuzz, settings)
{
    run_mutated(settings_seeds(), settings);
}

TEST(fuzz, frames)
{
    run_mutated(frame_seeds(), frame);
}

TEST(fuzz, rate_limits)
{
    run_mutated(rate_limit_seeds(), named_rate_limit);
    run_random(named_rate_limit);
}

TEST(fuzz, entry_event_sequences)
{
    run_random(entry_events);
}

TEST(fuzz, agent_event_sequences)
{
    run_random(agent_events);
}

} // namespace foxtailvale::fuzz
