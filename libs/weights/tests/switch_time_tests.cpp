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

// How long an engine is out of service when it switches: running requests end
// or are cut off, and the weights are loaded.
milliseconds const switch_downtime{1400};

// Time from the announcement of a version until an agent has all its chunks.
milliseconds const arrival{3200};

// What an engine knows at `now` when chunks arrive `arrival` after an
// announcement.
switch_context make_context(
    std::uint64_t serving,
    std::vector<announced_target> const& known,
    std::size_t rank,
    std::size_t count,
    base::time_point now)
{
    switch_context context{serving, known, bound, rank, count, arrival, {}};
    context.whole =
        [known, now](std::uint64_t version) -> std::optional<base::time_point>
    {
        auto const found =
            std::ranges::find(known, version, &announced_target::version);
        auto const at = found->named + arrival;
        return now >= at ? std::optional(at) : std::nullopt;
    };
    return context;
}

// An engine of a simulated failure domain.
struct engine
{
    std::uint64_t serving = 1;
    std::size_t switches = 0;
    base::time_point back_in_service;
    std::map<std::uint64_t, base::time_point> reached;
};

struct domain_outcome
{
    std::vector<engine> engines;
    std::size_t max_out_of_service = 0;
};

// Simulates a failure domain in which versions are announced at these times.
domain_outcome
run_domain(std::size_t count, std::vector<announced_target> const& named)
{
    domain_outcome result;
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
        std::size_t out_of_service = 0;
        for (std::size_t rank = 0; rank < count; ++rank)
        {
            auto& own = result.engines[rank];
            if (now < own.back_in_service)
            {
                ++out_of_service;
                continue;
            }
            auto const context =
                make_context(own.serving, known, rank, count, now);
            auto const target = choose_target(context);
            if (target <= own.serving)
            {
                continue;
            }
            auto const found =
                std::ranges::find(known, target, &announced_target::version);
            if (now >= planned_switch_time(context, target) &&
                now >= found->named + arrival)
            {
                own.serving = target;
                own.back_in_service = now + switch_downtime;
                own.reached[target] = now;
                ++own.switches;
                ++out_of_service;
            }
        }
        result.max_out_of_service =
            std::max(result.max_out_of_service, out_of_service);
    }
    return result;
}

} // namespace

// A version is announced under live traffic. If all engines switched as soon as
// the chunks arrive, no engine would serve requests for two seconds.
TEST(switch_time, engines_take_turns_within_the_bound)
{
    for (std::size_t const count : {1UL, 3UL, 14UL, 52UL})
    {
        auto const result = run_domain(count, {{2, start}});
        for (auto const& own : result.engines)
        {
            EXPECT_EQ(own.serving, 2U);
            EXPECT_EQ(own.switches, 1U);
            EXPECT_LE(own.reached.at(2), start + bound);
        }
        if (count >= 4)
        {
            EXPECT_LE(result.max_out_of_service, count / 2 + 1) << count;
        }
    }
}

// A second version is announced four seconds after the first. If every engine
// switched to both, each would be out of service twice, and the remaining ones
// could not handle the traffic.
TEST(switch_time, half_of_the_engines_skip_a_version_that_is_soon_superseded)
{
    for (std::size_t const count : {4UL, 14UL, 52UL})
    {
        auto const result =
            run_domain(count, {{2, start}, {3, start + seconds(4)}});
        std::size_t switches = 0;
        for (auto const& own : result.engines)
        {
            EXPECT_EQ(own.serving, 3U);
            EXPECT_LE(own.reached.at(3), start + seconds(4) + bound);
            // The version served before was still allowed until then.
            auto const first = own.reached.begin()->second;
            EXPECT_LE(first, start + bound);
            switches += own.switches;
        }
        EXPECT_LE(switches, count * 3 / 2 + 1);
        EXPECT_LE(result.max_out_of_service, count / 2 + 1);
    }
}

// The origin was away, and chunks arrive six seconds after the announcement
// instead of three, after all turns have passed. If all engines switched at
// once, no engine would serve requests for more than a second.
TEST(switch_time, engines_take_turns_also_when_chunks_come_late)
{
    constexpr std::size_t count = 14;
    std::vector<announced_target> const named{{2, start}};
    auto const late = start + milliseconds(5500);
    std::vector<base::time_point> turns;
    for (std::size_t rank = 0; rank < count; ++rank)
    {
        auto context = make_context(1, named, rank, count, start);
        context.whole = [late](std::uint64_t) -> std::optional<base::time_point>
        {
            return late;
        };
        turns.push_back(planned_switch_time(context, 2));
    }
    std::ranges::sort(turns);
    EXPECT_GE(turns.front(), late);
    EXPECT_LE(turns.back(), start + bound);
    for (std::size_t rank = 1; rank < count; ++rank)
    {
        EXPECT_GE(turns[rank] - turns[rank - 1], milliseconds(80));
    }
}

