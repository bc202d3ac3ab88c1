#include <base/digest.hpp>
#include <weights/chunk_transfer.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace foxtailvale::weights
{

namespace
{

// How long the response "I do not have it" counts. A chunk takes only a
// fraction of this per hop.
constexpr std::chrono::milliseconds declined_lifetime{600};

// How long an agent that still waits for the chunk itself is passed over. The
// agent before it in the tree is asked meanwhile; it holds a request for half a
// second, and then the first agent is asked again. Failure: with two seconds,
// agents that had waited for the origin through an outage sent their requests
// far up the trees by the time the chunks arrived, and each chunk went through
// the fleet two seconds late.
constexpr std::chrono::milliseconds waiting_source_pause{700};

// How long another agent's report that it fetches a chunk counts: three times
// as long as one fetch takes when all fetchers fetch at once.
constexpr std::chrono::milliseconds reported_fetch_lifetime{1000};

// Fetches from the origin that an agent announces: the running one and the
// next. Later ones are left to its substitutes.
constexpr std::size_t max_announced = 2;

// When a chunk has not arrived this long after its time slot, the first
// substitute checks whether the fetcher is alive; each later substitute does so
// as long after the one before it.
constexpr std::chrono::milliseconds liveness_check_delay{400};

// Number of substitutes that step in early. When more fetchers are gone, the
// usual turns apply.
constexpr std::size_t max_early_substitutes = 2;

// Interval between liveness checks of a fetcher, and how long one that did not
// answer counts as unresponsive.
constexpr std::chrono::milliseconds liveness_check_interval{400};
constexpr std::chrono::milliseconds unresponsive_lifetime{2000};

// A chunk has usually reached every agent after this time.
constexpr std::chrono::milliseconds usual_transfer_time{2500};

// Other agents respond within half a second, also when they do not have the
// chunk. No response for longer than this means that an agent is dead or cut
// off.
constexpr std::chrono::milliseconds max_response_time{800};

// An agent that is not in the schedule fetches from the origin itself after
// this time.
constexpr std::chrono::milliseconds unscheduled_fetch_delay{3000};

std::size_t pending_at(chunk_transfer const& state, std::string const& agent)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state.pending,
        [&agent](auto const& entry)
        {
            return entry.second.source.agent == agent;
        }));
}

bool has_declined(
    chunk_transfer const& state,
    std::uint32_t index,
    std::string const& agent,
    base::time_point now)
{
    auto const found = state.declined.find({index, agent});
    return found != state.declined.end() && found->second > now;
}

// All other agents in the plans, used when no agent in the trees is usable: any
// of them may hold the chunk. The order differs by agent and chunk, so that
// requests do not all go to the same agent.
std::vector<chunk_source> other_agents(
    plan_set const& plans,
    transfer_requester const& requester,
    std::uint32_t index)
{
    std::vector<chunk_source> found;
    for (auto const& [domain, plan] : plans)
    {
        for (auto const& endpoint : plan.endpoints)
        {
            if (endpoint.agent != requester.agent)
            {
                found.push_back({endpoint.agent, endpoint.address});
            }
        }
    }
    if (!found.empty())
    {
        auto const first =
            base::stable_hash(requester.agent, index) % found.size();
        std::rotate(
            found.begin(), found.begin() + static_cast<std::ptrdiff_t>(first),
            found.end());
    }
    return found;
}

std::optional<chunk_source>
source_by_name(plan_set const& plans, std::string const& agent)
{
    for (auto const& [domain, plan] : plans)
    {
        auto const found = std::ranges::find(
            plan.endpoints, agent, &control::plan_endpoint::agent);
        if (found != plan.endpoints.end())
        {
            return chunk_source{found->agent, found->address};
        }
    }
    return std::nullopt;
}

