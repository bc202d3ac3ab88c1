#include <entry_core/entry_core.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::entry_core
{

namespace
{

std::uint64_t
call_id(std::vector<action> const& actions, core::platform_method method)
{
    for (auto const& emitted : actions)
    {
        auto const* const call = std::get_if<core::platform_call>(&emitted);
        if (call != nullptr && call->method == method)
        {
            return call->id;
        }
    }
    return 0;
}

core::platform_answer release_answer(std::uint64_t id, std::uint64_t number)
{
    release::configuration configuration;
    configuration.generation = number;
    core::platform_answer answer;
    answer.id = id;
    answer.ok = true;
    answer.version = number;
    answer.value = to_text(configuration);
    return answer;
}

} // namespace

// Failure: after an outage the platform answers one read with an older version,
// and an accepted configuration reverts. The entry must keep the newer one.
TEST(entry_control, an_older_configuration_never_comes_back)
{
    state entry;
    entry.self = {"entry-1", "split-a", "dalmacija", 100};
    entry.control.gossip.peers_known_since =
        base::time_point{} - std::chrono::minutes(1);
    entry.control.members.list_version = 1;
    base::time_point now{};
    auto const first = step(entry, core::tick{}, now);
    auto const first_watch = call_id(first, core::platform_method::watch);
    step(entry, release_answer(first_watch, 5), now);
    EXPECT_EQ(entry.control.configuration.generation, 5U);
    now += std::chrono::seconds(1);
    auto const second = step(entry, core::tick{}, now);
    auto const second_watch = call_id(second, core::platform_method::watch);
    ASSERT_NE(second_watch, first_watch);
    step(entry, release_answer(second_watch, 4), now);
    EXPECT_EQ(entry.control.configuration.generation, 5U);
}

// Failure: a watch that waits for a version above the generation returns at
// once each time and uses up the platform's call rate. The platform numbers the
// versions of all its objects with one counter, so the release object may have
// version 57 while its generation is 5.
TEST(entry_control, the_watch_waits_for_the_object_and_not_the_generation)
{
    state entry;
    entry.self = {"entry-1", "split-a", "dalmacija", 100};
    entry.control.gossip.peers_known_since =
        base::time_point{} - std::chrono::minutes(1);
    entry.control.members.list_version = 1;
    base::time_point now{};
    auto const first = step(entry, core::tick{}, now);
    auto answer =
        release_answer(call_id(first, core::platform_method::watch), 5);
    answer.version = 57;
    step(entry, answer, now);
    auto const second = step(entry, core::tick{}, now);
    auto const second_watch = call_id(second, core::platform_method::watch);
    ASSERT_NE(second_watch, 0U);
    for (auto const& emitted : second)
    {
        auto const* const call = std::get_if<core::platform_call>(&emitted);
        if (call != nullptr && call->id == second_watch)
        {
            EXPECT_EQ(call->expected, 57U);
        }
    }
}

} // namespace foxtailvale::entry_core
