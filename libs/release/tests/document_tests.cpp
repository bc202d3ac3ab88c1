#include <release/settings.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::release
{

TEST(document, skips_comments_and_records_positions)
{
    auto const source =
        parse_document("x", "{ // note\n \"a\": 1,\n \"a\": 2}");
    ASSERT_EQ(source.faults.size(), 1U);
    EXPECT_EQ(source.faults[0].path, "/a");
    EXPECT_EQ(source.faults[0].where.line, 3U);
}

TEST(document, reports_the_line_of_a_syntax_error)
{
    auto const source = parse_document("x", "{\n\"a\": \n}");
    ASSERT_EQ(source.faults.size(), 1U);
    EXPECT_EQ(source.faults[0].where.line, 3U);
}

TEST(settings, report_all_faults_at_once)
{
    auto source = parse_document(
        "entry.json",
        "{\"name\": 3,\n \"peer_port\": 99999,\n \"colour\": \"red\"}");
    read_entry_settings(source);
    auto const text = describe(source, source.faults);
    for (auto const* const expected :
         {"entry.json:1", "/name: must be a text", "entry.json:2",
          "/peer_port: must be a whole number", "entry.json:3",
          "/colour: is not a known key", "/caller_port: is missing"})
    {
        EXPECT_NE(text.find(expected), std::string::npos) << expected << text;
    }
}

} // namespace foxtailvale::release
