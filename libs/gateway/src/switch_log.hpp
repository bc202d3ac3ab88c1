#ifndef FOXTAILVALE_GATEWAY_SWITCH_LOG_HPP
#define FOXTAILVALE_GATEWAY_SWITCH_LOG_HPP

#include <weights/switch_time.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

// Log fields about an engine's switch to another version. Makes no decisions.
// Times count from the announcement of the first version newer than the one in
// use, because that announcement starts the bound on further use of the old
// one.
namespace foxtailvale::gateway
{

// When an engine that serves one version is to switch to another.
struct switch_plan
{
    std::uint64_t serving = 0;
    std::uint64_t target = 0;
    // The first version newer than the one in use, and when it was announced.
    std::uint64_t first = 0;
    base::time_point announced_at;
    base::time_point turn;
    std::chrono::milliseconds bound{0};
    // Number of the target's chunks that are not held; empty without a
    // manifest.
    std::optional<std::size_t> missing;
};

// The plan for this target; nothing when the engine serves no version or the
// newest one.
std::optional<switch_plan> plan_of(
    weights::switch_context const& ask,
    std::uint64_t target,
    std::optional<std::size_t> missing);

// The plan that was logged last.
struct logged_plan
{
    std::optional<switch_plan> plan;
    base::time_point at;
};

// Whether the plan should be logged: its target or served version has changed,
// or its turn has moved by more than 0.1 s, since the last line. Each arriving
// chunk moves the turn, so at most four lines a second are logged.
bool should_log_plan(
    logged_plan const& last_logged,
    switch_plan const& plan,
    base::time_point now);

// When the steps before an order finished.
struct switch_steps
{
    std::optional<base::time_point> complete_at;
    std::optional<base::time_point> staged;
    // When the verification of the staged chunks began.
    base::time_point verify_began;
};

// The step that delayed an order most: "none", "staging" of chunks beside the
// engine, "look" for their verification, or "wait" when the engine was busy or
// did not answer, or this process was delayed.
char const* late_by(
    switch_plan const& plan, switch_steps const& steps, base::time_point now);

nlohmann::json fields_of(switch_plan const& plan);

// Adds the time since the announcement and the time left of the bound.
void add_times(
    nlohmann::json& fields, switch_plan const& plan, base::time_point now);

// Adds the planned turn and the times of the steps before the order.
void add_steps(
    nlohmann::json& fields,
    switch_plan const& plan,
    switch_steps const& steps,
    base::time_point now);

} // namespace foxtailvale::gateway

#endif