// Usable agents that reported that they hold the chunk, rotated by chunk so
// that requests alternate between them.
std::vector<chunk_source> known_holders(
    chunk_transfer const& state, std::uint32_t index, source_view const& view)
{
    std::vector<chunk_source> found;
    for (auto const& [agent, report] : state.holdings)
    {
        auto const& marks = report.marks;
        if (index < marks.size() && marks[index] == chunk_held &&
            view.is_usable(agent))
        {
            found.push_back(report.source);
        }
    }
    if (!found.empty())
    {
        auto const first = index % found.size();
        std::rotate(
            found.begin(), found.begin() + static_cast<std::ptrdiff_t>(first),
            found.end());
    }
    return found;
}

// The usable holder with the fewest pending requests; ties are broken by an
// order that differs by chunk and agent.
std::optional<chunk_source> least_busy_holder(
    chunk_transfer const& state,
    transfer_requester const& requester,
    std::uint32_t index,
    source_view const& view)
{
    std::optional<chunk_source> best;
    auto fewest = std::numeric_limits<std::size_t>::max();
    auto const count = requester.holders.size();
    auto const first = base::stable_hash(requester.agent, index);
    for (std::size_t step = 0; step < count; ++step)
    {
        auto const& holder = requester.holders[(first + step) % count];
        auto const pending = pending_at(state, holder.agent);
        if (pending < fewest && view.is_usable(holder.agent))
        {
            best = holder;
            fewest = pending;
        }
    }
    return best;
}

bool has_room_at(
    chunk_transfer const& state,
    std::string const& agent,
    transfer_limits const& limits)
{
    auto const max_pending = agent.empty() ? limits.origin : limits.per_agent;
    return pending_at(state, agent) < max_pending;
}

// State of one pass over all missing chunks.
struct request_pass
{
    chunk_transfer& state;
    source_table& table;
    plan_set const& plans;
    transfer_requester const& requester;
    origin_fetch_schedule const& schedule;
    transfer_limits const& limits;
    base::time_point now;
};

// Result of the search for a source of one chunk.
struct found_source
{
    std::optional<chunk_source> source;
    std::size_t behind = 0;
    bool asks_earlier_fetcher = false;
    // Set when the chunk may be fetched from the origin now. Of several such
    // chunks, those with the lowest turn are fetched first.
    std::optional<std::size_t> fetch_turn;
};

bool was_unresponsive(
    chunk_transfer const& state,
    std::string const& fetcher,
    base::time_point now)
{
    auto const found = state.checks.find(fetcher);
    return found != state.checks.end() && found->second.is_unresponsive &&
           now < found->second.checked_at + unresponsive_lifetime;
}

// Whether all agents that fetch the chunk before this one were found to be
// unresponsive.
bool were_all_unresponsive(
    request_pass const& pass, std::uint32_t index, std::size_t turn)
{
    return std::ranges::all_of(
        earlier_fetchers(pass.schedule, turn, index),
        [&pass](std::string const& fetcher)
        {
            return was_unresponsive(pass.state, fetcher, pass.now);
        });
}

// Whether an agent that fetches the chunk before this one reported recently
// that it fetches or holds the chunk.
bool is_fetching_or_holding(
    request_pass const& pass, std::string const& fetcher, std::uint32_t index)
{
    auto const found = pass.state.holdings.find(fetcher);
    if (found == pass.state.holdings.end())
    {
        return false;
    }
    auto const& [source, marks, reported_at] = found->second;
    return pass.now < reported_at + reported_fetch_lifetime &&
           index < marks.size() && marks[index] != chunk_missing;
}

// The source of a chunk whose turn has come at this agent. The fetchers with an
// earlier turn are asked once more; when none of them has the chunk, it is
// fetched from the origin.
found_source source_in_turn(
    request_pass const& pass,
    source_view const& view,
    std::uint32_t index,
    std::size_t turn)
{
    for (auto const& fetcher : earlier_fetchers(pass.schedule, turn, index))
    {
        if (was_unresponsive(pass.state, fetcher, pass.now))
        {
            continue;
        }
        auto const source = source_by_name(pass.plans, fetcher);
        if (source && view.is_usable(fetcher))
        {
            return {source, 0, true, {}};
        }
        if (is_fetching_or_holding(pass, fetcher, index))
        {
            return {};
        }
    }
    return {{}, 0, false, turn};
}

