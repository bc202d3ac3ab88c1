#ifndef FOXTAILVALE_GATEWAY_SWITCH_SIGHT_HPP
#define FOXTAILVALE_GATEWAY_SWITCH_SIGHT_HPP

#include <weights/switch_time.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

// What is told of an engine's switch to another version. Decides nothing. Times
// in lines count from the naming of the first version newer than the one in
// use, as its bound ends the use.
namespace foxtailvale::gateway
{

// When an engine that serves one version is to go to another.
struct switch_plan
{
    std::uint64_t serving = 0;
    std::uint64_t target = 0;
    // The first version newer than the one in use, and when it was named.
    std::uint64_t first = 0;
    base::time_point named;
    base::time_point turn;
    std::chrono::milliseconds bound{0};
    // Chunks of the target that are not here; nothing without a manifest.
    std::optional<std::size_t> missing;
};

// The plan for this target; nothing for an engine that serves none or the
// newest.
std::optional<switch_plan> plan_of(
    weights::switch_context const& ask,
    std::uint64_t target,
    std::optional<std::size_t> missing);

// The plan that was told last.
struct told_plan
{
    std::optional<switch_plan> plan;
    base::time_point at;
};

// Whether the plan differs from the one told last by more than a tenth of a
// second. While chunks come the turn moves with each of them, so four lines a
// second are told at most.
bool is_news(
    told_plan const& told, switch_plan const& plan, base::time_point now);

// How the steps before an order went.
struct switch_steps
{
    std::optional<base::time_point> whole;
    std::optional<base::time_point> staged;
    // When the look at what lies staged began.
    base::time_point look_began;
};

// What an order came late by: "none", "staging" of chunks beside the engine,
// the "look" at them, or a "wait" for an engine that was busy or did not
// answer, or of this process.
char const* late_by(
    switch_plan const& plan, switch_steps const& steps, base::time_point now);

nlohmann::json fields_of(switch_plan const& plan);

// Time since the naming, and what is left of the bound.
void add_times(
    nlohmann::json& fields, switch_plan const& plan, base::time_point now);

// The planned turn and the steps before the order.
void add_steps(
    nlohmann::json& fields,
    switch_plan const& plan,
    switch_steps const& steps,
    base::time_point now);

} // namespace foxtailvale::gateway

#endif
