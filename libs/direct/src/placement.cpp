#include <base/digest.hpp>
#include <direct/placement.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace foxtailvale::direct
{

namespace
{

// Added to the relative load of an endpoint in another failure domain.
constexpr double remote_cost = 0.25;

// Added where answers are mostly faults or the agent is silent; more than any
// relative load, so that such an endpoint comes after all others.
constexpr double distrust_cost = 10;

// Share of faults beyond which an endpoint is distrusted: more than plain
// services fail by themselves.
constexpr double most_faults = 0.3;

constexpr double random_share = 0.05;

// Entries that may send to an endpoint for each free slot, and how long a draw
// counts: the agents of the own failure domain report as often.
constexpr double entries_per_slot = 4;
constexpr std::chrono::milliseconds lot_time{100};

// Requests that are done by a version's end at no moment are sent to it until
// this long before: time enough to begin.
constexpr std::chrono::milliseconds long_notice{3000};

double draw(base::random_state& random)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(base::random_below(random, steps)) /
           static_cast<double>(steps);
}

// Whether the endpoint could take such a request at all.
bool is_listed_for(
    endpoint_table const& book,
    endpoint_state const& state,
    placement_query const& ask)
{
    auto const& listed = state.listed;
    if (listed.service != ask.service || listed.draining ||
        book.domains_out.contains(listed.failure_domain))
    {
        return false;
    }
    if (ask.regions.empty())
    {
        return true;
    }
    auto const region = book.regions.find(listed.failure_domain);
    return region != book.regions.end() && ask.regions.contains(region->second);
}

// How long a request may wait at the endpoint before it begins. What is sent
// later than that before a version's end is mostly turned away there.
base::duration time_to_begin(
    endpoint_state const& state, std::size_t entries, base::time_point now)
{
    constexpr std::chrono::milliseconds with_a_slot{450};
    constexpr std::chrono::milliseconds in_line{500};
    // Each of many entries may have sent one more on the same report; lots
    // bound how many do, however many entries there are.
    constexpr std::size_t few_entries = 8;
    constexpr std::size_t most_more = 32;
    constexpr std::chrono::milliseconds each_more{25};
    auto const others = entries - std::min(entries, few_entries);
    auto const more = each_more * static_cast<int>(std::min(others, most_more));
    auto const work = work_at(state, entries, now);
    auto const slots = state.listed.slots;
    auto const begins = with_a_slot + more;
    return work < slots ? begins : begins + in_line * (work - slots + 1);
}

// Whether the request is likely to be done when the endpoint's version ends, so
// that this end can be its deadline.
bool is_done_by(
    base::time_point ends, placement_query const& ask, base::time_point now)
{
    return now + ask.expected < ends;
}

// Whether a request needs longer than the version may be used after the next
// one's naming, so that it is done by the end at no moment after that.
bool never_fits(
    endpoint_table const& book,
    placement_query const& ask,
    std::uint64_t version,
    base::time_point ends)
{
    auto const named = superseded_at(book, ask.model, version);
    return named && *named + ask.expected >= ends;
}

// Whether a request may be sent to an endpoint whose version ends.
bool may_go_before(
    base::time_point ends,
    endpoint_table const& book,
    endpoint_state const& state,
    placement_query const& ask,
    base::time_point now)
{
    if (now + time_to_begin(state, ask.entries, now) >= ends)
    {
        return false;
    }
    // A stream that goes on has nowhere else to go.
    if (ask.version != 0 || is_done_by(ends, ask, now))
    {
        return true;
    }
    auto const version = weights_of(state, now).version;
    return never_fits(book, ask, version, ends) && now + long_notice <= ends;
}

bool has_weights(
    endpoint_table const& book,
    endpoint_state const& state,
    placement_query const& ask,
    base::time_point now)
{
    if (ask.model.empty())
    {
        return true;
    }
    // Failure: all machines lose power, engines come back empty at the same
    // addresses, and entries that have just started go by the list, which still
    // shows what they held. Each request was turned away, and the repeats of
    // the next ten seconds were spent on that. An agent that lives reports
    // within half a second.
    if (ask.newcomer && !state.report)
    {
        return false;
    }
    auto const& weights = weights_of(state, now);
    if (!weights.whole || weights.model != ask.model)
    {
        return false;
    }
    if (ask.version != 0 && weights.version != ask.version)
    {
        return false;
    }
    auto const ends = version_retires_at(book, ask.model, weights.version);
    return !ends || may_go_before(*ends, book, state, ask, now);
}

// Slots that the last report left free, over all entries.
std::int64_t free_slots(endpoint_state const& state, std::int32_t depth)
{
    auto const used = static_cast<std::int64_t>(state.report->running) +
                      state.report->waiting;
    return static_cast<std::int64_t>(state.listed.slots) + depth - used;
}

// Whether this entry may send to the endpoint in this tenth of a second. All
// entries see the same report, so where few slots are free all of them would
// send there at once, and the requests wait for each other at the endpoint. As
// many entries as there are free slots, and some more since not all have a
// request, draw the lot; the next draw is a tenth of a second later.
bool draws_lot(
    endpoint_state const& state,
    placement_query const& ask,
    base::time_point now)
{
    if (ask.entries <= 1 || !is_fresh(state, now))
    {
        return true;
    }
    auto const share = entries_per_slot *
                       static_cast<double>(free_slots(state, ask.depth)) /
                       static_cast<double>(ask.entries);
    if (share >= 1)
    {
        return true;
    }
    auto const draw = now.time_since_epoch() / lot_time;
    auto const lot = base::stable_hash(
        ask.own_entry + "/" + state.listed.id,
        static_cast<std::uint64_t>(draw));
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(lot % steps) / steps < share;
}

// Whether this entry may try an endpoint that fell silent: one of all entries a
// second, on average, and none that waits for an answer there. Failure: engines
// stood still, and what entries had gone on sending to them ran at their
// return, after its callers had left.
bool may_try(
    endpoint_state const& state,
    placement_query const& ask,
    base::time_point now)
{
    if (state.own_running > 0)
    {
        return false;
    }
    auto const second = std::chrono::floor<std::chrono::seconds>(now);
    auto const lot = base::stable_hash(
        ask.own_entry + "/" + state.listed.id,
        static_cast<std::uint64_t>(second.time_since_epoch().count()));
    return lot % std::max<std::size_t>(ask.entries, 1) == 0;
}

// Entries of failure domains in which nothing can serve the request.
std::set<std::string> entries_without_endpoints(
    endpoint_table const& book, placement_query const& ask)
{
    std::set<std::string_view> served;
    for (auto const& [id, state] : book.endpoints)
    {
        if (is_listed_for(book, state, ask))
        {
            served.insert(state.listed.failure_domain);
        }
    }
    std::set<std::string> found;
    for (auto const& [domain, entries] : book.domain_entries)
    {
        if (!served.contains(domain))
        {
            found.insert(entries.begin(), entries.end());
        }
    }
    return found;
}

std::uint64_t key_of(std::set<std::string> const& names)
{
    std::uint64_t key = 0;
    for (auto const& name : names)
    {
        key = base::stable_hash(name, key);
    }
    return key;
}

// Whether this entry is one of those that share what the endpoint bears.
bool takes_part_of(
    endpoint_state const& state,
    placement_query const& ask,
    entry_ranks const& ranks)
{
    share_cache none;
    return has_part(
        ask.parts != nullptr ? *ask.parts : none, *ask.all_entries, ranks,
        ask.own_entry, state.listed.id, ask.cold);
}

bool takes_work(
    endpoint_state const& state,
    placement_query const& ask,
    entry_ranks const& ranks,
    base::time_point now)
{
    if (state.avoid_until > now || !draws_lot(state, ask, now))
    {
        return false;
    }
    if (is_silent(state, now) && !may_try(state, ask, now))
    {
        return false;
    }
    if (is_fresh(state, now) &&
        (state.report->switching || state.report->unreachable))
    {
        return false;
    }
    if (is_fresh(state, now) && state.report->switches_at && ask.version == 0 &&
        now + ask.expected > *state.report->switches_at)
    {
        return false;
    }
    auto const sharing = ask.newcomer ? ask.assumed_entries : ask.entries;
    if (ask.newcomer &&
        !has_estimated_share(ask.own_entry, state.listed.id, ask.cold, sharing))
    {
        return false;
    }
    if (!may_send_within_part(state.recent, ask.cold, sharing, now))
    {
        return false;
    }
    if (static_cast<std::int64_t>(work_at(state, ask.entries, now)) >=
        static_cast<std::int64_t>(state.listed.slots) + ask.depth)
    {
        return false;
    }
    return ask.all_entries == nullptr || takes_part_of(state, ask, ranks);
}

placement_estimate expect(
    endpoint_table const& book,
    endpoint_state const& state,
    placement_query const& ask,
    base::time_point now)
{
    placement_estimate found;
    found.slots = state.listed.slots;
    found.work = work_at(state, ask.entries, now);
    found.begins = now + time_to_begin(state, ask.entries, now);
    if (state.report)
    {
        found.line = state.report->waiting;
        found.report_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - state.reported);
    }
    if (!ask.model.empty())
    {
        found.ends =
            version_retires_at(book, ask.model, weights_of(state, now).version);
    }
    return found;
}

