#include <entry_core/entry_core.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::entry_core
{

namespace
{

std::uint64_t
call_id(std::vector<action> const& actions, core::platform_method method)
{
    for (auto const& ordered : actions)
    {
        auto const* const call = std::get_if<core::platform_call>(&ordered);
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

// The platform comes back from an outage and answers one read with an older
// version. Operators would see an accepted configuration revert; the entry
// keeps the newer one.
TEST(entry_control, an_older_configuration_never_comes_back)
{
    state entry;
    entry.self = {"entry-1", "split-a", "dalmacija", 100};
    base::time_point now{};
    auto const first = step(entry, core::tick{}, now);
    auto const watch = call_id(first, core::platform_method::watch);
    step(entry, release_answer(watch, 5), now);
    EXPECT_EQ(entry.control.configuration.generation, 5U);
    now += std::chrono::seconds(1);
    auto const second = step(entry, core::tick{}, now);
    auto const again = call_id(second, core::platform_method::watch);
    ASSERT_NE(again, watch);
    step(entry, release_answer(again, 4), now);
    EXPECT_EQ(entry.control.configuration.generation, 5U);
}

// The platform counts the versions of all its objects together, so the
// release's object stands at 57 while its generation is 5. Operators would see
// the platform's rate used up: a watch after 5 returns at once, each time.
TEST(entry_control, the_watch_waits_for_the_object_and_not_the_generation)
{
    state entry;
    entry.self = {"entry-1", "split-a", "dalmacija", 100};
    base::time_point now{};
    auto const first = step(entry, core::tick{}, now);
    auto answer =
        release_answer(call_id(first, core::platform_method::watch), 5);
    answer.version = 57;
    step(entry, answer, now);
    auto const second = step(entry, core::tick{}, now);
    auto const again = call_id(second, core::platform_method::watch);
    ASSERT_NE(again, 0U);
    for (auto const& ordered : second)
    {
        auto const* const call = std::get_if<core::platform_call>(&ordered);
        if (call != nullptr && call->id == again)
        {
            EXPECT_EQ(call->expected, 57U);
        }
    }
}

} // namespace foxtailvale::entry_core
