#include "endpoint_shares.hpp"

#include <base/digest.hpp>
#include <direct/endpoint_rest.hpp>
#include <direct/placement.hpp>

#include <scheduling/endpoint_choice.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace foxtailvale::direct
{

namespace
{

// Added to the relative load of an endpoint in another failure domain.
constexpr double remote_cost = 0.25;

// Share of faulty answers above which an endpoint is distrusted; higher than
// the usual error rate of plain services.
constexpr double max_fault_share = 0.3;

constexpr double random_share = 0.05;

// Number of entries that may send to an endpoint for each free slot, and how
// long a drawing is valid: the interval of the reports from agents of the same
// failure domain.
constexpr double entries_per_slot = 4;
constexpr std::chrono::milliseconds lottery_interval{100};

// Requests that are too long to ever complete before a version retires may be
// sent to it until this long before that time, which leaves enough time to
// start.
constexpr std::chrono::milliseconds long_request_margin{3000};

double random_fraction(base::random_state& random)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(base::random_below(random, steps)) /
           static_cast<double>(steps);
}

// Estimates how long a request waits at the endpoint before it starts. An
// endpoint mostly rejects requests that arrive later than that before its
// version retires.
base::duration time_to_begin(
    endpoint_state const& state, std::size_t entries, base::time_point now)
{
    constexpr std::chrono::milliseconds with_free_slot{450};
    constexpr std::chrono::milliseconds per_queued{500};
    // Each of many entries may have sent one more request on the same report.
    // wins_lottery limits how many do so, regardless of the number of entries.
    constexpr std::size_t few_entries = 8;
    constexpr std::size_t max_more = 32;
    constexpr std::chrono::milliseconds per_other_entry{25};
    auto const others = entries - std::min(entries, few_entries);
    auto const more =
        per_other_entry * static_cast<int>(std::min(others, max_more));
    auto const work = work_at(state, entries, now);
    auto const slots = state.listed.slots;
    auto const begins = with_free_slot + more;
    return work < slots ? begins : begins + per_queued * (work - slots + 1);
}

// Whether the request will probably complete before the endpoint's version
// retires, so that this time can be its deadline.
bool is_done_by(
    base::time_point ends, placement_query const& query, base::time_point now)
{
    return now + query.expected < ends;
}

// Whether a request takes longer than the whole time for which the version may
// be used after the next one was announced, so that it could not complete at
// any time since.
bool never_fits(
    endpoint_table const& table,
    placement_query const& query,
    std::uint64_t version,
    base::time_point ends)
{
    auto const announced = superseded_at(table, query.model, version);
    return announced && *announced + query.expected >= ends;
}

// Whether a request may be sent to an endpoint whose version is going to
// retire.
bool may_start_before(
    base::time_point ends,
    endpoint_table const& table,
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    if (now + time_to_begin(state, query.entries, now) >= ends)
    {
        return false;
    }
    // A stream that continues on this version has no alternative.
    if (query.version != 0 || is_done_by(ends, query, now))
    {
        return true;
    }
    auto const version = weights_of(state, now).version;
    return never_fits(table, query, version, ends) &&
           now + long_request_margin <= ends;
}

bool has_weights(
    endpoint_table const& table,
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    if (query.model.empty())
    {
        return true;
    }
    // Failure: all machines lose power, engines restart empty at the same
    // addresses, and entries that have just started rely on the list, which
    // still shows the former weights. Every request was rejected, which spent
    // the retry budget of the next 10 s. A live agent reports within 0.5 s.
    if (query.newcomer && !state.report)
    {
        return false;
    }
    auto const& weights = weights_of(state, now);
    if (!weights.whole || weights.model != query.model)
    {
        return false;
    }
    if (query.version != 0 && weights.version != query.version)
    {
        return false;
    }
    auto const ends = version_retires_at(table, query.model, weights.version);
    return !ends || may_start_before(*ends, table, state, query, now);
}

// Returns the number of free slots according to the last report, counting the
// requests of all entries.
std::int64_t free_slots(endpoint_state const& state, std::int32_t depth)
{
    auto const used = static_cast<std::int64_t>(state.report->running) +
                      state.report->waiting;
    return static_cast<std::int64_t>(state.listed.slots) + depth - used;
}

// Whether this entry may send to the endpoint in the current interval of 0.1 s.
// All entries see the same report. If few slots are free, all entries would
// send at once, and the requests would queue at the endpoint. A hash selects as
// many entries as there are free slots, and some more since not every entry has
// a request; the next interval selects others.
bool wins_lottery(
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    if (query.entries <= 1 || !is_fresh(state, now))
    {
        return true;
    }
    auto const share = entries_per_slot *
                       static_cast<double>(free_slots(state, query.depth)) /
                       static_cast<double>(query.entries);
    if (share >= 1)
    {
        return true;
    }
    auto const round = now.time_since_epoch() / lottery_interval;
    auto const ticket = base::stable_hash(
        query.own_entry + "/" + state.listed.id,
        static_cast<std::uint64_t>(round));
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(ticket % steps) / steps < share;
}

// Whether this entry may probe an endpoint that has become unresponsive: on
// average one of all entries per second, and never while this entry waits for
// an answer from it. Failure: entries continued to send to paused engines,
// which ran the requests when they resumed, after the callers had disconnected.
bool may_probe(
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    if (state.own_running > 0)
    {
        return false;
    }
    auto const second = std::chrono::floor<std::chrono::seconds>(now);
    auto const ticket = base::stable_hash(
        query.own_entry + "/" + state.listed.id,
        static_cast<std::uint64_t>(second.time_since_epoch().count()));
    return ticket % std::max<std::size_t>(query.entries, 1) == 0;
}

bool can_accept(
    endpoint_state const& state,
    placement_query const& query,
    endpoint_shares const& shares,
    base::time_point now)
{
    if (state.avoid_until > now || !wins_lottery(state, query, now))
    {
        return false;
    }
    if (is_unresponsive(state, now) && !may_probe(state, query, now))
    {
        return false;
    }
    if (is_fresh(state, now) &&
        (state.report->switching || state.report->unreachable ||
         state.report->leaving))
    {
        return false;
    }
    if (is_fresh(state, now) && state.report->switches_at &&
        query.version == 0 && now + query.expected > *state.report->switches_at)
    {
        return false;
    }
    auto const sharing = query.newcomer ? query.assumed_entries : query.entries;
    if (query.newcomer &&
        !has_estimated_share(
            query.own_entry, state.listed.id, query.cold, sharing))
    {
        return false;
    }
    if (!may_send_within_share(state.recent, query.cold, sharing, now))
    {
        return false;
    }
    if (static_cast<std::int64_t>(work_at(state, query.entries, now)) >=
        static_cast<std::int64_t>(state.listed.slots) + query.depth)
    {
        return false;
    }
    return shares.includes(state);
}

placement_estimate estimate(
    endpoint_table const& table,
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    placement_estimate found;
    found.slots = state.listed.slots;
    found.work = work_at(state, query.entries, now);
    found.begins = now + time_to_begin(state, query.entries, now);
    if (state.report)
    {
        found.line = state.report->waiting;
        found.report_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - state.reported);
    }
    if (!query.model.empty())
    {
        found.ends = version_retires_at(
            table, query.model, weights_of(state, now).version);
    }
    return found;
}