// The turn of this agent at the chunk, if its time has come.
std::optional<std::size_t>
due_turn(request_pass const& pass, std::uint32_t index)
{
    auto const begun = pass.state.begun;
    auto const turn = turn_of(pass.schedule, pass.requester.agent, index);
    auto const replaces_fetcher = turn && *turn <= max_early_substitutes &&
                                  were_all_unresponsive(pass, index, *turn);
    auto const due =
        replaces_fetcher ? origin_fetch_time(pass.schedule, 0, index, begun)
        : turn           ? origin_fetch_time(pass.schedule, *turn, index, begun)
                         : begun + unscheduled_fetch_delay;
    if (pass.now < due || !is_usable(pass.table, {}, pass.now))
    {
        return std::nullopt;
    }
    return turn.value_or(0);
}

// Puts agents that may have fetched the chunk in place of its fetcher before
// all other standbys. Failure: the fetcher is cut off from the origin or dead.
// A substitute has the chunk, but all other agents wait for the fetcher or
// request the chunk from random agents.
void prefer_substitutes(
    request_pass const& pass, chunk_sources& sources, std::uint32_t index)
{
    auto const fetchers =
        earlier_fetchers(pass.schedule, pass.schedule.fetchers, index);
    std::vector<chunk_source> found;
    for (std::size_t turn = 1; turn < fetchers.size(); ++turn)
    {
        auto const due =
            origin_fetch_time(pass.schedule, turn, index, pass.state.begun);
        if (pass.now < due)
        {
            break;
        }
        if (auto const source = source_by_name(pass.plans, fetchers[turn]);
            source && source->agent != pass.requester.agent)
        {
            found.push_back(*source);
        }
    }
    sources.standbys.insert(
        sources.standbys.begin(), found.begin(), found.end());
}

// The first fetcher before this agent that is not known to be unresponsive, if
// it may be checked now.
std::optional<std::string> fetcher_to_check(
    chunk_transfer const& state,
    origin_fetch_schedule const& schedule,
    std::uint32_t index,
    std::size_t turn,
    base::time_point now)
{
    for (auto const& fetcher : earlier_fetchers(schedule, turn, index))
    {
        if (was_unresponsive(state, fetcher, now))
        {
            continue;
        }
        auto const found = state.checks.find(fetcher);
        auto const may_ask =
            found == state.checks.end() ||
            (!found->second.is_pending &&
             now >= found->second.checked_at + liveness_check_interval);
        return may_ask ? std::optional(fetcher) : std::nullopt;
    }
    return std::nullopt;
}

found_source find_source(request_pass const& pass, std::uint32_t index)
{
    auto sources = sources_of(
        pass.plans, pass.requester.failure_domain, pass.requester.agent,
        pass.requester.label, index, {},
        origin_fetcher_of(pass.schedule, index));
    if (sources)
    {
        prefer_substitutes(pass, *sources, index);
    }
    source_view view;
    view.is_usable = [&](std::string const& agent)
    {
        return is_usable(pass.table, agent, pass.now) &&
               !has_declined(pass.state, index, agent, pass.now);
    };
    if (auto const holder =
            least_busy_holder(pass.state, pass.requester, index, view))
    {
        return {holder, 0, false, {}};
    }
    view.known_holders = known_holders(pass.state, index, view);
    auto const turn = due_turn(pass, index);
    if (turn && view.known_holders.empty())
    {
        return source_in_turn(pass, view, index, *turn);
    }
    auto const source = choose_source(sources.value_or(chunk_sources{}), view);
    if (!source.agent.empty())
    {
        return {source, sources ? sources->behind : 0, false, {}};
    }
    // No agent that precedes this one in the trees is usable.
    if (pass.now > pass.state.begun + usual_transfer_time)
    {
        for (auto const& other :
             other_agents(pass.plans, pass.requester, index))
        {
            if (view.is_usable(other.agent))
            {
                return {other, 0, false, {}};
            }
        }
    }
    return {};
}

