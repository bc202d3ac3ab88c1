#include "page.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace foxtailvale::capacity
{

TEST(capacity_samples, a_slope_extends_what_was_measured)
{
    samples const all{
        {"a", 10, 25, "B"}, {"a", 20, 45, "B"}, {"b", 20, 7, "B"}};
    auto const line = slope_of(all, "a");
    EXPECT_EQ(line.points, 2U);
    EXPECT_DOUBLE_EQ(line.gradient, 2);
    EXPECT_DOUBLE_EQ(line.intercept, 5);
    EXPECT_DOUBLE_EQ(value_at(line, 1500), 3005);
}

TEST(capacity_samples, survive_writing_and_reading)
{
    samples const all{{"a.us", 10, 2.5, "us/event, mean"}};
    auto const read = from_csv(to_csv(all));
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read[0].name, "a.us");
    EXPECT_EQ(read[0].size, 10U);
    EXPECT_DOUBLE_EQ(read[0].value, 2.5);
    EXPECT_EQ(read[0].unit, "us/event, mean");
}

// Guards against a page that reports a limit as met although the figure exceeds
// it or was never measured: machines are bought by this page.
TEST(capacity_page, tells_missed_limits_and_missing_figures)
{
    samples const all{
        {"agent.control.sent_bytes", 100, 500, "B/s"},
        {"agent.control.sent_bytes", 1500, 7500, "B/s"},
        {"agent.control.received_bytes", 100, 0, "B/s"},
        {"agent.control.received_bytes", 1500, 0, "B/s"}};
    auto const text = make_tables(all);
    EXPECT_NE(
        text.find("| agent | messages, B/s | 0.00 | 5 | 7500 | 4096 | "
                  "**not met** | 819 | measured at this size |"),
        std::string::npos)
        << text;
    EXPECT_NE(
        text.find("| entry | memory, process, MiB | 0.00 | 0 | not measured | "
                  "128 | not measured |"),
        std::string::npos)
        << text;
}

// The committed page must be generated from the committed CSV file.
TEST(capacity_page, shows_the_committed_figures)
{
    auto const read = [](char const* name)
    {
        std::ifstream file(std::string(FOXTAILVALE_DOCS) + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    };
    auto const page = read("/CAPACITY.md");
    auto const all = from_csv(read("/measurements/capacity.csv"));
    ASSERT_FALSE(all.empty());
    EXPECT_TRUE(replace_tables(page, make_tables(all)) == page)
        << "run foxtailvale-capacity --page-only";
}

} // namespace foxtailvale::capacity
