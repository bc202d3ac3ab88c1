#include <weights/upload_queue.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

base::time_point const start{std::chrono::hours(1)};

} // namespace

TEST(upload_queue, a_request_waits_for_its_chunk_and_goes_out_once)
{
    upload_queue queue;
    EXPECT_TRUE(wait_for_chunk(queue, {"p", "d", 3}));
    EXPECT_TRUE(wait_for_chunk(queue, {"p", "d", 3}));
    EXPECT_TRUE(wait_for_chunk(queue, {"q", "d", 3}));
    EXPECT_EQ(queue.waiting_count, 2U);
    on_chunk_held(queue, "d", 2);
    EXPECT_FALSE(next_upload(queue, start));
    on_chunk_held(queue, "d", 3);
    EXPECT_EQ(next_upload(queue, start)->peer, "p");
    EXPECT_EQ(next_upload(queue, start)->peer, "q");
    EXPECT_FALSE(next_upload(queue, start));
    EXPECT_EQ(queue.waiting_count, 0U);
}

// A faulty peer requests one chunk after the other. The number of waiting
// requests must stay bounded.
TEST(upload_queue, the_number_of_waiting_requests_is_bounded)
{
    upload_queue queue;
    std::uint32_t taken = 0;
    for (std::uint32_t index = 0; index < 20'000; ++index)
    {
        taken += wait_for_chunk(queue, {"p", "d", index}) ? 1 : 0;
    }
    EXPECT_EQ(taken, 8192U);
    EXPECT_EQ(take_waiting(queue, "d", std::nullopt).size(), 8192U);
    EXPECT_TRUE(wait_for_chunk(queue, {"p", "d", 0}));
}

// A burst saturates a VM that answers callers over the same link. Uploads must
// stay below the limit over a second, whatever is requested.
TEST(upload_queue, uploads_stay_below_the_cap)
{
    upload_queue queue;
    queue.bytes_per_second = 1'000'000;
    constexpr std::size_t chunk_bytes = 50'000;
    for (std::uint32_t index = 0; index < 1000; ++index)
    {
        make_ready(queue, {"p", "d", index});
    }
    std::size_t sent = 0;
    for (auto at = start; at < start + milliseconds(1000);
         at += milliseconds(20))
    {
        while (next_upload(queue, at))
        {
            note_sent(queue, chunk_bytes);
            sent += chunk_bytes;
        }
    }
    EXPECT_GE(sent, 900'000U);
    EXPECT_LE(sent, 1'100'000U);
}

} // namespace foxtailvale::weights