// The deadline that the version's end sets, where it sets one.
std::optional<base::time_point> works_until(
    std::optional<base::time_point> ends,
    placement_query const& ask,
    base::time_point now)
{
    auto const sets = ends && (ask.version != 0 || is_done_by(*ends, ask, now));
    return sets ? ends : std::nullopt;
}

bool is_distrusted(endpoint_state const& state, base::time_point now)
{
    auto const unreported = state.report && !is_fresh(state, now);
    return unreported || is_stalled(state, now) ||
           state.fault_share > most_faults;
}

} // namespace

std::uint32_t
work_at(endpoint_state const& state, std::size_t entries, base::time_point now)
{
    if (!is_fresh(state, now))
    {
        // Others are assumed to send as much as this entry does, up to a
        // limit that leaves an endpoint without an agent usable.
        auto const others = std::min<std::size_t>(entries, 2);
        return state.own_running * static_cast<std::uint32_t>(others);
    }
    // All others are assumed to have sent as much since the report as this
    // entry. Failure: an engine comes back while few others serve, all entries
    // send what waits in the same tenth of a second, and a request waits for
    // more than a second in the engine's queue.
    auto const all = static_cast<std::int64_t>(entries);
    auto const change =
        state.own_change > 0 ? state.own_change * all : state.own_change;
    auto const known = static_cast<std::int64_t>(state.report->running) +
                       state.report->waiting + change;
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(known, state.own_running));
}

