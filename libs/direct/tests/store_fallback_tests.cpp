#include <base/random.hpp>
#include <direct/store_fallback.hpp>

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

base::time_point const start{std::chrono::seconds(100)};

double random_fraction(base::random_state& random)
{
    return static_cast<double>(base::random_below(random, 1000)) / 1000;
}

// Returns the reads of this many agents in each second while no entry answers.
std::map<std::int64_t, std::size_t> reads_of(std::size_t agents)
{
    base::random_state random{5};
    std::vector<store_fallback> all(agents);
    std::map<std::int64_t, std::size_t> reads;
    for (auto& one : all)
    {
        note_answered(one, start);
    }
    for (milliseconds passed{0}; passed < std::chrono::seconds(60);
         passed += milliseconds(100))
    {
        for (auto& one : all)
        {
            if (may_read_store(
                    one, list_need::model, start + passed,
                    random_fraction(random)))
            {
                ++reads[passed.count() / 1000];
            }
        }
    }
    return reads;
}

} // namespace

// Failure: agents read the store before entries can know them.
TEST(store_fallback, whoever_starts_leaves_the_store_alone_for_four_seconds)
{
    for (std::size_t const agents : {20U, 178U, 434U})
    {
        auto const reads = reads_of(agents);
        EXPECT_GE(reads.begin()->first, 4);
    }
}

// Failure: agents all read at once, or continue at the same rate when the links
// are full. At most a third of them may read in the same second, and later at
// most an eighth.
TEST(store_fallback, reads_are_spread_and_become_rare)
{
    for (std::size_t const agents : {100U, 178U, 434U})
    {
        for (auto const& [second, count] : reads_of(agents))
        {
            EXPECT_LE(count, second < 30 ? agents / 3 : agents / 8)
                << second << " s, " << agents << " agents";
        }
    }
}

TEST(store_fallback, an_entrys_answer_begins_it_anew)
{
    store_fallback one;
    note_answered(one, start);
    auto const reads = [&one](std::int64_t passed)
    {
        return may_read_store(
            one, list_need::model, start + milliseconds(passed), 0);
    };
    EXPECT_FALSE(reads(3900));
    EXPECT_TRUE(reads(4000));
    EXPECT_FALSE(reads(7900));
    EXPECT_TRUE(reads(8000));
    note_answered(one, start + milliseconds(8100));
    EXPECT_FALSE(reads(12000));
    EXPECT_TRUE(reads(12100));
}

// Failure: a version waits for lists that no entry sends.
TEST(store_fallback, a_transfer_reads_once_without_delay)
{
    store_fallback one;
    note_answered(one, start);
    auto const reads = [&one](list_need need, std::int64_t passed)
    {
        return may_read_store(one, need, start + milliseconds(passed), 0);
    };
    EXPECT_FALSE(reads(list_need::model, 300));
    EXPECT_TRUE(reads(list_need::transfer, 400));
    EXPECT_FALSE(reads(list_need::transfer, 4300));
    EXPECT_TRUE(reads(list_need::transfer, 4400));
}

} // namespace foxtailvale::direct