// Returns the deadline that results from the version's retirement, if any.
std::optional<base::time_point> work_deadline(
    std::optional<base::time_point> ends,
    placement_query const& query,
    base::time_point now)
{
    auto const sets =
        ends && (query.version != 0 || is_done_by(*ends, query, now));
    return sets ? ends : std::nullopt;
}

bool is_distrusted(endpoint_state const& state, base::time_point now)
{
    auto const agent_unresponsive = state.report && !is_fresh(state, now);
    return agent_unresponsive || is_stalled(state, now) ||
           state.fault_share > max_fault_share;
}

// Until when an endpoint's own words keep this entry from sending to it; the
// epoch if nothing does.
struct closed_time
{
    base::time_point until;
    // It asked for rest until then; otherwise it named a rate limit.
    bool is_rest = false;
};

closed_time closed_until(
    endpoint_table const& table,
    endpoint_state const& state,
    endpoint_shares const& shares)
{
    auto const rested = rests_until(table, state.listed.id);
    auto const limited =
        state.limit.per_second
            ? next_send(state.limit, shares.part_of_limit(state))
            : base::time_point();
    return {std::max(rested, limited), rested > limited};
}

// Time in which the engine reads the prompts that this entry sent recently,
// relative to how long they count. Failure: sends count alike, a request
// follows a prompt of several thousand tokens and is late, and engines that
// were sent short ones have nothing to read.
double reading_cost(
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    if (query.choice != scheduling::endpoint_choice::sampled ||
        query.read_per_second <= 0 || !is_fresh(state, now))
    {
        return 0;
    }
    auto const ahead = scheduling::tokens_ahead(state.view, now);
    std::chrono::duration<double> const read{
        static_cast<double>(ahead) / query.read_per_second};
    return read / scheduling::sent_window;
}

