#include <direct/shares.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <string>

namespace foxtailvale::direct
{

namespace
{

base::time_point const start{std::chrono::hours(1)};

// Requests that an entry sends to one cold endpoint within one second.
std::size_t
fill_share(rate_bound const& bound, std::size_t entries, base::time_point now)
{
    std::deque<base::time_point> recent;
    while (may_send_within_share(recent, bound, entries, now))
    {
        recent.push_back(now);
    }
    return recent.size();
}

} // namespace

// Guards against entries that all start again within the second in which they
// sent a cold endpoint what it bears, and send as much once more.
TEST(cold_share, a_restart_of_all_entries_keeps_the_bound)
{
    constexpr std::size_t endpoints = 14;
    for (rate_bound const bound : {rate_bound{54, 5}, rate_bound{39, 5}})
    {
        for (std::size_t const entries : {3U, 6U, 8U, 16U, 45U, 500U})
        {
            std::set<std::string> all;
            for (std::size_t entry = 0; entry < entries; ++entry)
            {
                all.insert("entry-" + std::to_string(entry));
            }
            entry_count heard;
            note_entries(heard, entries, 1, 1, start);
            auto const assumed = assumed_entries(heard, endpoints);
            for (auto number = 0; number < 20; ++number)
            {
                auto const endpoint = "i-" + std::to_string(number);
                std::size_t sent = 0;
                for (auto const& entry : all)
                {
                    if (has_share(all, {}, entry, endpoint, bound))
                    {
                        sent += fill_share(bound, entries, start);
                    }
                    if (has_estimated_share(entry, endpoint, bound, assumed))
                    {
                        sent += fill_share(bound, assumed, start);
                    }
                }
                EXPECT_LE(
                    static_cast<double>(sent),
                    bound.per_second + bound.tolerance)
                    << entries << " entries, " << endpoint;
            }
        }
    }
}

} // namespace foxtailvale::direct
