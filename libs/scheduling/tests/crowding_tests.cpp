#include "choice_rig.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::scheduling
{

namespace
{

class crowding : public testing::TestWithParam<std::size_t>
{
};

} // namespace

// Guards against engines that are sent several requests at once while others of
// the domain get none.
TEST_P(crowding, at_even_load_one_engine_at_most_gets_twice_the_mean)
{
    rig::load const even{.entries = GetParam(), .has_slow_engines = false};
    EXPECT_LE(rig::play(even, rig::method::sampled).crowded, 1);
}

INSTANTIATE_TEST_SUITE_P(entries, crowding, testing::Values(8, 40, 150, 500));

} // namespace foxtailvale::scheduling