double cost_of(
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    auto const pace = is_fresh(state, now) ? state.report->pace : 1.0;
    auto cost = pace * (1.0 + work_at(state, query.entries, now)) /
                std::max<std::uint32_t>(1, state.listed.slots);
    cost += state.listed.failure_domain == query.own_domain ? 0 : remote_cost;
    cost += reading_cost(state, query, now);
    return cost;
}

void note_busy(choice& found)
{
    if (found.why != no_endpoint_reason::no_weights)
    {
        found.why = no_endpoint_reason::all_busy;
    }
}

// Whether the endpoint runs requests, with or without a free slot. A cold one
// whose limit is reached does not.
bool is_in_service(
    endpoint_state const& state,
    placement_query const& query,
    base::time_point now)
{
    auto const is_held = is_fresh(state, now) &&
                         (state.report->switching ||
                          state.report->unreachable || state.report->leaving);
    auto const sharing = query.newcomer ? query.assumed_entries : query.entries;
    return !is_held && state.avoid_until <= now &&
           !is_unresponsive(state, now) &&
           may_send_within_share(state.recent, query.cold, sharing, now);
}

} // namespace

std::uint32_t
work_at(endpoint_state const& state, std::size_t entries, base::time_point now)
{
    if (!is_fresh(state, now))
    {
        // The other entries are assumed to send as much as this one. The limit
        // keeps an endpoint without an agent usable.
        auto const others = std::min<std::size_t>(entries, 2);
        return state.own_running * static_cast<std::uint32_t>(others);
    }
    // All other entries are assumed to have sent as much as this one since the
    // report. Failure: an engine returns while few others serve, all entries
    // send their waiting requests within the same 0.1 s, and a request waits in
    // the engine's queue for more than 1 s.
    auto const all = static_cast<std::int64_t>(entries);
    auto const change =
        state.own_delta > 0 ? state.own_delta * all : state.own_delta;
    auto const known = static_cast<std::int64_t>(state.report->running) +
                       state.report->waiting + change;
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(known, state.own_running));
}

std::uint32_t count_free_slots(
    endpoint_table const& table,
    placement_query const& query,
    base::time_point now)
{
    endpoint_shares const shares(table, query);
    std::uint32_t free = 0;
    for (auto const& [id, state] : table.endpoints)
    {
        auto const work = work_at(state, query.entries, now);
        if (work < state.listed.slots && is_listed_for(table, state, query) &&
            has_weights(table, state, query, now) &&
            closed_until(table, state, shares).until <= now &&
            is_in_service(state, query, now))
        {
            free += state.listed.slots - work;
        }
    }
    return free;
}

