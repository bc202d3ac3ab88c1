#include <kernel/registry.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::kernel
{

TEST(registry, starts_after_dependencies_and_stops_in_reverse)
{
    std::vector<std::string> log;
    registry services;
    auto const add =
        [&](std::string const& name, std::vector<std::string> dependencies)
    {
        services.add(
            name, std::make_shared<int>(1), std::move(dependencies),
            [&log, name]
            {
                log.push_back("+" + name);
            },
            [&log, name]
            {
                log.push_back("-" + name);
            });
    };
    add("http", {"core"});
    add("core", {"loop"});
    add("loop", {});
    ASSERT_TRUE(services.start_all().has_value());
    services.stop_all();
    services.stop_all();
    std::vector<std::string> const expected{"+loop", "+core", "+http",
                                            "-http", "-core", "-loop"};
    EXPECT_EQ(log, expected);
    EXPECT_EQ(*services.get<int>("core"), 1);
}

TEST(registry, rejects_cycles_and_missing_dependencies_before_starting)
{
    registry cyclic;
    bool started = false;
    auto const start = [&started]
    {
        started = true;
    };
    cyclic.add("a", std::make_shared<int>(), {"b"}, start);
    cyclic.add("b", std::make_shared<int>(), {"a"}, start);
    EXPECT_FALSE(cyclic.start_all().has_value());

    registry missing;
    missing.add("a", std::make_shared<int>(), {"nobody"}, start);
    EXPECT_FALSE(missing.start_all().has_value());
    EXPECT_FALSE(started);
}

} // namespace foxtailvale::kernel
