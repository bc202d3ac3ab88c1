#include "burst_world.hpp"

#include <base/digest.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

base::time_point const announced_at{std::chrono::hours(1)};
constexpr milliseconds step{5};
constexpr milliseconds max_run_time{60'000};
constexpr std::uint32_t chunk_count = 64;
constexpr std::uint32_t chunk_bytes = 32768;
constexpr std::size_t max_accepted_connections = 48;
constexpr double origin_rate = 9.9e6 / 8;
constexpr double link_rate = 7.6e6 / 8;
// How long agents hold a request for a chunk that they do not have, and how
// long an idle connection is kept.
constexpr milliseconds request_hold_time{500};
constexpr milliseconds check_answer_time{10};
constexpr milliseconds dead_agent_response_time{900};
constexpr milliseconds max_idle_time{1500};
constexpr milliseconds fetch_timeout{2500};
constexpr milliseconds domain_count{3};

struct chunk_query
{
    std::size_t asker = 0;
    std::uint32_t index = 0;
    base::time_point until;
    std::size_t behind = 0;
};

// A liveness check of an origin fetcher.
struct liveness_check
{
    std::size_t checked_agent = 0;
    base::time_point until;
};

struct sending
{
    std::size_t receiver = 0;
    std::uint32_t index = 0;
    std::uint64_t number = 0;
    double sent = 0;
};

struct running_fetch
{
    std::uint32_t index = 0;
    base::time_point until;
    bool withdrawn = false;
};

struct agent
{
    std::string name;
    std::string domain;
    base::time_point begins;
    bool begun = false;
    chunk_transfer transfer;
    source_table table;
    receive_window receive_limit;
    send_window send_limit;
    std::list<chunk_query> queries;
    std::vector<liveness_check> checks;
    std::deque<sending> sends;
    std::list<sending> on_link;
    base::time_point next_send;
    // Promised chunks that this agent may fetch: index and source.
    std::deque<std::pair<std::uint32_t, std::size_t>> ready;
    std::map<std::uint64_t, running_fetch> fetches;
    double rate = link_rate;
    // Bytes that the agent's own link has received in this step.
    double received = 0;
};

struct origin_fetch
{
    std::size_t agent = 0;
    std::uint32_t index = 0;
    double left = chunk_bytes;
    base::time_point until;
};

struct simulation
{
    burst_scenario const& scenario;
    std::vector<agent> agents;
    std::map<std::string, std::size_t> by_name;
    plan_set fleet;
    origin_fetch_schedule schedule;
    std::vector<chunk_source> holders;
    std::vector<std::string> bytes;
    std::vector<std::string> digests;
    std::list<origin_fetch> origin_fetches;
    // When an agent's connection to the origin was last used, by agent.
    std::map<std::size_t, base::time_point> connections;
    std::set<std::uint32_t> sent;
    double sent_bytes = 0;
    base::time_point now = announced_at;
    burst_outcome outcome;
};

// Whether the agent is dead at the current time.
bool is_dead(simulation const& state, std::size_t number)
{
    auto const dies = state.scenario.dies.find(number);
    return state.scenario.dead.contains(number) ||
           (dies != state.scenario.dies.end() &&
            state.now >= announced_at + dies->second);
}

bool is_origin_down(simulation const& state)
{
    auto const& outage = state.scenario.origin_down;
    return outage && state.now >= announced_at + outage->from &&
           state.now < announced_at + outage->to;
}

simulation make_simulation(burst_scenario const& scenario)
{
    simulation state{scenario};
    for (std::uint32_t index = 0; index < chunk_count; ++index)
    {
        state.bytes.push_back("chunk " + std::to_string(index));
        state.digests.push_back(base::sha256_hex(state.bytes.back()));
    }
    for (std::size_t number = 0; number < scenario.agents; ++number)
    {
        agent made;
        made.domain = std::string(
            1, static_cast<char>('a' + number % domain_count.count()));
        made.name = made.domain + std::to_string(1000 + number);
        made.begins = announced_at + milliseconds(20);
        if (auto const late = scenario.late.find(number);
            late != scenario.late.end())
        {
            made.begins += late->second;
        }
        if (auto const narrow = scenario.narrowed.find(number);
            narrow != scenario.narrowed.end())
        {
            made.rate /= narrow->second;
        }
        auto& plan = state.fleet[made.domain];
        plan.failure_domain = made.domain;
        plan.region = "all";
        plan.endpoints.push_back({made.name, made.name, {{"m", "m@2"}}});
        state.by_name[made.name] = number;
        state.agents.push_back(std::move(made));
    }
    state.schedule = plan_origin_fetches(
        state.fleet, {origin_rate, max_accepted_connections}, chunk_bytes,
        announced_at);
    if (scenario.all_fetch_from_origin)
    {
        state.schedule.fetchers = state.schedule.order.size();
    }
    for (std::size_t number = 0; number < scenario.holders; ++number)
    {
        auto& own = state.agents[number];
        own.begun = true;
        begin(own.transfer, state.digests, announced_at);
        for (std::uint32_t index = 0; index < chunk_count; ++index)
        {
            offer(own.transfer, index, state.bytes[index]);
        }
        state.holders.push_back({own.name, own.name});
    }
    return state;
}

void start_origin_fetch(
    simulation& state, std::size_t number, std::uint32_t index)
{
    auto& own = state.agents[number];
    auto const known = state.connections.contains(number);
    if (!known && state.connections.size() >= max_accepted_connections &&
        !is_origin_down(state))
    {
        ++state.outcome.refused;
        lose(own.transfer, own.table, index, chunk_loss::failed, state.now);
        return;
    }
    state.connections[number] = state.now;
    state.outcome.max_connections =
        std::max(state.outcome.max_connections, state.connections.size());
    auto const limit =
        origin_fetch_timeout(state.schedule, failures_of(own.table, {}));
    state.origin_fetches.push_back(
        {number, index, chunk_bytes, state.now + limit});
}

void send_queries(simulation& state)
{
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        auto& own = state.agents[number];
        if (is_dead(state, number) || state.now < own.begins)
        {
            continue;
        }
        if (!own.begun)
        {
            own.begun = true;
            begin(own.transfer, state.digests, state.now);
        }
        transfer_requester const requester{
            own.domain, own.name, "m@2", state.holders};
        auto const wanted_chunks = next_chunk_requests(
            own.transfer, own.table, state.fleet, requester, state.schedule, {},
            state.now);
        for (auto const& wanted : wanted_chunks)
        {
            if (wanted.source.agent.empty())
            {
                start_origin_fetch(state, number, wanted.index);
                continue;
            }
            auto& other = state.agents[state.by_name.at(wanted.source.agent)];
            // A request to a dead agent takes longer to fail.
            auto const dead =
                is_dead(state, state.by_name.at(wanted.source.agent)) ||
                !other.begun;
            auto const time =
                dead ? dead_agent_response_time : request_hold_time;
            other.queries.push_back(
                {number, wanted.index, state.now + time, wanted.behind});
        }
    }
}

