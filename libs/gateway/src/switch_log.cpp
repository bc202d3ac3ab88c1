#include "switch_log.hpp"

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds min_turn_change{100};
// The engine is polled every 0.1 s, and verifying the staged chunks takes time.
constexpr milliseconds expected_delay{150};
constexpr milliseconds log_interval{250};

std::int64_t ms_of(base::duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

std::optional<switch_plan> plan_of(
    weights::switch_context const& ask,
    std::uint64_t target,
    std::optional<std::size_t> missing)
{
    auto const first = std::ranges::find_if(
        ask.targets,
        [&ask](weights::announced_target const& named)
        {
            return named.version > ask.serving;
        });
    if (ask.serving == 0 || first == ask.targets.end())
    {
        return std::nullopt;
    }
    switch_plan made;
    made.serving = ask.serving;
    made.target = target;
    made.first = first->version;
    made.announced_at = first->named;
    made.turn = weights::planned_switch_time(ask, target);
    made.bound = ask.bound;
    made.missing = missing;
    return made;
}

bool should_log_plan(
    logged_plan const& last_logged,
    switch_plan const& plan,
    base::time_point now)
{
    if (!last_logged.plan)
    {
        return true;
    }
    if (now < last_logged.at + log_interval)
    {
        return false;
    }
    auto const turn_change = plan.turn > last_logged.plan->turn
                                 ? plan.turn - last_logged.plan->turn
                                 : last_logged.plan->turn - plan.turn;
    return last_logged.plan->serving != plan.serving ||
           last_logged.plan->target != plan.target ||
           turn_change > min_turn_change;
}

char const* late_by(
    switch_plan const& plan, switch_steps const& steps, base::time_point now)
{
    if (now <= plan.turn + expected_delay)
    {
        return "none";
    }
    auto const ready = std::max(plan.turn, steps.staged.value_or(plan.turn));
    auto const staging = ready - plan.turn;
    auto const waiting = steps.verify_began - ready;
    auto const looking = now - steps.verify_began;
    if (staging >= waiting && staging >= looking)
    {
        return "staging";
    }
    return waiting >= looking ? "wait" : "look";
}

nlohmann::json fields_of(switch_plan const& plan)
{
    return {
        {"version", plan.target},
        {"from_version", plan.serving},
        {"first_newer", plan.first},
        {"turn_ms", ms_of(plan.turn - plan.announced_at)},
        {"bound_ms", plan.bound.count()},
        {"skips", plan.first != plan.target},
        {"missing",
         plan.missing ? static_cast<std::int64_t>(*plan.missing) : -1}};
}

void add_times(
    nlohmann::json& fields, switch_plan const& plan, base::time_point now)
{
    fields["after_ms"] = ms_of(now - plan.announced_at);
    fields["left_ms"] = ms_of(plan.announced_at + plan.bound - now);
}

void add_steps(
    nlohmann::json& fields,
    switch_plan const& plan,
    switch_steps const& steps,
    base::time_point now)
{
    // A version may have become complete before the one in use was superseded.
    auto const since = [&plan](std::optional<base::time_point> const& then)
    {
        return then ? nlohmann::json(ms_of(*then - plan.announced_at))
                    : nlohmann::json();
    };
    fields["turn_ms"] = ms_of(plan.turn - plan.announced_at);
    fields["late_ms"] = ms_of(now - plan.turn);
    fields["late_by"] = late_by(plan, steps, now);
    fields["whole_ms"] = since(steps.complete_at);
    fields["staged_ms"] = since(steps.staged);
    fields["look_ms"] = ms_of(now - steps.verify_began);
}

} // namespace foxtailvale::gateway