// The chunks of a second version arrive only after the first version has
// expired. An engine that skips the first one is idle for two seconds, which
// costs more than a switch.
TEST(switch_time, a_version_is_not_skipped_when_the_next_one_comes_too_late)
{
    std::vector<announced_target> const named{
        {2, start}, {3, start + seconds(4)}};
    auto const now = start + milliseconds(4100);
    for (std::size_t rank = 0; rank < 14; ++rank)
    {
        auto context = make_context(1, named, rank, 14, now);
        context.arrival = milliseconds(4500);
        EXPECT_EQ(choose_target(context), 2U) << rank;
        context.arrival = milliseconds(3500);
        EXPECT_EQ(choose_target(context), rank < 7 ? 2U : 3U) << rank;
    }
}

TEST(switch_time, all_skip_when_the_newest_comes_early)
{
    auto const result =
        run_domain(14, {{2, start}, {3, start + milliseconds(1500)}});
    for (auto const& own : result.engines)
    {
        EXPECT_EQ(own.switches, 1U);
        EXPECT_EQ(own.serving, 3U);
        EXPECT_LE(own.reached.at(3), start + bound);
    }
}

TEST(switch_time, an_engine_without_weights_switches_at_once)
{
    std::vector<announced_target> const named{{2, start}};
    switch_context const context{0, named, bound, 3, 14, {}, {}};
    EXPECT_EQ(choose_target(context), 2U);
    EXPECT_LE(planned_switch_time(context, 2), start);
}

TEST(switch_time, without_an_announced_version_the_first_is_the_target)
{
    EXPECT_EQ(choose_target({0, {}, bound, 0, 1, {}, {}}), 1U);
}

// A second version is announced two seconds after the first, and the origin
// dies before its chunks were sent. Engines must not wait for it after the
// version that they serve has expired while they hold the first version
// completely.
TEST(
    switch_time,
    a_complete_version_in_between_is_used_when_the_newest_does_not_arrive)
{
    std::vector<announced_target> const named{
        {2, start}, {3, start + seconds(2)}};
    switch_context const context{1, named, bound, 0, 14, arrival, {}};
    ASSERT_EQ(choose_target(context), 3U);
    auto const only_second_complete = [](std::uint64_t version) -> std::size_t
    {
        return version == 2 ? 0 : 64;
    };
    EXPECT_EQ(
        choose_fallback_target(
            context, 3, only_second_complete, start + seconds(4)),
        3U);
    EXPECT_EQ(
        choose_fallback_target(
            context, 3, only_second_complete, start + seconds(6)),
        2U);
    auto const nearly_complete = [](std::uint64_t version) -> std::size_t
    {
        return version == 2 ? 0 : 5;
    };
    EXPECT_EQ(
        choose_fallback_target(context, 3, nearly_complete, start + seconds(7)),
        3U);
    // One switch that is slightly late is better than two switches.
    EXPECT_EQ(
        choose_fallback_target(
            context, 3, nearly_complete, start + milliseconds(7900)),
        3U);
    auto const none = [](std::uint64_t) -> std::size_t
    {
        return 64;
    };
    EXPECT_EQ(choose_fallback_target(context, 3, none, start + seconds(6)), 3U);
}

// Guards against engines that wait for ever for a version that the origin has
// dropped, with a later one complete beside them.
TEST(
    switch_time, a_version_that_does_not_come_gives_way_to_a_complete_later_one)
{
    std::vector<announced_target> const named{
        {2, start}, {3, start + seconds(3)}, {4, start + seconds(6)}};
    switch_context const context{1, named, bound, 0, 4, arrival, {}};
    for (std::size_t const missing : {1UL, 5UL, 64UL})
    {
        auto const only_last_complete =
            [missing](std::uint64_t version) -> std::size_t
        {
            return version == 4 ? 0 : missing;
        };
        EXPECT_EQ(
            choose_fallback_target(
                context, 2, only_last_complete,
                start + bound + milliseconds(1600)),
            4U)
            << missing;
    }
}

// If all engines of a failure domain left a version before the last of them had
// the newer one, streams cut off by a fault could not continue, and callers
// would find no engine.
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
        EXPECT_GE(last - first, switch_downtime) << count;
    }
}

} // namespace foxtailvale::weights
