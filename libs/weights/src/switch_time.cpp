#include <weights/switch_time.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

// Times relative to the announcement of a version, as fractions of the bound.

// Assumed arrival of a version's last chunk until an arrival was observed.
constexpr double default_arrival = 0.45;

// Latest switch of the last engine: no request in its queue may begin on the
// old version past the bound.
constexpr double latest_switch = 0.85;

// Entries send requests to an engine on the older version until this time,
// since these requests must begin before the bound.
constexpr double latest_dispatch = 0.85;

// An engine of the earlier half may wait for a newer version until this time,
// because it must be able to serve traffic when the older version expires.
constexpr double early_wait_limit = 0.67;

// An engine that skipped a version may serve its current one until this time.
constexpr double late_service_limit = 0.95;

// The engine's work that a switch costs: while the engine drains, since entries
// send it nothing that may run longer than it has left, and while it loads.
constexpr std::chrono::milliseconds switch_cost{1500};

base::duration fraction_of(std::chrono::milliseconds bound, double share)
{
    return std::chrono::duration_cast<base::duration>(bound * share);
}

// The engine's relative position within its failure domain, between 0 and 1.
double relative_rank(switch_context const& context)
{
    auto const count =
        static_cast<double>(std::max<std::size_t>(1, context.agents));
    return std::min(1.0, (static_cast<double>(context.rank) + 0.5) / count);
}

bool is_in_earlier_half(switch_context const& context)
{
    return relative_rank(context) < 0.5;
}

base::time_point
expected_arrival(switch_context const& context, announced_target const& target)
{
    auto const known =
        context.whole ? context.whole(target.version) : std::nullopt;
    return known.value_or(
        target.named +
        context.arrival.value_or(std::chrono::duration_cast<milliseconds>(
            fraction_of(context.bound, default_arrival))));
}

announced_target const* first_newer_target(switch_context const& context)
{
    auto const found = std::ranges::find_if(
        context.targets,
        [&context](announced_target const& target)
        {
            return target.version > context.serving;
        });
    return found == context.targets.end() ? nullptr : &*found;
}

// The newer version must be complete by this time for an engine to skip
// `first_newer`.
base::time_point skip_deadline(
    bool early,
    switch_context const& context,
    announced_target const& first_newer)
{
    return early
               ? first_newer.named +
                     fraction_of(context.bound, early_wait_limit)
               : first_newer.named +
                     fraction_of(context.bound, latest_dispatch) + switch_cost;
}

// Whether the engines of the later half skip the version that this engine
// serves. They switch to the target as soon as it arrives, because the version
// that they serve has expired.
bool later_half_skips(
    switch_context const& context, announced_target const& target)
{
    return is_in_earlier_half(context) &&
           std::ranges::any_of(
               context.targets,
               [&](announced_target const& other)
               {
                   return other.version < target.version &&
                          other.version == context.serving &&
                          expected_arrival(context, target) <=
                              skip_deadline(false, context, other);
               });
}

} // namespace

std::uint64_t choose_target(switch_context const& context)
{
    if (context.targets.empty())
    {
        return 1;
    }
    auto const* first_newer = first_newer_target(context);
    if (context.serving == 0 || first_newer == nullptr)
    {
        return context.targets.back().version;
    }
    auto chosen = first_newer->version;
    for (auto const& target : context.targets)
    {
        if (target.version > chosen &&
            expected_arrival(context, target) <=
                skip_deadline(
                    is_in_earlier_half(context), context, *first_newer))
        {
            chosen = target.version;
        }
    }
    return chosen;
}

std::uint64_t choose_fallback_target(
    switch_context const& context,
    std::uint64_t chosen,
    std::function<std::size_t(std::uint64_t)> const& chunks_to_come,
    base::time_point now)
{
    auto const* first_newer = first_newer_target(context);
    if (context.serving == 0 || first_newer == nullptr)
    {
        return chosen;
    }
    auto const missing = chunks_to_come(chosen);
    auto const remaining = chunk_interval * static_cast<int>(missing);
    auto const expiry = first_newer->named + context.bound;
    // Chunks that are still missing then may never arrive.
    auto const is_overdue = missing > 0 && now > expiry + switch_cost;
    if (!is_overdue && (remaining < switch_cost || now + remaining <= expiry))
    {
        return chosen;
    }
    auto best = chosen;
    for (auto const& target : context.targets)
    {
        if (target.version > context.serving &&
            chunks_to_come(target.version) == 0)
        {
            best = target.version;
        }
    }
    return best;
}

base::time_point
planned_switch_time(switch_context const& context, std::uint64_t target)
{
    auto const found =
        std::ranges::find(context.targets, target, &announced_target::version);
    auto const* first_newer = first_newer_target(context);
    if (context.serving == 0 || first_newer == nullptr ||
        found == context.targets.end())
    {
        return {};
    }
    auto position = relative_rank(context);
    if (later_half_skips(context, *found))
    {
        // The earlier half uses the remaining time alone.
        constexpr double earlier_half_start = 0.42;
        position = earlier_half_start + 2 * (1 - earlier_half_start) * position;
    }
    auto const first = expected_arrival(context, *found);
    auto last = found->named + fraction_of(context.bound, latest_switch);
    auto const skips = first_newer->version != target;
    if (skips)
    {
        last = std::min(
            last, first_newer->named +
                      fraction_of(context.bound, late_service_limit));
    }
    last = std::max(first, last);
    return first + std::chrono::duration_cast<base::duration>(
                       (last - first) * position);
}

} // namespace foxtailvale::weights