std::chrono::milliseconds expected_time(
    routing::engine_costs const& costs,
    std::uint64_t prompt_tokens,
    std::uint64_t answer_tokens)
{
    // Factor for prompts of other requests that are processed between the
    // decoding steps.
    constexpr double prefill_factor = 1.6;
    auto const prompt = prompt_tokens > 0 ? static_cast<double>(prompt_tokens)
                                          : costs.usual_prompt;
    auto const answer = answer_tokens > 0 ? static_cast<double>(answer_tokens)
                                          : costs.usual_answer;
    auto const step =
        (costs.step + costs.step_per_request * (costs.slots / 2.0)).count();
    auto const read =
        costs.read_per_second > 0 ? 1000 * prompt / costs.read_per_second : 0.0;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(read + prefill_factor * answer * step));
}

std::chrono::milliseconds max_wait(
    std::chrono::milliseconds goal,
    scheduling::measured_time const& first_event)
{
    constexpr int min_wait_divisor = 5;
    constexpr int max_wait_divisor = 2;
    if (!first_event.known)
    {
        return goal / max_wait_divisor;
    }
    auto const usual = std::chrono::duration_cast<std::chrono::milliseconds>(
        first_event.mean + first_event.deviation / 2);
    return std::clamp(
        goal - usual, goal / min_wait_divisor, goal / max_wait_divisor);
}

std::int32_t depth_for_expired_goal(std::uint32_t slots)
{
    constexpr std::uint32_t share = 12;
    return -static_cast<std::int32_t>(slots / share);
}

base::time_point
endpoint_deadline(choice const& chosen, base::time_point deadline)
{
    return std::min(deadline, chosen.work_deadline.value_or(deadline));
}

std::optional<base::time_point> must_begin_by(
    endpoint_table const& table,
    std::string const& model,
    std::uint64_t version,
    base::time_point deadline)
{
    // Time for the endpoint to report that it did not run a request whose
    // deadline passed.
    constexpr std::chrono::milliseconds answer_time{100};
    auto const ends = version_retires_at(table, model, version);
    if (!ends)
    {
        return std::nullopt;
    }
    return deadline > *ends ? *ends : *ends + answer_time;
}

choice choose(
    endpoint_table const& table,
    placement_query const& query,
    base::time_point now,
    base::random_state& random)
{
    choice found;
    std::vector<endpoint_state const*> with_room;
    std::vector<scheduling::endpoint_candidate> candidates;
    auto first_room = base::time_point::max();
    auto are_all_closed = true;
    endpoint_shares const shares(table, query);
    for (auto const& [id, state] : table.endpoints)
    {
        // The request cannot wait for an endpoint that was already tried.
        if (!is_listed_for(table, state, query) || query.tried.contains(id))
        {
            continue;
        }
        if (!has_weights(table, state, query, now))
        {
            found.why = std::max(found.why, no_endpoint_reason::no_weights);
            if (found.why == no_endpoint_reason::none_listed)
            {
                found.why = no_endpoint_reason::no_weights;
            }
            continue;
        }
        auto const closed = closed_until(table, state, shares);
        if (closed.until > now)
        {
            note_busy(found);
            found.is_rest =
                closed.until < first_room ? closed.is_rest : found.is_rest;
            first_room = std::min(first_room, closed.until);
            continue;
        }
        if (!can_accept(state, query, shares, now))
        {
            note_busy(found);
            are_all_closed = false;
            continue;
        }
        with_room.push_back(&state);
        // Engines are sampled without reports, too: they lack them while their
        // agents restart, and all entries then go by the same list.
        candidates.push_back(
            {.cost = cost_of(state, query, now) +
                     random_share * random_fraction(random),
             .is_local = state.listed.failure_domain == query.own_domain,
             .is_last_resort = is_distrusted(state, now),
             .is_reported = is_fresh(state, now) || !query.model.empty()});
    }
    if (candidates.empty())
    {
        if (are_all_closed && first_room < base::time_point::max())
        {
            found.room_at = first_room;
        }
        return found;
    }
    found.chosen = with_room[scheduling::choose_endpoint(
        candidates, query.choice, random)];
    found.expected = estimate(table, *found.chosen, query, now);
    if (!query.model.empty())
    {
        found.version = weights_of(*found.chosen, now).version;
        found.work_deadline = work_deadline(found.expected.ends, query, now);
    }
    return found;
}

} // namespace foxtailvale::direct
