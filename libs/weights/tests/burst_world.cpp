#include "burst_world.hpp"

#include <base/digest.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

using std::chrono::milliseconds;

base::time_point const named{std::chrono::hours(1)};
constexpr milliseconds step{5};
constexpr milliseconds longest_run{60'000};
constexpr std::uint32_t chunk_count = 64;
constexpr std::uint32_t chunk_bytes = 32768;
constexpr std::size_t accepted = 48;
constexpr double origin_rate = 9.9e6 / 8;
constexpr double link_rate = 7.6e6 / 8;
// Agents keep a question for so long, and a connection without use.
constexpr milliseconds question_time{500};
constexpr milliseconds answer_at_once{10};
constexpr milliseconds silent_question{900};
constexpr milliseconds idle_time{1500};
constexpr milliseconds fetch_limit{2500};
constexpr milliseconds domain_count{3};

struct question
{
    std::size_t asker = 0;
    std::uint32_t index = 0;
    base::time_point until;
    std::size_t behind = 0;
};

// One that is answered at once, to a drawer.
struct check_question
{
    std::size_t asked = 0;
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
    source_table book;
    receive_window receiving;
    send_window line;
    std::list<question> questions;
    std::vector<check_question> checks;
    std::deque<sending> sends;
    std::list<sending> on_link;
    base::time_point next_send;
    // Promised chunks that this agent may fetch: index and source.
    std::deque<std::pair<std::uint32_t, std::size_t>> ready;
    std::map<std::uint64_t, running_fetch> fetches;
    double rate = link_rate;
    // What the own link has taken in this step.
    double taken = 0;
};

struct draw
{
    std::size_t agent = 0;
    std::uint32_t index = 0;
    double left = chunk_bytes;
    base::time_point until;
};

struct world
{
    burst_course const& course;
    std::vector<agent> agents;
    std::map<std::string, std::size_t> by_name;
    plan_set fleet;
    origin_fetch_schedule schedule;
    std::vector<chunk_source> holders;
    std::vector<std::string> bytes;
    std::vector<std::string> digests;
    std::list<draw> draws;
    // By agent, when its connection was last used.
    std::map<std::size_t, base::time_point> connections;
    std::set<std::uint32_t> sent;
    double sent_bytes = 0;
    base::time_point now = named;
    burst_outcome outcome;
};

// Whether the agent is gone by now.
bool is_dead(world const& state, std::size_t number)
{
    auto const dies = state.course.dies.find(number);
    return state.course.dead.contains(number) ||
           (dies != state.course.dies.end() &&
            state.now >= named + dies->second);
}

bool is_away(world const& state)
{
    auto const& away = state.course.origin_away;
    return away && state.now >= named + away->from &&
           state.now < named + away->to;
}

world make_world(burst_course const& course)
{
    world state{course};
    for (std::uint32_t index = 0; index < chunk_count; ++index)
    {
        state.bytes.push_back("chunk " + std::to_string(index));
        state.digests.push_back(base::sha256_hex(state.bytes.back()));
    }
    for (std::size_t number = 0; number < course.agents; ++number)
    {
        agent made;
        made.domain = std::string(
            1, static_cast<char>('a' + number % domain_count.count()));
        made.name = made.domain + std::to_string(1000 + number);
        made.begins = named + milliseconds(20);
        if (auto const late = course.late.find(number);
            late != course.late.end())
        {
            made.begins += late->second;
        }
        if (auto const narrow = course.squeezed.find(number);
            narrow != course.squeezed.end())
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
        state.fleet, {origin_rate, accepted}, chunk_bytes, named);
    if (course.all_draw)
    {
        state.schedule.fetchers = state.schedule.order.size();
    }
    for (std::size_t number = 0; number < course.holders; ++number)
    {
        auto& own = state.agents[number];
        own.begun = true;
        begin(own.transfer, state.digests, named);
        for (std::uint32_t index = 0; index < chunk_count; ++index)
        {
            offer(own.transfer, index, state.bytes[index]);
        }
        state.holders.push_back({own.name, own.name});
    }
    return state;
}

void start_draw(world& state, std::size_t number, std::uint32_t index)
{
    auto& own = state.agents[number];
    auto const known = state.connections.contains(number);
    if (!known && state.connections.size() >= accepted && !is_away(state))
    {
        ++state.outcome.refused;
        lose(own.transfer, own.book, index, chunk_loss::failed, state.now);
        return;
    }
    state.connections[number] = state.now;
    state.outcome.most_connections =
        std::max(state.outcome.most_connections, state.connections.size());
    auto const limit =
        origin_fetch_timeout(state.schedule, failures_of(own.book, {}));
    state.draws.push_back({number, index, chunk_bytes, state.now + limit});
}

void ask_all(world& state)
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
        transfer_requester const place{
            own.domain, own.name, "m@2", state.holders};
        auto const asks = next_chunk_requests(
            own.transfer, own.book, state.fleet, place, state.schedule, {},
            state.now);
        for (auto const& wanted : asks)
        {
            if (wanted.source.agent.empty())
            {
                start_draw(state, number, wanted.index);
                continue;
            }
            auto& other = state.agents[state.by_name.at(wanted.source.agent)];
            // A dead one leaves the question without an answer for longer.
            auto const dead =
                is_dead(state, state.by_name.at(wanted.source.agent)) ||
                !other.begun;
            auto const time = dead ? silent_question : question_time;
            other.questions.push_back(
                {number, wanted.index, state.now + time, wanted.behind});
        }
    }
}

