#include "admission_rig.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::scheduling
{

namespace
{

// Rank 2 at twice its load: 0.4 + 0.3 + 0.6 of the capacity, from ten
// workspaces.
rig_setup rank_2_at_twice_its_load(std::size_t entries)
{
    constexpr int workspaces = 10;
    rig_setup setup;
    setup.entries = entries;
    for (int i = 0; i < workspaces; ++i)
    {
        auto const name = "w" + std::to_string(i);
        setup.kinds.push_back({0, name, 0.4 / workspaces});
        setup.kinds.push_back({1, name, 0.3 / workspaces});
        setup.kinds.push_back({2, name, 0.6 / workspaces});
    }
    return setup;
}

} // namespace

// Guards against slots that stay free in some second while requests are
// refused.
TEST(admission_bounds, a_small_fleet_is_nearly_full_in_each_second)
{
    auto const periods = run_rig(rank_2_at_twice_its_load(8), 8);
    for (std::size_t second = 2; second < periods.size(); ++second)
    {
        EXPECT_GE(periods[second].busy, 0.9);
    }
}

// Guards against refusals of the highest rank, whose load is as usual.
TEST(admission_bounds, the_highest_rank_is_served_in_a_small_fleet)
{
    auto const setup = rank_2_at_twice_its_load(8);
    auto const all = sum_of(run_rig(setup, 8), 2, 8);
    rig_tally highest;
    for (std::size_t i = 0; i < setup.kinds.size(); ++i)
    {
        if (setup.kinds[i].rank == 0)
        {
            highest.offered += all.kinds[i].offered;
            highest.started += all.kinds[i].started;
        }
    }
    EXPECT_GE(highest.served(), 0.97);
}

} // namespace foxtailvale::scheduling
