#include <weights/switch_time.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// The figures below are shares of the bound.

// When chunks are taken to be whole, as long as no arrival was seen.
constexpr double usual_arrival = 0.45;

// The last engine goes: nothing that waits in its line may begin past the
// bound.
constexpr double last_turn = 0.85;

// Until then entries send to an engine on the older version: what they send
// must begin before the bound.
constexpr double last_use = 0.85;

// Until then an engine of the earlier half may wait for a newer version: it is
// to carry traffic when the older one ends.
constexpr double early_patience = 0.67;

// Until then one that skipped a version may serve what it has.
constexpr double late_patience = 0.95;

// What a switch costs an engine of its work: while it empties, as entries send
// nothing that may run longer than it has, and while it loads.
constexpr std::chrono::milliseconds switch_cost{1500};

base::duration part_of(std::chrono::milliseconds bound, double share)
{
    return std::chrono::duration_cast<base::duration>(bound * share);
}

// The engine's place among those of its failure domain, from 0 to 1.
double place_of(switch_context const& ask)
{
    auto const count =
        static_cast<double>(std::max<std::size_t>(1, ask.agents));
    return std::min(1.0, (static_cast<double>(ask.rank) + 0.5) / count);
}

bool is_early(switch_context const& ask)
{
    return place_of(ask) < 0.5;
}

base::time_point
expected_arrival(switch_context const& ask, announced_target const& target)
{
    auto const known = ask.whole ? ask.whole(target.version) : std::nullopt;
    return known.value_or(
        target.named +
        ask.arrival.value_or(std::chrono::duration_cast<milliseconds>(
            part_of(ask.bound, usual_arrival))));
}

announced_target const* first_unmet(switch_context const& ask)
{
    auto const found = std::ranges::find_if(
        ask.targets,
        [&ask](announced_target const& target)
        {
            return target.version > ask.serving;
        });
    return found == ask.targets.end() ? nullptr : &*found;
}

// When the newer version must be there for an engine to skip the unmet one.
base::time_point skips_until(
    bool early, switch_context const& ask, announced_target const& unmet)
{
    return early ? unmet.named + part_of(ask.bound, early_patience)
                 : unmet.named + part_of(ask.bound, last_use) + switch_cost;
}

// The later half skips the version that this engine serves and goes to the
// target at once when it comes, as its own has ended.
bool others_skip(switch_context const& ask, announced_target const& target)
{
    return is_early(ask) && std::ranges::any_of(
                                ask.targets,
                                [&](announced_target const& other)
                                {
                                    return other.version < target.version &&
                                           other.version == ask.serving &&
                                           expected_arrival(ask, target) <=
                                               skips_until(false, ask, other);
                                });
}

} // namespace

std::uint64_t choose_target(switch_context const& ask)
{
    if (ask.targets.empty())
    {
        return 1;
    }
    auto const* unmet = first_unmet(ask);
    if (ask.serving == 0 || unmet == nullptr)
    {
        return ask.targets.back().version;
    }
    auto chosen = unmet->version;
    for (auto const& target : ask.targets)
    {
        if (target.version > chosen &&
            expected_arrival(ask, target) <=
                skips_until(is_early(ask), ask, *unmet))
        {
            chosen = target.version;
        }
    }
    return chosen;
}

std::uint64_t choose_fallback_target(
    switch_context const& ask,
    std::uint64_t chosen,
    std::function<std::size_t(std::uint64_t)> const& chunks_to_come,
    base::time_point now)
{
    auto const* unmet = first_unmet(ask);
    if (ask.serving == 0 || unmet == nullptr)
    {
        return chosen;
    }
    auto const left = chunk_interval * static_cast<int>(chunks_to_come(chosen));
    if (left < switch_cost || now + left <= unmet->named + ask.bound)
    {
        return chosen;
    }
    auto best = chosen;
    for (auto const& target : ask.targets)
    {
        if (target.version > ask.serving && target.version < chosen &&
            chunks_to_come(target.version) == 0)
        {
            best = target.version;
        }
    }
    return best;
}

base::time_point
planned_switch_time(switch_context const& ask, std::uint64_t target)
{
    auto const found =
        std::ranges::find(ask.targets, target, &announced_target::version);
    auto const* unmet = first_unmet(ask);
    if (ask.serving == 0 || unmet == nullptr || found == ask.targets.end())
    {
        return {};
    }
    auto place = place_of(ask);
    if (others_skip(ask, *found))
    {
        // The earlier half has the rest of the time to itself.
        constexpr double after_others = 0.42;
        place = after_others + 2 * (1 - after_others) * place;
    }
    auto const first = expected_arrival(ask, *found);
    auto last = found->named + part_of(ask.bound, last_turn);
    auto const skips = unmet->version != target;
    if (skips)
    {
        last = std::min(last, unmet->named + part_of(ask.bound, late_patience));
    }
    last = std::max(first, last);
    return first +
           std::chrono::duration_cast<base::duration>((last - first) * place);
}

} // namespace foxtailvale::weights
