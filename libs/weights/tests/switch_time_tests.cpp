#include <weights/switch_time.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point const start{std::chrono::hours(1)};
milliseconds const bound{8000};

// What an engine is lost for when it switches: running requests end or are
// cut, and the weights are loaded.
milliseconds const lost{1400};

// When chunks of a version are whole at an agent.
milliseconds const arrival{3200};

// What an engine knows at this moment when chunks come after `arrival`.
switch_context ask_of(
    std::uint64_t serving,
    std::vector<announced_target> const& known,
    std::size_t rank,
    std::size_t count,
    base::time_point now)
{
    switch_context ask{serving, known, bound, rank, count, arrival, {}};
    ask.whole = [known,
                 now](std::uint64_t version) -> std::optional<base::time_point>
    {
        auto const found =
            std::ranges::find(known, version, &announced_target::version);
        auto const at = found->named + arrival;
        return now >= at ? std::optional(at) : std::nullopt;
    };
    return ask;
}

// One engine of a simulated failure domain.
struct engine
{
    std::uint64_t serving = 1;
    std::size_t switches = 0;
    base::time_point back;
    std::map<std::uint64_t, base::time_point> reached;
};

struct outcome
{
    std::vector<engine> engines;
    std::size_t most_lost = 0;
};

// Runs a failure domain through versions named at these moments.
outcome run(std::size_t count, std::vector<announced_target> const& named)
{
    outcome result;
    result.engines.resize(count);
    for (auto now = start; now < start + seconds(30); now += milliseconds(10))
    {
        std::vector<announced_target> known;
        for (auto const& target : named)
        {
            if (target.named <= now)
            {
                known.push_back(target);
            }
        }
        std::size_t gone = 0;
        for (std::size_t rank = 0; rank < count; ++rank)
        {
            auto& own = result.engines[rank];
            if (now < own.back)
            {
                ++gone;
                continue;
            }
            auto const ask = ask_of(own.serving, known, rank, count, now);
            auto const target = choose_target(ask);
            if (target <= own.serving)
            {
                continue;
            }
            auto const found =
                std::ranges::find(known, target, &announced_target::version);
            if (now >= planned_switch_time(ask, target) &&
                now >= found->named + arrival)
            {
                own.serving = target;
                own.back = now + lost;
                own.reached[target] = now;
                ++own.switches;
                ++gone;
            }
        }
        result.most_lost = std::max(result.most_lost, gone);
    }
    return result;
}

} // namespace

// New weights are named under live traffic. All engines switch at the moment
// the chunks are there, and for two seconds nobody is served.
TEST(switch_time, engines_take_turns_within_the_bound)
{
    for (std::size_t const count : {1UL, 3UL, 14UL, 52UL})
    {
        auto const result = run(count, {{2, start}});
        for (auto const& own : result.engines)
        {
            EXPECT_EQ(own.serving, 2U);
            EXPECT_EQ(own.switches, 1U);
            EXPECT_LE(own.reached.at(2), start + bound);
        }
        if (count >= 4)
        {
            EXPECT_LE(result.most_lost, count / 2 + 1) << count;
        }
    }
}

// A second version is named four seconds after the first. If every engine
// goes through both, each is lost twice and the rest cannot carry the traffic.
TEST(switch_time, half_of_the_engines_skip_a_version_that_another_follows)
{
    for (std::size_t const count : {4UL, 14UL, 52UL})
    {
        auto const result = run(count, {{2, start}, {3, start + seconds(4)}});
        std::size_t switches = 0;
        for (auto const& own : result.engines)
        {
            EXPECT_EQ(own.serving, 3U);
            EXPECT_LE(own.reached.at(3), start + seconds(4) + bound);
            // Whatever it served until then was allowed until then.
            auto const first = own.reached.begin()->second;
            EXPECT_LE(first, start + bound);
            switches += own.switches;
        }
        EXPECT_LE(switches, count * 3 / 2 + 1);
        EXPECT_LE(result.most_lost, count / 2 + 1);
    }
}

