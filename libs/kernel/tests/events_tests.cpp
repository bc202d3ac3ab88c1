#include <kernel/events.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace foxtailvale::kernel
{

namespace
{

std::string read_page(std::string const& name)
{
    std::ifstream file(std::string(FOXTAILVALE_DOCS) + "/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST(events, every_event_and_error_is_in_the_catalogue)
{
    auto const page = read_page("EVENTS.md");
    for (auto const& row : event_table())
    {
        auto const cell = "| " + std::to_string(static_cast<int>(row.id)) +
                          " | `" + std::string(row.name) + "` |";
        EXPECT_NE(page.find(cell), std::string::npos) << cell;
    }
    for (auto const& row : base::error_table())
    {
        auto const cell = "| " + std::to_string(row.event) + " | `" +
                          std::string(row.name) + "` |";
        EXPECT_NE(page.find(cell), std::string::npos) << cell;
    }
}

TEST(errors, every_kind_is_in_the_error_page)
{
    auto const page = read_page("ERRORS.md");
    for (auto const& row : base::error_table())
    {
        std::ostringstream cells;
        cells << "| `" << row.name << "` | " << row.status << " | "
              << to_string(row.ran) << " | " << row.retry_after.count() << " | "
              << row.event << " | " << row.title << " |";
        EXPECT_NE(page.find(cells.str()), std::string::npos) << cells.str();
    }
}

} // namespace foxtailvale::kernel
