#include "chaos.hpp"
#include "scenario_file.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace foxtailvale::scenario
{

namespace
{

std::filesystem::path const source(FOXTAILVALE_SOURCE);

std::set<std::string> scenario_paths()
{
    std::set<std::string> found;
    for (auto const& entry :
         std::filesystem::directory_iterator(source / "scenarios"))
    {
        if (entry.path().extension() == ".json")
        {
            found.insert("scenarios/" + entry.path().filename().string());
        }
    }
    return found;
}

std::string read_page(char const* name)
{
    std::ifstream file(source / "docs" / name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns all texts in backticks that look like a path.
std::set<std::string> paths_in_backticks(std::string const& page)
{
    std::set<std::string> found;
    std::regex const path("`([a-z_]+/[A-Za-z0-9_./-]+)`");
    for (std::sregex_iterator next(page.begin(), page.end(), path), end;
         next != end; ++next)
    {
        found.insert((*next)[1]);
    }
    return found;
}

} // namespace

TEST(scenario_files, all_can_be_read)
{
    auto const files = scenario_paths();
    EXPECT_GE(files.size(), 25U);
    for (auto const& file : files)
    {
        std::string faults;
        EXPECT_TRUE(load_scenario((source / file).string(), faults)) << faults;
    }
}

TEST(scenario_files, promises_page_lists_all_scenarios_and_only_existing_paths)
{
    auto const listed = paths_in_backticks(read_page("PROMISES.md"));
    for (auto const& path : listed)
    {
        EXPECT_TRUE(std::filesystem::exists(source / path)) << path;
    }
    for (auto const& file : scenario_paths())
    {
        EXPECT_TRUE(listed.contains(file))
            << file << " is not listed in PROMISES.md";
    }
}

// Guards against a run that starts despite a misspelt step or VM and passes
// because nothing happened.
TEST(scenario_files, a_misspelt_step_or_target_is_a_fault)
{
    auto const path =
        std::filesystem::path(testing::TempDir()) / "misspelt-scenario.json";
    std::ofstream(path)
        << "{\"story\": \"x\", \"deployment\": "
        << source / "scenarios/deployments/two-domains.json"
        << ", \"steps\": [{\"do\": \"kil\", \"target\": "
           "\"split-a-engine-1\"}, {\"do\": \"kill\", \"target\": "
           "\"split-engine-1\"}], \"outcomes\": {}}";
    std::string faults;
    EXPECT_FALSE(load_scenario(path.string(), faults));
    EXPECT_NE(faults.find("no such step: kil"), std::string::npos) << faults;
    EXPECT_NE(faults.find("no such VM"), std::string::npos) << faults;
}

// A seed that broke a promise is saved as a file: the same seed must give the
// same plan, and the file must be readable and give that plan.
TEST(chaos, a_seed_is_reproducible_and_can_be_saved)
{
    auto const fleet_path =
        (source / "scenarios/deployments/two-domains.json").string();
    auto layout = release::load_document(fleet_path);
    auto const fleet = read_deployment(layout);
    for (std::uint64_t seed = 1; seed < 50; ++seed)
    {
        auto const text = to_text(make_chaos(fleet, seed), fleet_path);
        EXPECT_EQ(text, to_text(make_chaos(fleet, seed), fleet_path));
        EXPECT_NE(text, to_text(make_chaos(fleet, seed + 1), fleet_path));
        auto const saved_path =
            std::filesystem::path(testing::TempDir()) / "chaos.json";
        std::ofstream(saved_path) << text;
        std::string faults;
        auto const read = load_scenario(saved_path.string(), faults);
        ASSERT_TRUE(read.has_value()) << faults;
        EXPECT_EQ(to_text(*read, fleet_path), text);
    }
}

TEST(scenario_files, every_step_is_described)
{
    auto const page = read_page("SCENARIOS.md");
    for (auto const kind :
         {step_kind::kill, step_kind::freeze, step_kind::stop, step_kind::start,
          step_kind::domain_out, step_kind::domain_in, step_kind::new_version,
          step_kind::cut_links, step_kind::platform_outage,
          step_kind::platform_slow, step_kind::platform_lose_answers,
          step_kind::origin_outage, step_kind::origin_corrupt,
          step_kind::turn_cold, step_kind::fall_over, step_kind::slow_engine,
          step_kind::crash_request})
    {
        auto const word = "`" + std::string(name_of(kind)) + "`";
        EXPECT_NE(page.find(word), std::string::npos) << word;
    }
}

} // namespace foxtailvale::scenario
