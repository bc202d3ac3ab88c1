#include <release/settings.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace foxtailvale::release
{

namespace
{

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    EXPECT_TRUE(file) << path;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

class broken_settings : public ::testing::TestWithParam<char const*>
{
};

} // namespace

// Guards against a check that stops at the first fault: an operator who runs
// the entry with --check on a faulty settings file must get every fault with
// its line and path in one run, instead of correcting and starting a fleet
// fault by fault.
TEST_P(broken_settings, each_fault_is_reported_with_its_line)
{
    auto const folder = std::string(FOXTAILVALE_FIXTURES) + "/";
    auto const name = std::string(GetParam());
    auto source =
        parse_document(name + ".json", read_file(folder + name + ".json"));
    if (source.faults.empty())
    {
        read_entry_settings(source);
    }
    EXPECT_FALSE(source.faults.empty());
    EXPECT_EQ(
        describe(source, source.faults),
        read_file(folder + name + ".expected"));
}

INSTANTIATE_TEST_SUITE_P(
    all,
    broken_settings,
    ::testing::Values(
        "bad_address_rewrites",
        "bad_platform",
        "duplicate_key",
        "many_faults",
        "missing_values",
        "not_an_object",
        "out_of_range",
        "syntax_error",
        "unclosed_comment",
        "unknown_key",
        "wrong_types"),
    [](auto const& entry)
    {
        return std::string(entry.param);
    });

} // namespace foxtailvale::release