void ask_checks(world& state, std::size_t number)
{
    auto& own = state.agents[number];
    if (is_dead(state, number) || !own.begun)
    {
        return;
    }
    transfer_requester const place{own.domain, own.name, "m@2", state.holders};
    for (auto const& drawer : next_liveness_checks(
             own.transfer, state.fleet, place, state.schedule, state.now))
    {
        auto const asked = state.by_name.at(drawer.agent);
        auto const lives = !is_dead(state, asked) && state.agents[asked].begun;
        own.checks.push_back(
            {asked,
             state.now + (lives ? answer_at_once : liveness_check_timeout)});
    }
    for (auto const& check : own.checks)
    {
        auto const& other = state.agents[check.asked];
        if (check.until > state.now)
        {
            continue;
        }
        note_liveness_check(
            own.transfer, other.name,
            !is_dead(state, check.asked) && other.begun);
    }
    std::erase_if(
        own.checks,
        [&state](check_question const& check)
        {
            return check.until <= state.now;
        });
}

void answer_questions(world& state, std::size_t number)
{
    auto& own = state.agents[number];
    auto const dead = is_dead(state, number) || !own.begun;
    own.questions.sort(
        [](question const& one, question const& other)
        {
            return one.behind > other.behind;
        });
    for (auto place = own.questions.begin(); place != own.questions.end();)
    {
        auto& asker = state.agents[place->asker];
        auto const index = place->index;
        auto seen = own.line;
        seen.waiting += own.on_link.size();
        if (!dead && own.transfer.chunks[index] && may_promise(seen, state.now))
        {
            note_promised(own.line, state.now);
            asker.ready.emplace_back(index, number);
            place = own.questions.erase(place);
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
                    failures_of(own.book, {}) > 0),
                state.now);
        }
        lose(
            asker.transfer, asker.book, index,
            dead ? chunk_loss::failed : chunk_loss::not_yet, state.now);
        place = own.questions.erase(place);
    }
}

void fetch_ready(world& state, std::size_t number)
{
    auto& own = state.agents[number];
    for (auto const slow : squeezed_fetches(own.receiving, state.now))
    {
        avoid_after_failure(
            own.book, own.receiving.running.at(slow).agent, state.now);
        if (auto const found = own.fetches.find(slow);
            found != own.fetches.end() && !found->second.withdrawn)
        {
            found->second.withdrawn = true;
            withdraw(own.transfer, own.book, found->second.index);
        }
    }
    while (!own.ready.empty() && may_fetch(own.receiving, state.now))
    {
        auto const [index, source] = own.ready.front();
        own.ready.pop_front();
        if (own.transfer.chunks[index])
        {
            withdraw(own.transfer, own.book, index);
            continue;
        }
        auto& sender = state.agents[source];
        auto const fetch = begin_fetch(own.receiving, sender.name, state.now);
        own.fetches[fetch] = {index, state.now + fetch_limit};
        note_fetch_requested(sender.line, state.now);
        sender.sends.push_back({number, index, fetch});
    }
}

