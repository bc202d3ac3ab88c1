#include <base/digest.hpp>
#include <weights/chunk_transfer.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace foxtailvale::weights
{

namespace
{

// How long "I do not have it" counts; a chunk travels a hop in a fraction.
constexpr std::chrono::milliseconds declined_time{600};

// How long an agent that waits itself is passed over: the one before it in the
// tree is asked meanwhile, which keeps a question for half a second, and then
// it is asked again. Failure: with two seconds, agents that had waited for the
// origin through an outage asked far up the trees when the chunks came at last,
// and each went its way through the fleet two seconds late.
constexpr std::chrono::milliseconds waiting_time{700};

// How long it counts that another agent draws a chunk: what one draw takes when
// all fetchers draw at once, three times over.
constexpr std::chrono::milliseconds said_time{1000};

// Draws that an agent announces: the one under way and the next. Those behind
// are left to whoever stands in.
constexpr std::size_t most_announced = 2;

// After a chunk's slot, when it has not come to the first who stands in, this
// one asks whether the drawer lives; each later one as long after the one
// before it.
constexpr std::chrono::milliseconds check_time{400};

// So many stand in early; with more gone the usual turns hold.
constexpr std::size_t most_checking = 2;

// A drawer is asked again after this, and one that was silent counts as gone
// for so long.
constexpr std::chrono::milliseconds check_again{400};
constexpr std::chrono::milliseconds gone_time{2000};

// A chunk has usually come to every agent by then.
constexpr std::chrono::milliseconds usual_time{2500};

// Others answer within half a second, also when they have nothing.
constexpr std::chrono::milliseconds silent_time{800};

// An agent that knows nobody draws for itself after this.
constexpr std::chrono::milliseconds alone_time{3000};

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

// All other agents of the plans, for when those in the trees cannot be used:
// any of them may hold the chunk. The order differs by agent and chunk, so that
// not all ask the same one.
std::vector<chunk_source> others(
    plan_set const& plans, transfer_requester const& place, std::uint32_t index)
{
    std::vector<chunk_source> found;
    for (auto const& [domain, plan] : plans)
    {
        for (auto const& endpoint : plan.endpoints)
        {
            if (endpoint.agent != place.agent)
            {
                found.push_back({endpoint.agent, endpoint.address});
            }
        }
    }
    if (!found.empty())
    {
        auto const first = base::stable_hash(place.agent, index) % found.size();
        std::rotate(
            found.begin(), found.begin() + static_cast<std::ptrdiff_t>(first),
            found.end());
    }
    return found;
}

std::optional<chunk_source>
source_named(plan_set const& plans, std::string const& agent)
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

// Agents that said that they hold the chunk, in an order of its own for each
// chunk so that they are asked by turns.
std::vector<chunk_source> known_holders(
    chunk_transfer const& state, std::uint32_t index, source_view const& view)
{
    std::vector<chunk_source> found;
    for (auto const& [agent, said] : state.holdings)
    {
        auto const& marks = said.marks;
        if (index < marks.size() && marks[index] == chunk_held &&
            view.is_usable(agent))
        {
            found.push_back(said.source);
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

// The usable holder with the fewest chunks asked for, taken in another order
// for each chunk and agent.
std::optional<chunk_source> free_holder(
    chunk_transfer const& state,
    transfer_requester const& place,
    std::uint32_t index,
    source_view const& view)
{
    std::optional<chunk_source> best;
    auto fewest = std::numeric_limits<std::size_t>::max();
    auto const count = place.holders.size();
    auto const first = base::stable_hash(place.agent, index);
    for (std::size_t step = 0; step < count; ++step)
    {
        auto const& holder = place.holders[(first + step) % count];
        auto const asked = pending_at(state, holder.agent);
        if (asked < fewest && view.is_usable(holder.agent))
        {
            best = holder;
            fewest = asked;
        }
    }
    return best;
}

bool has_room_at(
    chunk_transfer const& state,
    std::string const& agent,
    transfer_limits const& limits)
{
    auto const most = agent.empty() ? limits.origin : limits.per_agent;
    return pending_at(state, agent) < most;
}

// One look at all missing chunks.
struct asking
{
    chunk_transfer& state;
    source_table& book;
    plan_set const& plans;
    transfer_requester const& place;
    origin_fetch_schedule const& schedule;
    transfer_limits const& limits;
    base::time_point now;
};

// What became of one chunk's search for a source.
struct found_source
{
    std::optional<chunk_source> source;
    std::size_t behind = 0;
    bool stands_in = false;
    // The chunk may be drawn from the origin now; of several the one with the
    // lowest turn goes first.
    std::optional<std::size_t> draw_turn;
};

bool is_gone(
    chunk_transfer const& state,
    std::string const& drawer,
    base::time_point now)
{
    auto const found = state.checks.find(drawer);
    return found != state.checks.end() && found->second.is_silent &&
           now < found->second.asked + gone_time;
}

// Whether all who draw the chunk before this agent were found silent.
bool all_gone(asking const& look, std::uint32_t index, std::size_t turn)
{
    return std::ranges::all_of(
        earlier_fetchers(look.schedule, turn, index),
        [&look](std::string const& drawer)
        {
            return is_gone(look.state, drawer, look.now);
        });
}

// Whether one that draws before this agent said a moment ago that it does, or
// that it has the chunk.
bool is_left_to(
    asking const& look, std::string const& drawer, std::uint32_t index)
{
    auto const found = look.state.holdings.find(drawer);
    if (found == look.state.holdings.end())
    {
        return false;
    }
    auto const& [source, marks, said] = found->second;
    return look.now < said + said_time && index < marks.size() &&
           marks[index] != chunk_missing;
}

// The source of a chunk whose turn has come at this agent: those before it are
// asked once more, and when none of them has it, it is drawn.
found_source source_in_turn(
    asking const& look,
    source_view const& view,
    std::uint32_t index,
    std::size_t turn)
{
    for (auto const& drawer : earlier_fetchers(look.schedule, turn, index))
    {
        if (is_gone(look.state, drawer, look.now))
        {
            continue;
        }
        auto const source = source_named(look.plans, drawer);
        if (source && view.is_usable(drawer))
        {
            return {source, 0, true, {}};
        }
        if (is_left_to(look, drawer, index))
        {
            return {};
        }
    }
    return {{}, 0, false, turn};
}

// The agent's own turn at the chunk, if it has come.
std::optional<std::size_t> turn_now(asking const& look, std::uint32_t index)
{
    auto const begun = look.state.begun;
    auto const turn = turn_of(look.schedule, look.place.agent, index);
    auto const stands_alone =
        turn && *turn <= most_checking && all_gone(look, index, *turn);
    auto const due =
        stands_alone ? origin_fetch_time(look.schedule, 0, index, begun)
        : turn       ? origin_fetch_time(look.schedule, *turn, index, begun)
                     : begun + alone_time;
    if (look.now < due || !is_usable(look.book, {}, look.now))
    {
        return std::nullopt;
    }
    return turn.value_or(0);
}

// Others that may have drawn the chunk by now in its drawer's place, put before
// whoever else stands before the agent. Failure: the drawer is cut off from the
// origin or dead; one that stood in has the chunk, and everybody waits for the
// drawer or looks for the chunk at random.
void put_later_drawers(
    asking const& look, chunk_sources& sources, std::uint32_t index)
{
    auto const fetchers =
        earlier_fetchers(look.schedule, look.schedule.fetchers, index);
    std::vector<chunk_source> found;
    for (std::size_t turn = 1; turn < fetchers.size(); ++turn)
    {
        auto const due =
            origin_fetch_time(look.schedule, turn, index, look.state.begun);
        if (look.now < due)
        {
            break;
        }
        if (auto const source = source_named(look.plans, fetchers[turn]);
            source && source->agent != look.place.agent)
        {
            found.push_back(*source);
        }
    }
    sources.standbys.insert(
        sources.standbys.begin(), found.begin(), found.end());
}

// The first of those before this agent who is not known to be gone, if he is
// to be asked now.
std::optional<std::string> drawer_to_check(
    chunk_transfer const& state,
    origin_fetch_schedule const& schedule,
    std::uint32_t index,
    std::size_t turn,
    base::time_point now)
{
    for (auto const& drawer : earlier_fetchers(schedule, turn, index))
    {
        if (is_gone(state, drawer, now))
        {
            continue;
        }
        auto const found = state.checks.find(drawer);
        auto const may_ask = found == state.checks.end() ||
                             (!found->second.is_pending &&
                              now >= found->second.asked + check_again);
        return may_ask ? std::optional(drawer) : std::nullopt;
    }
    return std::nullopt;
}

found_source find_source(asking const& look, std::uint32_t index)
{
    auto sources = sources_of(
        look.plans, look.place.failure_domain, look.place.agent,
        look.place.label, index, {}, origin_fetcher_of(look.schedule, index));
    if (sources)
    {
        put_later_drawers(look, *sources, index);
    }
    source_view view;
    view.is_usable = [&](std::string const& agent)
    {
        return is_usable(look.book, agent, look.now) &&
               !has_declined(look.state, index, agent, look.now);
    };
    if (auto const holder = free_holder(look.state, look.place, index, view))
    {
        return {holder, 0, false, {}};
    }
    view.known_holders = known_holders(look.state, index, view);
    auto const turn = turn_now(look, index);
    if (turn && view.known_holders.empty())
    {
        return source_in_turn(look, view, index, *turn);
    }
    auto const source = choose_source(sources.value_or(chunk_sources{}), view);
    if (!source.agent.empty())
    {
        return {source, sources ? sources->behind : 0, false, {}};
    }
    // Nobody before it in the trees can be used.
    if (look.now > look.state.begun + usual_time)
    {
        for (auto const& other : others(look.plans, look.place, index))
        {
            if (view.is_usable(other.agent))
            {
                return {other, 0, false, {}};
            }
        }
    }
    return {};
}

wanted_chunk
ask_of(asking const& look, std::uint32_t index, found_source const& found)
{
    auto const source = found.source.value_or(chunk_source{});
    look.state.pending[index] = {source, look.now, found.stands_in};
    note_requested(look.book, source.agent, look.now);
    return {index, source, found.behind};
}

// Chunks that are neither here nor asked for, those that this agent is the
// first to draw behind all others. Failure: while the origin was away, fetchers
// asked each other for these, and when it was back, they drew later ones first,
// which nobody was asking for yet.
std::vector<std::uint32_t> missing_in_order(asking const& look)
{
    std::vector<std::uint32_t> found;
    for (std::uint32_t index = 0; index < look.state.digests.size(); ++index)
    {
        if (!look.state.chunks[index] && !look.state.pending.contains(index))
        {
            found.push_back(index);
        }
    }
    std::stable_partition(
        found.begin(), found.end(),
        [&look](std::uint32_t index)
        {
            return origin_fetcher_of(look.schedule, index) != look.place.agent;
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
        auto const place =
            static_cast<std::size_t>(same - other.digests.begin());
        if (other.chunks[place])
        {
            state.chunks[index] = other.chunks[place];
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
        auto const draws = !origin_fails && !state.chunks[index] &&
                           announced < most_announced &&
                           turn_of(schedule, agent, index) == 0U;
        announced += draws ? 1 : 0;
        text.push_back(
            state.chunks[index] ? chunk_held
            : draws             ? chunk_drawn
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
    transfer_requester const& place,
    origin_fetch_schedule const& schedule,
    base::time_point now)
{
    std::vector<chunk_source> checks;
    for (std::uint32_t index = 0; index < state.digests.size(); ++index)
    {
        auto const turn = turn_of(schedule, place.agent, index);
        if (state.chunks[index] || !turn || *turn == 0 ||
            *turn > most_checking ||
            now < origin_fetch_time(schedule, 0, index, state.begun) +
                      check_time * static_cast<int>(*turn))
        {
            continue;
        }
        auto const drawer = drawer_to_check(state, schedule, index, *turn, now);
        auto const source =
            drawer ? source_named(plans, *drawer) : std::nullopt;
        if (source)
        {
            state.checks[*drawer] = {now, true, false};
            checks.push_back(*source);
        }
    }
    return checks;
}

void note_liveness_check(
    chunk_transfer& state, std::string const& drawer, bool lives)
{
    auto& check = state.checks[drawer];
    check.is_pending = false;
    check.is_silent = !lives;
    if (!lives)
    {
        // What it said that it draws does not come.
        state.holdings.erase(drawer);
    }
}

std::vector<wanted_chunk> next_chunk_requests(
    chunk_transfer& state,
    source_table& book,
    plan_set const& plans,
    transfer_requester const& place,
    origin_fetch_schedule const& schedule,
    transfer_limits const& limits,
    base::time_point now)
{
    asking const look{state, book, plans, place, schedule, limits, now};
    std::vector<wanted_chunk> asks;
    std::vector<std::pair<std::size_t, std::uint32_t>> draws;
    for (auto const index : missing_in_order(look))
    {
        auto const is_full =
            state.pending.size() - pending_at(state, {}) >= limits.total;
        if (is_full && !turn_now(look, index))
        {
            continue;
        }
        auto const found = find_source(look, index);
        if (found.draw_turn)
        {
            draws.emplace_back(*found.draw_turn, index);
        }
        if (!found.source || is_full ||
            !has_room_at(state, found.source->agent, limits))
        {
            continue;
        }
        asks.push_back(ask_of(look, index, found));
    }
    std::ranges::sort(draws);
    for (auto const& [turn, index] : draws)
    {
        if (!has_room_at(state, {}, limits))
        {
            break;
        }
        asks.push_back(ask_of(look, index, {}));
    }
    return asks;
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
    source_table& book,
    std::uint32_t index,
    std::string bytes,
    base::time_point now)
{
    auto const found = state.pending.find(index);
    if (found == state.pending.end())
    {
        return offer(state, index, bytes);
    }
    auto const asked = found->second;
    state.pending.erase(found);
    if (!offer(state, index, bytes))
    {
        note_dropped(book, asked.source.agent);
        avoid_briefly(book, asked.source.agent, now);
        return false;
    }
    note_delivered(
        book, asked.source.agent, static_cast<std::uint32_t>(bytes.size()),
        now - asked.asked);
    return true;
}

void withdraw(chunk_transfer& state, source_table& book, std::uint32_t index)
{
    auto const found = state.pending.find(index);
    if (found != state.pending.end())
    {
        note_dropped(book, found->second.source.agent);
        state.pending.erase(found);
    }
}

void lose(
    chunk_transfer& state,
    source_table& book,
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
    auto const stands_in = found->second.stands_in;
    auto const asked = found->second.asked;
    state.pending.erase(found);
    note_dropped(book, agent);
    switch (why)
    {
    case chunk_loss::missing:
        state.declined[{index, agent}] = now + declined_time;
        break;
    case chunk_loss::not_yet:
        // It waits itself. When that lasts, it may stand behind a squeezed
        // link: the ones before it in the tree may have the chunk already.
        if (stands_in || now > state.begun + usual_time)
        {
            state.declined[{index, agent}] = now + waiting_time;
        }
        note_heard(book, agent, now);
        break;
    case chunk_loss::failed:
        // One that gave no answer at all is gone or cut off; each question to
        // it costs as long again.
        if (!agent.empty() && now - asked > silent_time)
        {
            avoid_after_failure(book, agent, now);
        }
        else
        {
            avoid_briefly(book, agent, now);
        }
        break;
    }
}

} // namespace foxtailvale::weights