void run_liveness_checks(simulation& state, std::size_t number)
{
    auto& own = state.agents[number];
    if (is_dead(state, number) || !own.begun)
    {
        return;
    }
    transfer_requester const requester{
        own.domain, own.name, "m@2", state.holders};
    for (auto const& fetcher : next_liveness_checks(
             own.transfer, state.fleet, requester, state.schedule, state.now))
    {
        auto const checked_agent = state.by_name.at(fetcher.agent);
        auto const is_alive =
            !is_dead(state, checked_agent) && state.agents[checked_agent].begun;
        own.checks.push_back(
            {checked_agent, state.now + (is_alive ? check_answer_time
                                                  : liveness_check_timeout)});
    }
    for (auto const& check : own.checks)
    {
        auto const& other = state.agents[check.checked_agent];
        if (check.until > state.now)
        {
            continue;
        }
        note_liveness_check(
            own.transfer, other.name,
            !is_dead(state, check.checked_agent) && other.begun);
    }
    std::erase_if(
        own.checks,
        [&state](liveness_check const& check)
        {
            return check.until <= state.now;
        });
}

void answer_queries(simulation& state, std::size_t number)
{
    auto& own = state.agents[number];
    auto const dead = is_dead(state, number) || !own.begun;
    own.queries.sort(
        [](chunk_query const& one, chunk_query const& other)
        {
            return one.behind > other.behind;
        });
    for (auto place = own.queries.begin(); place != own.queries.end();)
    {
        auto& asker = state.agents[place->asker];
        auto const index = place->index;
        auto loaded_limit = own.send_limit;
        loaded_limit.waiting += own.on_link.size();
        if (!dead && own.transfer.chunks[index] &&
            may_promise(loaded_limit, state.now))
        {
            note_promised(own.send_limit, state.now);
            asker.ready.emplace_back(index, number);
            place = own.queries.erase(place);
            continue;
        }
        if (place->until > state.now)
        {
            ++place;
            continue;
        }
        if (!dead)
        {
            note_holdings(
                asker.transfer, {own.name, own.name},
                holdings_of(
                    own.transfer, state.schedule, own.name,
                    failures_of(own.table, {}) > 0),
                state.now);
        }
        lose(
            asker.transfer, asker.table, index,
            dead ? chunk_loss::failed : chunk_loss::not_yet, state.now);
        place = own.queries.erase(place);
    }
}

void fetch_ready(simulation& state, std::size_t number)
{
    auto& own = state.agents[number];
    for (auto const slow : narrowed_fetches(own.receive_limit, state.now))
    {
        avoid_after_failure(
            own.table, own.receive_limit.running.at(slow).agent, state.now);
        if (auto const found = own.fetches.find(slow);
            found != own.fetches.end() && !found->second.withdrawn)
        {
            found->second.withdrawn = true;
            withdraw(own.transfer, own.table, found->second.index);
        }
    }
    while (!own.ready.empty() && may_fetch(own.receive_limit, state.now))
    {
        auto const [index, source] = own.ready.front();
        own.ready.pop_front();
        if (own.transfer.chunks[index])
        {
            withdraw(own.transfer, own.table, index);
            continue;
        }
        auto& sender = state.agents[source];
        auto const fetch =
            begin_fetch(own.receive_limit, sender.name, state.now);
        own.fetches[fetch] = {index, state.now + fetch_timeout};
        note_fetch_requested(sender.send_limit, state.now);
        sender.sends.push_back({number, index, fetch});
    }
}

