#include "planner_slopes.hpp"

#include "fleet_shape.hpp"

#include <control/membership.hpp>
#include <control/planner.hpp>
#include <weights/forest.hpp>

namespace foxtailvale::capacity
{

namespace
{

constexpr std::uint32_t repetitions = 20;
constexpr std::uint32_t chunks = 400;

// Returns the mean processor time of a call in microseconds.
template <class Function>
double mean_call_us(std::uint32_t call_count, Function const& work)
{
    auto const start = thread_processor_time();
    for (std::uint32_t done = 0; done < call_count; ++done)
    {
        work(done);
    }
    auto const elapsed = thread_processor_time() - start;
    return std::chrono::duration<double, std::micro>(elapsed).count() /
           call_count;
}

} // namespace

void measure_planner(std::uint32_t endpoints, samples& into)
{
    auto const shape = shape_of(endpoints);
    auto const configuration = make_configuration(shape, 1);
    auto const members = members_of(shape, 0);
    auto const plan = make_domain_plan(shape, 0);
    auto const add = [&](char const* name, double value, char const* unit)
    {
        into.push_back({name, endpoints, value, unit});
    };
    auto const time_plan = [&](auto const& previous)
    {
        return mean_call_us(
            repetitions,
            [&](std::uint32_t /*turn*/)
            {
                static_cast<void>(control::make_plan(
                    configuration, domain_name(0), members, previous));
            });
    };
    add("planner.first_plan.us", time_plan(control::domain_plan{}), "us/plan");
    add("planner.same_plan.us", time_plan(plan), "us/plan");

    weights::plan_set plans;
    for (std::uint32_t domain = 0; domain < shape.domains; ++domain)
    {
        plans[domain_name(domain)] = make_domain_plan(shape, domain);
    }
    auto const sources = mean_call_us(
        chunks,
        [&](std::uint32_t chunk)
        {
            static_cast<void>(weights::sources_of(
                plans, domain_name(0), agent_name(shape, 0), digest_of(0),
                chunk));
        });
    add("forest.sources.us", sources, "us/chunk");

    auto const list = make_vm_list(shape);
    auto const parse = mean_call_us(
        repetitions,
        [&](std::uint32_t /*turn*/)
        {
            static_cast<void>(control::parse_vm_list(list));
        });
    add("vm_list.parse.us", parse, "us/list");
    auto const size = [](std::string const& text)
    {
        return static_cast<double>(text.size());
    };
    add("message.vm_list", size(list), "B");
    add("message.plan", size(to_text(plan)), "B");
    add("message.configuration", size(to_text(configuration)), "B");
}

} // namespace foxtailvale::capacity
