#include <base/digest.hpp>
#include <base/error.hpp>
#include <base/ids.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>
#include <vector>

namespace foxtailvale::base
{

TEST(error_table, has_one_row_per_kind_in_order)
{
    auto const rows = error_table();
    auto const last = static_cast<std::size_t>(error_kind::internal);
    ASSERT_EQ(rows.size(), last + 1);
    std::set<std::string_view> names;
    std::set<int> events;
    for (std::size_t index = 0; index < rows.size(); ++index)
    {
        EXPECT_EQ(static_cast<std::size_t>(rows[index].kind), index);
        EXPECT_TRUE(names.insert(rows[index].name).second);
        EXPECT_TRUE(events.insert(rows[index].event).second);
        EXPECT_EQ(error_kind_from_name(rows[index].name), rows[index].kind);
    }
}

TEST(digest, matches_the_published_test_vector)
{
    EXPECT_EQ(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a segmentation fault when threads compute digests
// concurrently, as when forty engines verify chunks at the same time. The last
// live digest released OpenSSL's locks while another thread created a digest;
// the whole process crashed and every answer in progress on it was lost.
TEST(digest, is_correct_from_concurrent_threads)
{
    constexpr int rounds = 50'000;
    auto const expected = sha256_hex("abc");
    std::atomic<int> mismatches{0};
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 2; ++thread)
    {
        threads.emplace_back(
            [&]
            {
                for (int round = 0; round < rounds; ++round)
                {
                    mismatches += sha256_hex("abc") == expected ? 0 : 1;
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_EQ(mismatches, 0);
}

TEST(ids, attempt_id_round_trips_through_text)
{
    random_state random{7};
    auto const id = make_attempt_id(random);
    EXPECT_EQ(parse_attempt_id(to_string(id)), id);
    EXPECT_FALSE(parse_attempt_id("not an id"));
    EXPECT_NE(make_attempt_id(random), id);
}

} // namespace foxtailvale::base