void end_overdue(world& state, std::size_t number)
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
        end_fetch(own.receiving, place->first, state.now);
        if (!withdrawn)
        {
            lose(own.transfer, own.book, index, chunk_loss::failed, state.now);
        }
        place = own.fetches.erase(place);
    }
}

// A chunk is put on the link every 36 ms; those on it share it, and each goes
// no faster than its receiver's link lets it.
void send_chunks(world& state, std::size_t number)
{
    constexpr double link_share = 0.95;
    auto const seconds = std::chrono::duration<double>(step).count();
    auto& own = state.agents[number];
    auto room = own.rate * seconds;
    while (!own.sends.empty() && state.now >= own.next_send)
    {
        auto const taken = std::chrono::duration<double>(
            chunk_bytes / (link_rate * link_share));
        own.next_send = std::max(own.next_send, state.now) +
                        std::chrono::duration_cast<base::duration>(taken);
        own.on_link.push_back(own.sends.front());
        own.sends.pop_front();
        note_left(own.line);
    }
    for (auto place = own.on_link.begin(); place != own.on_link.end();)
    {
        auto& receiver = state.agents[place->receiver];
        auto const cap = receiver.rate * seconds - receiver.taken;
        auto const part =
            std::max(0.0, std::min({room, chunk_bytes - place->sent, cap}));
        place->sent += part;
        receiver.taken += part;
        room -= part;
        if (place->sent < chunk_bytes)
        {
            ++place;
            continue;
        }
        if (receiver.fetches.erase(place->number) > 0)
        {
            end_fetch(receiver.receiving, place->number, state.now);
            deliver(
                receiver.transfer, receiver.book, place->index,
                state.bytes[place->index], state.now);
        }
        place = own.on_link.erase(place);
    }
}

void run_origin(world& state)
{
    auto const away = is_away(state);
    if (away)
    {
        state.connections.clear();
    }
    std::size_t active = 0;
    for (auto const& one : state.draws)
    {
        active += !state.course.cut_from_origin.contains(one.agent);
    }
    auto const part = origin_rate *
                      std::chrono::duration<double>(step).count() /
                      static_cast<double>(std::max<std::size_t>(1, active));
    for (auto place = state.draws.begin(); place != state.draws.end();)
    {
        auto& own = state.agents[place->agent];
        auto const cut =
            away || state.course.cut_from_origin.contains(place->agent);
        place->left -= cut ? 0 : part;
        state.sent_bytes += cut ? 0 : part;
        if (place->left <= 0)
        {
            state.connections[place->agent] = state.now;
            state.sent.insert(place->index);
            deliver(
                own.transfer, own.book, place->index, state.bytes[place->index],
                state.now);
            place = state.draws.erase(place);
            continue;
        }
        if (place->until <= state.now)
        {
            state.connections.erase(place->agent);
            lose(
                own.transfer, own.book, place->index, chunk_loss::failed,
                state.now);
            place = state.draws.erase(place);
            continue;
        }
        ++place;
    }
    std::erase_if(
        state.connections,
        [&](auto const& entry)
        {
            return entry.second + idle_time < state.now;
        });
}

bool all_whole(world const& state)
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

burst_outcome run_burst(burst_course const& course)
{
    auto state = make_world(course);
    auto const since = [&]
    {
        return std::chrono::duration_cast<milliseconds>(state.now - named);
    };
    while (state.now < named + longest_run && !all_whole(state))
    {
        ask_all(state);
        run_origin(state);
        for (auto& own : state.agents)
        {
            own.taken = 0;
        }
        for (std::size_t number = 0; number < state.agents.size(); ++number)
        {
            ask_checks(state, number);
            answer_questions(state, number);
            fetch_ready(state, number);
            end_overdue(state, number);
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
    if (all_whole(state))
    {
        state.outcome.whole = since();
    }
    state.outcome.copies =
        state.sent_bytes / (static_cast<double>(chunk_bytes) * chunk_count);
    return state.outcome;
}

} // namespace foxtailvale::weights