void end_overdue_fetches(simulation& state, std::size_t number)
{
    auto& own = state.agents[number];
    for (auto place = own.fetches.begin(); place != own.fetches.end();)
    {
        auto const [index, until, withdrawn] = place->second;
        if (until > state.now)
        {
            ++place;
            continue;
        }
        end_fetch(own.receive_limit, place->first, state.now);
        if (!withdrawn)
        {
            lose(own.transfer, own.table, index, chunk_loss::failed, state.now);
        }
        place = own.fetches.erase(place);
    }
}

// Puts a chunk on the link every 36 ms. Chunks on the link share it, and none
// is faster than its receiver's link.
void send_chunks(simulation& state, std::size_t number)
{
    constexpr double link_share = 0.95;
    auto const seconds = std::chrono::duration<double>(step).count();
    auto& own = state.agents[number];
    auto room = own.rate * seconds;
    while (!own.sends.empty() && state.now >= own.next_send)
    {
        auto const send_time = std::chrono::duration<double>(
            chunk_bytes / (link_rate * link_share));
        own.next_send = std::max(own.next_send, state.now) +
                        std::chrono::duration_cast<base::duration>(send_time);
        own.on_link.push_back(own.sends.front());
        own.sends.pop_front();
        note_left(own.send_limit);
    }
    for (auto place = own.on_link.begin(); place != own.on_link.end();)
    {
        auto& receiver = state.agents[place->receiver];
        auto const cap = receiver.rate * seconds - receiver.received;
        auto const part =
            std::max(0.0, std::min({room, chunk_bytes - place->sent, cap}));
        place->sent += part;
        receiver.received += part;
        room -= part;
        if (place->sent < chunk_bytes)
        {
            ++place;
            continue;
        }
        if (receiver.fetches.erase(place->number) > 0)
        {
            end_fetch(receiver.receive_limit, place->number, state.now);
            deliver(
                receiver.transfer, receiver.table, place->index,
                state.bytes[place->index], state.now);
        }
        place = own.on_link.erase(place);
    }
}

void run_origin(simulation& state)
{
    auto const is_down = is_origin_down(state);
    if (is_down)
    {
        state.connections.clear();
    }
    std::size_t active = 0;
    for (auto const& one : state.origin_fetches)
    {
        active += !state.scenario.cut_from_origin.contains(one.agent);
    }
    auto const part = origin_rate *
                      std::chrono::duration<double>(step).count() /
                      static_cast<double>(std::max<std::size_t>(1, active));
    for (auto place = state.origin_fetches.begin();
         place != state.origin_fetches.end();)
    {
        auto& own = state.agents[place->agent];
        auto const cut =
            is_down || state.scenario.cut_from_origin.contains(place->agent);
        place->left -= cut ? 0 : part;
        state.sent_bytes += cut ? 0 : part;
        if (place->left <= 0)
        {
            state.connections[place->agent] = state.now;
            state.sent.insert(place->index);
            deliver(
                own.transfer, own.table, place->index,
                state.bytes[place->index], state.now);
            place = state.origin_fetches.erase(place);
            continue;
        }
        if (place->until <= state.now)
        {
            state.connections.erase(place->agent);
            lose(
                own.transfer, own.table, place->index, chunk_loss::failed,
                state.now);
            place = state.origin_fetches.erase(place);
            continue;
        }
        ++place;
    }
    std::erase_if(
        state.connections,
        [&](auto const& entry)
        {
            return entry.second + max_idle_time < state.now;
        });
}

bool all_complete(simulation const& state)
{
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        if (!is_dead(state, number) &&
            !is_complete(state.agents[number].transfer))
        {
            return false;
        }
    }
    return true;
}

} // namespace

burst_outcome run_burst(burst_scenario const& scenario)
{
    auto state = make_simulation(scenario);
    auto const since = [&]
    {
        return std::chrono::duration_cast<milliseconds>(
            state.now - announced_at);
    };
    while (state.now < announced_at + max_run_time && !all_complete(state))
    {
        send_queries(state);
        run_origin(state);
        for (auto& own : state.agents)
        {
            own.received = 0;
        }
        for (std::size_t number = 0; number < state.agents.size(); ++number)
        {
            run_liveness_checks(state, number);
            answer_queries(state, number);
            fetch_ready(state, number);
            end_overdue_fetches(state, number);
            if (!is_dead(state, number))
            {
                send_chunks(state, number);
            }
        }
        if (state.sent.size() == chunk_count && !state.outcome.first_copy)
        {
            state.outcome.first_copy = since();
        }
        state.now += step;
    }
    if (all_complete(state))
    {
        state.outcome.completed_after = since();
    }
    state.outcome.copies =
        state.sent_bytes / (static_cast<double>(chunk_bytes) * chunk_count);
    return state.outcome;
}

} // namespace foxtailvale::weights
