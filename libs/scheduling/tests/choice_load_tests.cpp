#include "choice_rig.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::scheduling
{

namespace
{

// Share of first events in time; the sum over several runs, since one run
// varies by a hundredth.
double in_time(rig::load offered, rig::method how)
{
    constexpr int runs = 3;
    auto sum = 0.0;
    for (auto run = 0; run < runs; ++run)
    {
        offered.seed += 77;
        sum += rig::play(offered, how).share() / runs;
    }
    return sum;
}

class choice_load : public testing::TestWithParam<std::size_t>
{
protected:
    void expect_no_fewer_in_time(rig::load offered) const
    {
        offered.entries = GetParam();
        EXPECT_GE(
            in_time(offered, rig::method::sampled),
            in_time(offered, rig::method::least_loaded));
    }
};

} // namespace

// Guards against all entries sending to the engine that is least loaded in the
// same report.
TEST_P(choice_load, even_load)
{
    this->expect_no_fewer_in_time({.has_slow_engines = false});
}

// Guards against sending to engines that have just become slow.
TEST_P(choice_load, a_seventh_of_the_engines_slow)
{
    this->expect_no_fewer_in_time({});
}

TEST_P(choice_load, slow_engines_that_do_not_say_so)
{
    this->expect_no_fewer_in_time({.reports_speed = false});
}

// Guards against a choice that relies on recent reports.
TEST_P(choice_load, half_of_the_reports_lost)
{
    this->expect_no_fewer_in_time({.loses_reports = true});
}

TEST_P(choice_load, half_of_the_entries_without_reports)
{
    this->expect_no_fewer_in_time({.without_reports = 0.5});
}

// Guards against discarding own knowledge where there is no other, as for plain
// services and for an entry alone.
TEST_P(choice_load, no_reports)
{
    this->expect_no_fewer_in_time({.without_reports = 1});
}

TEST_P(choice_load, demand_in_steps_in_one_zone)
{
    this->expect_no_fewer_in_time({.has_step = true});
}

TEST_P(choice_load, one_hot_key)
{
    this->expect_no_fewer_in_time({.has_hot_key = true});
}

INSTANTIATE_TEST_SUITE_P(
    entries, choice_load, testing::Values(8, 40, 150, 500));

} // namespace foxtailvale::scheduling