wanted_chunk make_request(
    request_pass const& pass, std::uint32_t index, found_source const& found)
{
    auto const source = found.source.value_or(chunk_source{});
    pass.state.pending[index] = {source, pass.now, found.asks_earlier_fetcher};
    note_requested(pass.table, source.agent, pass.now);
    return {index, source, found.behind};
}

// Chunks that are neither held nor requested. Those that this agent itself is
// first to fetch from the origin come last. Failure: while the origin was away,
// fetchers requested these chunks from each other. When the origin was back,
// they first fetched later chunks that no other agent was requesting yet.
std::vector<std::uint32_t> missing_in_order(request_pass const& pass)
{
    std::vector<std::uint32_t> found;
    for (std::uint32_t index = 0; index < pass.state.digests.size(); ++index)
    {
        if (!pass.state.chunks[index] && !pass.state.pending.contains(index))
        {
            found.push_back(index);
        }
    }
    std::stable_partition(
        found.begin(), found.end(),
        [&pass](std::uint32_t index)
        {
            return origin_fetcher_of(pass.schedule, index) !=
                   pass.requester.agent;
        });
    return found;
}

} // namespace

void begin(
    chunk_transfer& state,
    std::vector<std::string> digests,
    base::time_point now)
{
    state = {};
    state.digests = std::move(digests);
    state.chunks.resize(state.digests.size());
    state.begun = now;
}

void reuse(chunk_transfer& state, chunk_transfer const& other)
{
    for (std::size_t index = 0; index < state.digests.size(); ++index)
    {
        auto const same =
            std::ranges::find(other.digests, state.digests[index]);
        if (state.chunks[index] || same == other.digests.end())
        {
            continue;
        }
        auto const position =
            static_cast<std::size_t>(same - other.digests.begin());
        if (other.chunks[position])
        {
            state.chunks[index] = other.chunks[position];
            ++state.held;
        }
    }
}

std::string holdings_of(
    chunk_transfer const& state,
    origin_fetch_schedule const& schedule,
    std::string const& agent,
    bool origin_fails)
{
    std::string text;
    std::size_t announced = 0;
    for (std::uint32_t index = 0; index < state.chunks.size(); ++index)
    {
        auto const fetches = !origin_fails && !state.chunks[index] &&
                             announced < max_announced &&
                             turn_of(schedule, agent, index) == 0U;
        announced += fetches ? 1 : 0;
        text.push_back(
            state.chunks[index] ? chunk_held
            : fetches           ? chunk_fetching
                                : chunk_missing);
    }
    return text;
}

void note_holdings(
    chunk_transfer& state,
    chunk_source const& agent,
    std::string marks,
    base::time_point now)
{
    state.holdings[agent.agent] = {agent, std::move(marks), now};
}

bool is_complete(chunk_transfer const& state)
{
    return !state.digests.empty() && state.held == state.digests.size();
}

std::vector<chunk_source> next_liveness_checks(
    chunk_transfer& state,
    plan_set const& plans,
    transfer_requester const& requester,
    origin_fetch_schedule const& schedule,
    base::time_point now)
{
    std::vector<chunk_source> checks;
    for (std::uint32_t index = 0; index < state.digests.size(); ++index)
    {
        auto const turn = turn_of(schedule, requester.agent, index);
        if (state.chunks[index] || !turn || *turn == 0 ||
            *turn > max_early_substitutes ||
            now < origin_fetch_time(schedule, 0, index, state.begun) +
                      liveness_check_delay * static_cast<int>(*turn))
        {
            continue;
        }
        auto const fetcher =
            fetcher_to_check(state, schedule, index, *turn, now);
        auto const source =
            fetcher ? source_by_name(plans, *fetcher) : std::nullopt;
        if (source)
        {
            state.checks[*fetcher] = {now, true, false};
            checks.push_back(*source);
        }
    }
    return checks;
}

void note_liveness_check(
    chunk_transfer& state, std::string const& fetcher, bool is_alive)
{
    auto& check = state.checks[fetcher];
    check.is_pending = false;
    check.is_unresponsive = !is_alive;
    if (!is_alive)
    {
        // Chunks that it reported to be fetching will not arrive.
        state.holdings.erase(fetcher);
    }
}