std::chrono::milliseconds expected_time(
    routing::engine_costs const& costs,
    std::uint64_t prompt_tokens,
    std::uint64_t answer_tokens)
{
    // Prompts of others are read between the steps.
    constexpr double reading = 1.6;
    auto const prompt = prompt_tokens > 0 ? static_cast<double>(prompt_tokens)
                                          : costs.usual_prompt;
    auto const answer = answer_tokens > 0 ? static_cast<double>(answer_tokens)
                                          : costs.usual_answer;
    auto const step =
        (costs.step + costs.step_per_request * (costs.slots / 2.0)).count();
    auto const read =
        costs.read_per_second > 0 ? 1000 * prompt / costs.read_per_second : 0.0;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(read + reading * answer * step));
}

std::chrono::milliseconds max_wait(
    std::chrono::milliseconds goal, request::measured_time const& first_event)
{
    constexpr int least_share = 5;
    constexpr int most_share = 2;
    if (!first_event.known)
    {
        return goal / most_share;
    }
    auto const usual = std::chrono::duration_cast<std::chrono::milliseconds>(
        first_event.mean + first_event.deviation / 2);
    return std::clamp(goal - usual, goal / least_share, goal / most_share);
}

std::int32_t depth_for_expired_goal(std::uint32_t slots)
{
    constexpr std::uint32_t share = 12;
    return -static_cast<std::int32_t>(slots / share);
}

base::time_point
endpoint_deadline(choice const& chosen, base::time_point deadline)
{
    return std::min(deadline, chosen.works_until.value_or(deadline));
}

std::optional<base::time_point> must_begin_by(
    endpoint_table const& book,
    std::string const& model,
    std::uint64_t version,
    base::time_point handed)
{
    // Time for the endpoint to say that it did not run what its deadline ended.
    constexpr std::chrono::milliseconds answer_time{100};
    auto const ends = version_retires_at(book, model, version);
    if (!ends)
    {
        return std::nullopt;
    }
    return handed > *ends ? *ends : *ends + answer_time;
}

choice choose(
    endpoint_table const& book,
    placement_query const& ask,
    base::time_point now,
    base::random_state& random)
{
    choice found;
    auto best = std::numeric_limits<double>::max();
    auto const unserved = entries_without_endpoints(book, ask);
    entry_ranks ranks{nullptr, &unserved, key_of(unserved)};
    for (auto const& [id, state] : book.endpoints)
    {
        // One that was tried cannot be waited for.
        if (!is_listed_for(book, state, ask) || ask.tried.contains(id))
        {
            continue;
        }
        if (!has_weights(book, state, ask, now))
        {
            found.why = std::max(found.why, no_endpoint_reason::no_weights);
            if (found.why == no_endpoint_reason::none_listed)
            {
                found.why = no_endpoint_reason::no_weights;
            }
            continue;
        }
        auto const near = book.domain_entries.find(state.listed.failure_domain);
        ranks.near =
            near != book.domain_entries.end() ? &near->second : nullptr;
        if (!takes_work(state, ask, ranks, now))
        {
            if (found.why != no_endpoint_reason::no_weights)
            {
                found.why = no_endpoint_reason::all_busy;
            }
            continue;
        }
        auto const pace = is_fresh(state, now) ? state.report->pace : 1.0;
        auto cost = pace * (1.0 + work_at(state, ask.entries, now)) /
                    std::max<std::uint32_t>(1, state.listed.slots);
        cost += state.listed.failure_domain == ask.own_domain ? 0 : remote_cost;
        cost += is_distrusted(state, now) ? distrust_cost : 0;
        cost += random_share * draw(random);
        if (cost < best)
        {
            best = cost;
            found.chosen = &state;
        }
    }
    if (found.chosen == nullptr)
    {
        return found;
    }
    found.expected = expect(book, *found.chosen, ask, now);
    if (!ask.model.empty())
    {
        found.version = weights_of(*found.chosen, now).version;
        found.works_until = works_until(found.expected.ends, ask, now);
    }
    return found;
}

} // namespace foxtailvale::direct
