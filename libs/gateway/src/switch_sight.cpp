#include "switch_sight.hpp"

#include <algorithm>

namespace foxtailvale::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds least_move{100};
// The engine is polled every tenth of a second, and the look takes its time.
constexpr milliseconds usual_delay{150};
constexpr milliseconds between_lines{250};

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
    made.named = first->named;
    made.turn = weights::planned_switch_time(ask, target);
    made.bound = ask.bound;
    made.missing = missing;
    return made;
}

bool is_news(
    told_plan const& told, switch_plan const& plan, base::time_point now)
{
    if (!told.plan)
    {
        return true;
    }
    if (now < told.at + between_lines)
    {
        return false;
    }
    auto const moved = plan.turn > told.plan->turn
                           ? plan.turn - told.plan->turn
                           : told.plan->turn - plan.turn;
    return told.plan->serving != plan.serving ||
           told.plan->target != plan.target || moved > least_move;
}

char const* late_by(
    switch_plan const& plan, switch_steps const& steps, base::time_point now)
{
    if (now <= plan.turn + usual_delay)
    {
        return "none";
    }
    auto const ready = std::max(plan.turn, steps.staged.value_or(plan.turn));
    auto const staging = ready - plan.turn;
    auto const waiting = steps.look_began - ready;
    auto const looking = now - steps.look_began;
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
        {"turn_ms", ms_of(plan.turn - plan.named)},
        {"bound_ms", plan.bound.count()},
        {"skips", plan.first != plan.target},
        {"missing",
         plan.missing ? static_cast<std::int64_t>(*plan.missing) : -1}};
}

void add_times(
    nlohmann::json& fields, switch_plan const& plan, base::time_point now)
{
    fields["after_ms"] = ms_of(now - plan.named);
    fields["left_ms"] = ms_of(plan.named + plan.bound - now);
}

void add_steps(
    nlohmann::json& fields,
    switch_plan const& plan,
    switch_steps const& steps,
    base::time_point now)
{
    // A version may have been whole before the one in use was followed.
    auto const since = [&plan](std::optional<base::time_point> const& then)
    {
        return then ? nlohmann::json(ms_of(*then - plan.named))
                    : nlohmann::json();
    };
    fields["turn_ms"] = ms_of(plan.turn - plan.named);
    fields["late_ms"] = ms_of(now - plan.turn);
    fields["late_by"] = late_by(plan, steps, now);
    fields["whole_ms"] = since(steps.whole);
    fields["staged_ms"] = since(steps.staged);
    fields["look_ms"] = ms_of(now - steps.look_began);
}

} // namespace foxtailvale::gateway
