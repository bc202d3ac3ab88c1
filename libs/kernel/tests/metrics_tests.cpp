#include <kernel/metrics.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::kernel
{

namespace
{

std::string series(char const* family, base::error_kind kind, char const* value)
{
    return std::string(family) + "{reason=\"" +
           std::string(base::row_of(kind).name) + "\"} " + value + "\n";
}

bool exposes_line(metrics const& counters, std::string const& line)
{
    return counters.expose().find(line) != std::string::npos;
}

} // namespace

// Operators monitor refusals by reason. A counter that does not exist until its
// kind first occurs cannot be told from a kind that is not counted at all.
TEST(metrics, every_error_kind_has_its_counters_from_the_start)
{
    metrics const counters;
    for (auto const& row : base::error_table())
    {
        EXPECT_TRUE(exposes_line(
            counters, series("foxtailvale_errors_total", row.kind, "0")))
            << row.name;
        EXPECT_TRUE(exposes_line(
            counters, series("foxtailvale_retries_total", row.kind, "0")))
            << row.name;
    }
}

TEST(metrics, each_kind_is_counted_under_its_own_reason)
{
    for (auto const& counted : base::error_table())
    {
        metrics counters;
        counters.count_error(counted.kind);
        for (auto const& row : base::error_table())
        {
            auto const* const value = row.kind == counted.kind ? "1" : "0";
            EXPECT_TRUE(exposes_line(
                counters, series("foxtailvale_errors_total", row.kind, value)))
                << row.name;
        }
    }
}

} // namespace foxtailvale::kernel