// The origin was away, and chunks come six seconds after the naming instead of
// three. Every turn is over by then; if all engines go at once, nobody is
// served for more than a second.
TEST(switch_time, engines_take_turns_also_when_chunks_come_late)
{
    constexpr std::size_t count = 14;
    std::vector<announced_target> const named{{2, start}};
    auto const late = start + milliseconds(5500);
    std::vector<base::time_point> turns;
    for (std::size_t rank = 0; rank < count; ++rank)
    {
        auto ask = ask_of(1, named, rank, count, start);
        ask.whole = [late](std::uint64_t) -> std::optional<base::time_point>
        {
            return late;
        };
        turns.push_back(planned_switch_time(ask, 2));
    }
    std::ranges::sort(turns);
    EXPECT_GE(turns.front(), late);
    EXPECT_LE(turns.back(), start + bound);
    for (std::size_t rank = 1; rank < count; ++rank)
    {
        EXPECT_GE(turns[rank] - turns[rank - 1], milliseconds(80));
    }
}

// The chunks of a second version come only after the first has ended. An engine
// that skips the first is idle for two seconds, which costs more than a switch.
TEST(switch_time, a_version_is_not_skipped_when_the_next_one_comes_too_late)
{
    std::vector<announced_target> const named{
        {2, start}, {3, start + seconds(4)}};
    auto const now = start + milliseconds(4100);
    for (std::size_t rank = 0; rank < 14; ++rank)
    {
        auto ask = ask_of(1, named, rank, 14, now);
        ask.arrival = milliseconds(4500);
        EXPECT_EQ(choose_target(ask), 2U) << rank;
        ask.arrival = milliseconds(3500);
        EXPECT_EQ(choose_target(ask), rank < 7 ? 2U : 3U) << rank;
    }
}

TEST(switch_time, all_skip_when_the_newest_comes_early)
{
    auto const result = run(14, {{2, start}, {3, start + milliseconds(1500)}});
    for (auto const& own : result.engines)
    {
        EXPECT_EQ(own.switches, 1U);
        EXPECT_EQ(own.serving, 3U);
        EXPECT_LE(own.reached.at(3), start + bound);
    }
}

TEST(switch_time, an_engine_without_weights_waits_for_nobody)
{
    std::vector<announced_target> const named{{2, start}};
    switch_context const ask{0, named, bound, 3, 14, {}, {}};
    EXPECT_EQ(choose_target(ask), 2U);
    EXPECT_LE(planned_switch_time(ask, 2), start);
}

TEST(switch_time, without_a_named_version_the_first_is_meant)
{
    EXPECT_EQ(choose_target({0, {}, bound, 0, 1, {}, {}}), 1U);
}

// A second version is named two seconds after the first, and the origin dies
// before its chunks have come. The engines wait for it past the end of what
// they serve, although the first version lies whole beside them.
TEST(switch_time, a_whole_version_between_is_used_when_the_newest_does_not_come)
{
    std::vector<announced_target> const named{
        {2, start}, {3, start + seconds(2)}};
    switch_context const ask{1, named, bound, 0, 14, arrival, {}};
    ASSERT_EQ(choose_target(ask), 3U);
    auto const only_second = [](std::uint64_t version) -> std::size_t
    {
        return version == 2 ? 0 : 64;
    };
    EXPECT_EQ(
        choose_fallback_target(ask, 3, only_second, start + seconds(4)), 3U);
    EXPECT_EQ(
        choose_fallback_target(ask, 3, only_second, start + seconds(6)), 2U);
    auto const nearly = [](std::uint64_t version) -> std::size_t
    {
        return version == 2 ? 0 : 5;
    };
    EXPECT_EQ(choose_fallback_target(ask, 3, nearly, start + seconds(7)), 3U);
    // A switch that comes a moment too late is better than two.
    EXPECT_EQ(
        choose_fallback_target(ask, 3, nearly, start + milliseconds(7900)), 3U);
    auto const none = [](std::uint64_t) -> std::size_t
    {
        return 64;
    };
    EXPECT_EQ(choose_fallback_target(ask, 3, none, start + seconds(6)), 3U);
}

// All engines of a failure domain give up a version before the last of them has
// the newer one: streams that a fault cut cannot go on, and callers find
// nobody.
TEST(switch_time, some_engine_keeps_the_version_until_others_have_the_newer)
{
    std::vector<announced_target> const named{{2, start}};
    for (std::size_t const count : {2UL, 3UL, 4UL, 14UL})
    {
        std::vector<base::time_point> turns;
        for (std::size_t rank = 0; rank < count; ++rank)
        {
            turns.push_back(planned_switch_time(
                {1, named, bound, rank, count, arrival, {}}, 2));
        }
        auto const [first, last] = std::ranges::minmax(turns);
        EXPECT_GE(last - first, lost) << count;
    }
}

} // namespace foxtailvale::weights
