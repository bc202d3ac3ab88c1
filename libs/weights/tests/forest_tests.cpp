#include <weights/forest.hpp>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace foxtailvale::weights
{

namespace
{

std::string const digest = "d";

plan_set plans_of(std::map<std::string, std::string> const& domains, int agents)
{
    plan_set plans;
    for (auto const& [domain, region] : domains)
    {
        auto& plan = plans[domain];
        plan.failure_domain = domain;
        plan.region = region;
        for (int number = 0; number < agents; ++number)
        {
            auto const name = domain + std::to_string(100 + number);
            plan.endpoints.push_back({name, name, {{"m", digest}}});
        }
    }
    return plans;
}

// The source that an agent chooses when all agents are usable.
chunk_source first_choice(
    plan_set const& plans,
    std::string const& domain,
    control::plan_endpoint const& endpoint,
    std::uint32_t chunk)
{
    auto const sources =
        sources_of(plans, domain, endpoint.agent, digest, chunk);
    return choose_source(
        sources.value(), {[](std::string const&)
                          {
                              return true;
                          },
                          {}});
}

} // namespace

TEST(forest, one_import_per_region_and_one_per_domain)
{
    auto const plans = plans_of({{"a", "r"}, {"b", "r"}, {"c", "s"}}, 8);
    for (std::uint32_t chunk = 0; chunk < 20; ++chunk)
    {
        std::map<std::string, int> imports;
        int crossings = 0;
        for (auto const& [domain, plan] : plans)
        {
            for (auto const& endpoint : plan.endpoints)
            {
                auto const first = first_choice(plans, domain, endpoint, chunk);
                imports[plan.region] += first.agent.empty() ? 1 : 0;
                auto const outside =
                    !first.agent.empty() && first.agent.substr(0, 1) != domain;
                crossings += outside ? 1 : 0;
            }
        }
        EXPECT_EQ(imports["r"], 1);
        EXPECT_EQ(imports["s"], 1);
        EXPECT_EQ(crossings, 1);
    }
}

TEST(forest, uploads_even_out_over_the_chunks)
{
    auto const plans = plans_of({{"a", "r"}}, 96);
    constexpr std::uint32_t chunks = 96;
    std::map<std::string, int> uploads;
    for (std::uint32_t chunk = 0; chunk < chunks; ++chunk)
    {
        for (auto const& endpoint : plans.at("a").endpoints)
        {
            ++uploads[first_choice(plans, "a", endpoint, chunk).agent];
        }
    }
    EXPECT_EQ(uploads[""], static_cast<int>(chunks));
    uploads.erase("");
    for (auto const& [agent, count] : uploads)
    {
        EXPECT_LE(count, static_cast<int>(chunks) * 105 / 100) << agent;
    }
}

// A VM dies in the middle of a burst. If all agents below it fell back to the
// origin, its link would carry dozens of copies. Since all agents use the same
// order, only the first live one may.
TEST(forest, one_agent_fetches_in_place_of_a_dead_importer)
{
    auto const plans = plans_of({{"a", "r"}}, 32);
    for (std::uint32_t chunk = 0; chunk < 32; ++chunk)
    {
        std::string importer;
        for (auto const& endpoint : plans.at("a").endpoints)
        {
            auto const place =
                sources_of(plans, "a", endpoint.agent, digest, chunk)->place;
            importer = place == 0 ? endpoint.agent : importer;
        }
        int origin_fetches = 0;
        for (auto const& endpoint : plans.at("a").endpoints)
        {
            auto const sources =
                sources_of(plans, "a", endpoint.agent, digest, chunk);
            auto const is_alive = [&](std::string const& agent)
            {
                return agent != importer;
            };
            auto const source = choose_source(*sources, {is_alive, {}});
            origin_fetches +=
                endpoint.agent != importer && source.agent.empty() ? 1 : 0;
        }
        EXPECT_EQ(origin_fetches, 1) << chunk;
    }
}

} // namespace foxtailvale::weights