std::vector<wanted_chunk> next_chunk_requests(
    chunk_transfer& state,
    source_table& table,
    plan_set const& plans,
    transfer_requester const& requester,
    origin_fetch_schedule const& schedule,
    transfer_limits const& limits,
    base::time_point now)
{
    request_pass const pass{state,    table,  plans, requester,
                            schedule, limits, now};
    std::vector<wanted_chunk> requests;
    std::vector<std::pair<std::size_t, std::uint32_t>> fetches;
    for (auto const index : missing_in_order(pass))
    {
        auto const is_full =
            state.pending.size() - pending_at(state, {}) >= limits.total;
        if (is_full && !due_turn(pass, index))
        {
            continue;
        }
        auto const found = find_source(pass, index);
        if (found.fetch_turn)
        {
            fetches.emplace_back(*found.fetch_turn, index);
        }
        if (!found.source || is_full ||
            !has_room_at(state, found.source->agent, limits))
        {
            continue;
        }
        requests.push_back(make_request(pass, index, found));
    }
    std::ranges::sort(fetches);
    for (auto const& [turn, index] : fetches)
    {
        if (!has_room_at(state, {}, limits))
        {
            break;
        }
        requests.push_back(make_request(pass, index, {}));
    }
    return requests;
}

bool offer(chunk_transfer& state, std::uint32_t index, std::string_view bytes)
{
    if (index >= state.digests.size() ||
        base::sha256_hex(bytes) != state.digests[index])
    {
        return false;
    }
    if (!state.chunks[index])
    {
        state.chunks[index] = std::make_shared<std::string const>(bytes);
        ++state.held;
    }
    return true;
}

bool deliver(
    chunk_transfer& state,
    source_table& table,
    std::uint32_t index,
    std::string bytes,
    base::time_point now)
{
    auto const found = state.pending.find(index);
    if (found == state.pending.end())
    {
        return offer(state, index, bytes);
    }
    auto const request = found->second;
    state.pending.erase(found);
    if (!offer(state, index, bytes))
    {
        note_dropped(table, request.source.agent);
        avoid_briefly(table, request.source.agent, now);
        return false;
    }
    note_delivered(
        table, request.source.agent, static_cast<std::uint32_t>(bytes.size()),
        now - request.requested_at);
    return true;
}

void withdraw(chunk_transfer& state, source_table& table, std::uint32_t index)
{
    auto const found = state.pending.find(index);
    if (found != state.pending.end())
    {
        note_dropped(table, found->second.source.agent);
        state.pending.erase(found);
    }
}

void lose(
    chunk_transfer& state,
    source_table& table,
    std::uint32_t index,
    chunk_loss why,
    base::time_point now)
{
    auto const found = state.pending.find(index);
    if (found == state.pending.end())
    {
        return;
    }
    auto const agent = found->second.source.agent;
    auto const asks_earlier_fetcher = found->second.asks_earlier_fetcher;
    auto const requested_at = found->second.requested_at;
    state.pending.erase(found);
    note_dropped(table, agent);
    switch (why)
    {
    case chunk_loss::missing:
        state.declined[{index, agent}] = now + declined_lifetime;
        break;
    case chunk_loss::not_yet:
        // The source still waits for the chunk itself. If that lasts, it may be
        // behind a narrowed link; its ancestors in the tree may already have
        // the chunk.
        if (asks_earlier_fetcher || now > state.begun + usual_transfer_time)
        {
            state.declined[{index, agent}] = now + waiting_source_pause;
        }
        note_heard(table, agent, now);
        break;
    case chunk_loss::failed:
        // A source that did not respond at all is dead or cut off, and every
        // further request to it would take as long to fail.
        if (!agent.empty() && now - requested_at > max_response_time)
        {
            avoid_after_failure(table, agent, now);
        }
        else
        {
            avoid_briefly(table, agent, now);
        }
        break;
    }
}

} // namespace foxtailvale::weights
