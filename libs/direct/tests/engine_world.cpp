#include "engine_world.hpp"

#include "played_engine.hpp"

#include <direct/placement.hpp>
#include <direct/repeat.hpp>
#include <weights/switch_time.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <sstream>
#include <tuple>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;

base::time_point const start{std::chrono::hours(1)};
constexpr milliseconds step{1};
constexpr milliseconds wire_time{1};
constexpr char const* model_name = "m";
constexpr char const* service_name = "engine";

// As the entry does it.
constexpr milliseconds version_margin{400};
constexpr milliseconds tick{20};
constexpr milliseconds subscription_interval{1000};
constexpr milliseconds connect_limit{400};
constexpr milliseconds least_first_byte{600};
constexpr milliseconds longest_first_byte{1600};
constexpr milliseconds least_gap{900};
constexpr std::uint32_t most_attempts = 2;

// As the agent does it.
constexpr milliseconds report_interval{100};
constexpr std::uint64_t remote_interval = 4;
constexpr milliseconds order_limit{1000};
constexpr milliseconds order_pause{300};
constexpr milliseconds switch_notice{2500};
constexpr std::size_t chunk_count = 64;

// What callers bring.
constexpr milliseconds caller_time{6000};
constexpr milliseconds caller_goal{400};

enum class final_word
{
    answered,
    cut,
    refused,
};

// A request of a caller, from its arrival at an entry to the last word on it.
struct caller_request
{
    std::uint64_t number = 0;
    std::size_t entry = 0;
    // The first attempt's.
    base::time_point asked;
    base::time_point deadline;
    double prompt = 0;
    double answer = 0;
    double hint = 0;
    bool came_back = false;

    // This attempt's.
    base::time_point arrived;
    base::time_point wait_until;
    bool returned = false;
    bool in_line = false;
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    base::ran_state ran = base::ran_state::no;
    bool answer_begun = false;
    std::uint64_t version = 0;
    // Where it is now, as the entry sees it.
    std::optional<std::size_t> engine;
    std::uint64_t attempt = 0;
    bool written = false;
    base::time_point decided;
    base::time_point handed;
    base::time_point last_byte;
    std::uint32_t events = 0;
    std::optional<base::time_point> first_event;
};

// Order in an entry's line: those that came back last, then by time.
using line_place = std::tuple<bool, base::time_point, std::uint64_t>;

struct played_entry
{
    std::string name;
    std::string domain;
    endpoint_book book;
    base::random_state random;
    request::measured_time first_answer;
    retry_window repeats;
    std::map<line_place, std::uint64_t> line;
};

struct played_agent
{
    std::vector<weights::named_target> targets;
    // When chunks of a version begin to come, and when they are all there.
    std::map<std::uint64_t, stretch> chunks;
    std::optional<milliseconds> arrival;
    // As the engine was when it was last asked.
    load_report seen;
    bool busy = false;
    bool switching = false;
    bool verifying = false;
    bool ordering = false;
    std::uint64_t staged = 0;
    base::time_point order_again;
    std::uint64_t rounds = 0;
    // When what was told so far is through the link.
    base::time_point link_clear;
};

// An attempt at an engine, for the check.
struct sent_request
{
    std::uint64_t caller = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    std::uint32_t work = 0;
    milliseconds report_age{0};
    base::time_point decided;
    base::time_point arrived;
};

struct world
{
    fleet_course const& course;
    routing::engine_costs costs;
    base::random_state random;
    std::vector<played_entry> entries;
    std::vector<played_agent> agents;
    std::vector<played_engine> engines;
    std::set<std::string> entry_names;
    std::map<std::uint64_t, caller_request> callers;
    std::map<std::uint64_t, sent_request> sent;
    // What happens later, in order.
    std::multimap<base::time_point, std::function<void()>> events;
    std::uint64_t numbers = 0;
    std::uint64_t attempts = 0;
    base::time_point now = start;
    fleet_outcome outcome;
};

std::string domain_of(std::size_t number)
{
    constexpr std::size_t domains = 3;
    return std::string(1, static_cast<char>('a' + number % domains));
}

std::string ip_of_engine(std::size_t number)
{
    return "10.0.0." + std::to_string(number + 1);
}

std::string id_of_engine(std::size_t number)
{
    return "e" + std::to_string(number);
}

milliseconds rounded(base::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

void later(world& state, milliseconds wait, std::function<void()> event)
{
    state.events.emplace(state.now + wait, std::move(event));
}

milliseconds random_time(base::random_state& random, int from, int to)
{
    auto const span = static_cast<std::uint64_t>(to - from);
    return milliseconds(
        from + static_cast<int>(base::random_below(random, span + 1)));
}

double uniform(base::random_state& random)
{
    constexpr std::uint64_t steps = 1U << 30U;
    return (static_cast<double>(base::random_below(random, steps)) + 0.5) /
           static_cast<double>(steps);
}

// Mean 1 before the cut at `most`.
double lognormal(base::random_state& random, double spread, double most)
{
    auto const normal = std::sqrt(-2 * std::log(uniform(random))) *
                        std::cos(2 * std::numbers::pi * uniform(random));
    return std::min(most, std::exp(spread * normal - spread * spread / 2));
}

bool is_hit(
    std::vector<engine_trouble> const& troubles,
    std::size_t engine,
    base::time_point now)
{
    return std::ranges::any_of(
        troubles,
        [&](engine_trouble const& trouble)
        {
            return trouble.engines.contains(engine) &&
                   now >= start + trouble.time.from &&
                   now < start + trouble.time.to;
        });
}

// Something that the engine reads when it does not stand still.
void reach(world& state, std::size_t engine, std::function<void()> event)
{
    later(
        state, wire_time,
        [&state, engine, event = std::move(event)]
        {
            if (is_hit(state.course.engine_pauses, engine, state.now))
            {
                reach(state, engine, event);
                return;
            }
            event();
        });
}

// ---- The deadline's way from the entry to the engine.

// What the engine is told that it has left, counted from the arrival of the
// request's bytes.
base::duration
time_handed_on(caller_request const& asked, base::time_point written)
{
    return asked.handed - written;
}

// ---- Callers.

void admit(world& state, std::uint64_t number);
bool place(world& state, caller_request& asked);
void serve_waiting(world& state, played_entry& entry);

void end_request(world& state, std::uint64_t number, final_word word)
{
    auto const node = state.callers.extract(number);
    auto const& asked = node.mapped();
    auto& outcome = state.outcome;
    if (word == final_word::answered)
    {
        ++outcome.answered;
        outcome.in_time +=
            asked.first_event && *asked.first_event - asked.asked <= caller_goal
                ? 1
                : 0;
        return;
    }
    ++(word == final_word::cut ? outcome.cut : outcome.refused);
}

// A caller that is refused comes back once, if there is time.
void refuse(world& state, caller_request& asked)
{
    constexpr int least = 400;
    constexpr int most = 1400;
    auto const after = random_time(state.random, least, most);
    if (asked.came_back || state.now + 3 * after > asked.deadline)
    {
        end_request(state, asked.number, final_word::refused);
        return;
    }
    auto const number = asked.number;
    later(
        state, after,
        [&state, number]
        {
            auto& back = state.callers.at(number);
            auto const same = caller_request{
                .number = back.number,
                .entry = back.entry,
                .asked = back.asked,
                .deadline = back.deadline,
                .prompt = back.prompt,
                .answer = back.answer,
                .hint = back.hint,
                .came_back = true};
            back = same;
            back.returned = true;
            admit(state, number);
        });
}

void fail(world& state, caller_request& asked)
{
    if (asked.answer_begun)
    {
        end_request(state, asked.number, final_word::cut);
        return;
    }
    // Only what has not run may be refused.
    if (asked.ran == base::ran_state::no)
    {
        refuse(state, asked);
        return;
    }
    end_request(state, asked.number, final_word::cut);
}

void ask(world& state)
{
    constexpr double hint_spread = 0.5;
    constexpr double prompt_spread = 1;
    constexpr double answer_spread = 0.85;
    constexpr double most = 3;
    caller_request asked;
    asked.number = ++state.numbers;
    asked.entry = base::random_below(state.random, state.entries.size());
    asked.asked = state.now;
    asked.deadline = state.now + caller_time;
    asked.prompt = 1 + state.costs.usual_prompt *
                           lognormal(state.random, prompt_spread, most);
    asked.answer = 1 + state.costs.usual_answer *
                           lognormal(state.random, answer_spread, most);
    asked.hint = asked.answer * lognormal(state.random, hint_spread, 2 * most);
    ++state.outcome.asked;
    state.callers[asked.number] = asked;
    admit(state, asked.number);
}

void plan_callers(world& state, base::time_point from)
{
    if (from >= start + state.course.length)
    {
        return;
    }
    auto const together = state.course.together;
    auto const rate = state.course.load * full_rate(state.costs) *
                      static_cast<double>(state.course.engines) /
                      static_cast<double>(together);
    auto const wait =
        std::chrono::duration<double>(-std::log(uniform(state.random)) / rate);
    auto const at = from + std::chrono::duration_cast<base::duration>(wait);
    state.events.emplace(
        at,
        [&state, together, at]
        {
            auto const count =
                1 + base::random_below(state.random, 2 * together - 1);
            for (std::uint64_t number = 0; number < count; ++number)
            {
                ask(state);
            }
            plan_callers(state, at);
        });
}

// ---- Entries.

placement_ask placement(
    world const& state, played_entry const& entry, caller_request const& asked)
{
    constexpr double cold_per_second = 36;
    constexpr double cold_tolerance = 5;
    placement_ask ask;
    ask.service = service_name;
    ask.model = model_name;
    ask.own_domain = entry.domain;
    ask.tried = asked.tried;
    ask.cold = {cold_per_second, cold_tolerance};
    ask.entries = state.course.counted_entries.value_or(state.entries.size());
    if (asked.returned)
    {
        ask.depth = depth_for_returned(state.costs.slots);
    }
    ask.all_entries = &state.entry_names;
    ask.own_entry = entry.name;
    ask.version = asked.answer_begun ? asked.version : 0;
    ask.expected = expected_time(
        state.costs, static_cast<std::uint64_t>(asked.prompt),
        static_cast<std::uint64_t>(asked.hint));
    return ask;
}

line_place place_in_line(caller_request const& asked)
{
    return {asked.returned, asked.wait_until, asked.number};
}

void leave_line(world& state, caller_request& asked)
{
    if (std::exchange(asked.in_line, false))
    {
        state.entries[asked.entry].line.erase(place_in_line(asked));
    }
}

void wait_for_room(world& state, caller_request& asked)
{
    asked.in_line = true;
    state.entries[asked.entry].line[place_in_line(asked)] = asked.number;
}

void end_attempt(world& state, caller_request& asked, use_end how)
{
    auto& entry = state.entries[asked.entry];
    auto const engine = *std::exchange(asked.engine, std::nullopt);
    end_use(entry.book, id_of_engine(engine), how, state.now);
    auto const attempt = std::exchange(asked.attempt, 0);
    auto const closes = how == use_end::faulty || how == use_end::cancelled;
    if (closes && !state.course.ignores_close)
    {
        reach(
            state, engine,
            [&state, engine, attempt]
            {
                drop(state.engines[engine], attempt);
            });
    }
    serve_waiting(state, entry);
}

void after_failure(world& state, caller_request& asked, base::ran_state ran)
{
    constexpr retry_bound bound{0.2, std::chrono::seconds(10), 104};
    constexpr milliseconds more_wait{100};
    if (ran != base::ran_state::no)
    {
        ++asked.runs;
        asked.ran = ran;
    }
    repeat_ask const ask{
        .repeats = routing::repetition::resumable,
        .ran = ran,
        .runs = asked.runs,
        .most_attempts = most_attempts,
        .sends = asked.sends,
        .answer_begun = asked.answer_begun};
    auto& entry = state.entries[asked.entry];
    if (asked.deadline <= state.now || !may_repeat(ask) ||
        !spend_repeat(entry.repeats, bound, state.entries.size(), state.now))
    {
        fail(state, asked);
        return;
    }
    asked.wait_until = std::min(
        asked.deadline, std::max(asked.wait_until, state.now + more_wait));
    if (!place(state, asked))
    {
        wait_for_room(state, asked);
    }
}

// The request's bytes reach the engine.
void reach_engine(
    world& state, std::size_t engine, played_request const& request)
{
    state.sent.at(request.number).arrived = state.now;
    arrive(state.engines[engine], request);
}

void write_request(
    world& state,
    std::uint64_t number,
    std::uint64_t attempt,
    choice const& chosen)
{
    auto const found = state.callers.find(number);
    if (found == state.callers.end() || found->second.attempt != attempt)
    {
        return;
    }
    auto& asked = found->second;
    auto const left = time_handed_on(asked, state.now);
    if (left <= base::duration::zero())
    {
        end_attempt(state, asked, use_end::cancelled);
        after_failure(state, asked, base::ran_state::no);
        return;
    }
    asked.written = true;
    auto const engine = *asked.engine;
    played_request request;
    request.number = attempt;
    request.version = chosen.version;
    request.to_read = asked.prompt;
    request.to_write = asked.answer;
    reach(
        state, engine,
        [&state, engine, request, left]
        {
            auto read = request;
            read.deadline = state.now + left;
            reach_engine(state, engine, read);
        });
}

void send(
    world& state,
    played_entry& entry,
    caller_request& asked,
    choice const& chosen)
{
    leave_line(state, asked);
    auto const& endpoint = *chosen.chosen;
    auto const number =
        static_cast<std::size_t>(std::stoul(endpoint.listed.id.substr(1)));
    ++asked.sends;
    asked.attempt = ++state.attempts;
    asked.tried.insert(endpoint.listed.id);
    asked.version = chosen.version;
    asked.engine = number;
    asked.written = false;
    asked.decided = state.now;
    asked.handed = handed_deadline(chosen, asked.deadline);
    asked.last_byte = state.now;
    asked.events = 0;
    state.sent[asked.attempt] = {
        asked.number,
        asked.entry,
        number,
        work_at(
            endpoint,
            state.course.counted_entries.value_or(state.entries.size()),
            state.now),
        endpoint.report ? rounded(state.now - endpoint.reported)
                        : milliseconds(-1),
        state.now,
        {}};
    begin_use(entry.book, endpoint.listed.id, state.now);
    auto const late =
        state.course.one_late_write_in > 0 &&
        base::random_below(state.random, state.course.one_late_write_in) == 0;
    constexpr int usual_write = 2;
    auto const wait =
        late ? random_time(
                   state.random, 0, static_cast<int>(connect_limit.count()))
             : random_time(state.random, 0, usual_write);
    later(
        state, wait,
        [&state, chosen, caller = asked.number, attempt = asked.attempt]
        {
            write_request(state, caller, attempt, chosen);
        });
}

// Tries to place the request; false when it is to wait.
bool place(world& state, caller_request& asked)
{
    auto& entry = state.entries[asked.entry];
    auto const chosen = choose(
        entry.book, placement(state, entry, asked), state.now, entry.random);
    if (chosen.chosen != nullptr)
    {
        send(state, entry, asked, chosen);
        return true;
    }
    if (chosen.why != no_choice::none_listed)
    {
        return false;
    }
    leave_line(state, asked);
    fail(state, asked);
    return true;
}

void admit(world& state, std::uint64_t number)
{
    auto& asked = state.callers.at(number);
    auto& entry = state.entries[asked.entry];
    asked.arrived = state.now;
    asked.wait_until = std::min(
        state.now + longest_wait(caller_goal, entry.first_answer),
        asked.deadline);
    note_request(entry.repeats, state.now);
    auto const stands_back = asked.returned && !entry.line.empty();
    if (stands_back || !place(state, asked))
    {
        wait_for_room(state, asked);
    }
}

void serve_waiting(world& state, played_entry& entry)
{
    auto next = line_place{};
    while (true)
    {
        auto const found = entry.line.upper_bound(next);
        if (found == entry.line.end())
        {
            return;
        }
        next = found->first;
        if (!place(state, state.callers.at(found->second)))
        {
            return;
        }
    }
}

bool engine_is_lost(world const& state, caller_request const& asked)
{
    auto const& book = state.entries[asked.entry].book;
    auto const& known = book.endpoints.at(id_of_engine(*asked.engine));
    auto const silent = known.report && !is_fresh(known, state.now);
    return is_stalled(known, state.now) || silent;
}

// When the entry gives the attempt up.
base::time_point attempt_limit(world const& state, caller_request const& asked)
{
    if (!asked.written)
    {
        return asked.decided + connect_limit;
    }
    if (asked.runs + 1 >= most_attempts)
    {
        return asked.deadline;
    }
    auto const lost = engine_is_lost(state, asked);
    if (asked.events > 0)
    {
        return asked.last_byte + (lost ? least_gap : 2 * least_gap);
    }
    auto const soon = std::max(least_first_byte, 2 * caller_goal);
    return asked.decided + (lost ? soon : std::max(soon, longest_first_byte));
}

void watch_time(world& state, caller_request& asked)
{
    if (asked.in_line && state.now >= asked.wait_until)
    {
        leave_line(state, asked);
        fail(state, asked);
        return;
    }
    if (!asked.engine)
    {
        return;
    }
    auto const ran =
        asked.written ? base::ran_state::unknown : base::ran_state::no;
    if (state.now >= asked.deadline)
    {
        auto const silent = state.now - asked.last_byte > stall_time;
        end_attempt(
            state, asked, silent ? use_end::faulty : use_end::cancelled);
        after_failure(state, asked, ran);
        return;
    }
    if (state.now >= attempt_limit(state, asked))
    {
        end_attempt(
            state, asked,
            asked.written ? use_end::faulty : use_end::not_connected);
        after_failure(state, asked, ran);
        return;
    }
    auto const begins_by = must_begin_by(
        state.entries[asked.entry].book, model_name, asked.version,
        asked.handed);
    if (asked.events == 0 && begins_by && state.now >= *begins_by)
    {
        end_attempt(state, asked, use_end::cancelled);
        after_failure(state, asked, ran);
    }
}

void watch_times(world& state)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, asked] : state.callers)
    {
        if (asked.in_line || asked.engine)
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        auto const found = state.callers.find(number);
        if (found != state.callers.end())
        {
            watch_time(state, found->second);
        }
    }
}

// ---- What engines say.

// The check: a version's time ends 8 s after the next one was named.
void check_beginning(
    world& state,
    std::size_t engine,
    std::uint64_t attempt,
    std::uint64_t version)
{
    auto const& sent = state.sent.at(attempt);
    if (sent.report_age >= milliseconds(0) && sent.work < state.costs.slots)
    {
        auto const waited = rounded(state.now - sent.arrived);
        state.outcome.longest_with_slot =
            std::max(state.outcome.longest_with_slot, waited);
    }
    auto const& named = state.course.named;
    auto const next = version - 1;
    if (next >= named.size() || state.now < start + named[next])
    {
        return;
    }
    auto const end = start + named[next] + version_bound;
    auto& outcome = state.outcome;
    ++outcome.begun_on_older;
    outcome.least_left = std::min(outcome.least_left, rounded(end - state.now));
    if (state.now <= end)
    {
        return;
    }
    outcome.late.push_back(
        {sent.entry, engine, version, sent.work, sent.report_age,
         rounded(sent.decided - end), rounded(sent.arrived - end),
         rounded(state.now - end)});
}

void take_first_event(world& state, caller_request& asked)
{
    if (std::exchange(asked.answer_begun, true))
    {
        return;
    }
    asked.first_event = state.now;
    if (asked.sends == 1)
    {
        request::note(
            state.entries[asked.entry].first_answer,
            std::chrono::duration_cast<std::chrono::microseconds>(
                state.now - asked.decided));
    }
}

void hear(world& state, engine_event const& event)
{
    auto const& sent = state.sent.at(event.number);
    auto const found = state.callers.find(sent.caller);
    if (found == state.callers.end() || found->second.attempt != event.number)
    {
        return;
    }
    auto& asked = found->second;
    asked.last_byte = state.now;
    note_heard(
        state.entries[asked.entry].book, id_of_engine(sent.engine), state.now);
    switch (event.word)
    {
    case engine_word::began:
        ++asked.events;
        take_first_event(state, asked);
        return;
    case engine_word::wrote:
        ++asked.events;
        return;
    case engine_word::answered:
        end_attempt(state, asked, use_end::answered);
        end_request(state, sent.caller, final_word::answered);
        return;
    case engine_word::declined:
        end_attempt(state, asked, use_end::declined);
        after_failure(state, asked, base::ran_state::no);
        return;
    case engine_word::misdirected:
        end_attempt(state, asked, use_end::misdirected);
        after_failure(state, asked, base::ran_state::no);
        return;
    case engine_word::stopped:
        end_attempt(state, asked, use_end::faulty);
        after_failure(state, asked, base::ran_state::yes);
        return;
    }
}

void list_version(world& state, std::size_t number)
{
    constexpr int least = 400;
    constexpr int most = 1300;
    auto const version = state.engines[number].version;
    for (auto& entry : state.entries)
    {
        later(
            state, random_time(state.random, least, most),
            [&state, &entry, number, version]
            {
                auto record =
                    entry.book.endpoints.at(id_of_engine(number)).listed;
                record.weights.version =
                    std::max(record.weights.version, version);
                put(entry.book, std::move(record));
                serve_waiting(state, entry);
            });
    }
}

void work_engine(world& state, std::size_t number)
{
    auto& engine = state.engines[number];
    if (is_hit(state.course.engine_pauses, number, state.now))
    {
        return;
    }
    auto const before = engine.version;
    engine.slowness = is_hit(state.course.slow, number, state.now)
                          ? state.course.slowness
                          : 1;
    work(engine, state.now);
    auto const said = std::exchange(engine.said, {});
    for (auto const& event : said)
    {
        if (event.word == engine_word::began)
        {
            check_beginning(state, number, event.number, event.version);
        }
        later(
            state, wire_time,
            [&state, event]
            {
                hear(state, event);
            });
    }
    if (engine.version != before)
    {
        list_version(state, number);
    }
}

// ---- Agents.

std::size_t
missing_chunks(world const& state, std::size_t number, std::uint64_t version)
{
    auto const& chunks = state.agents[number].chunks;
    auto const found = chunks.find(version);
    if (found == chunks.end())
    {
        return chunk_count;
    }
    auto const& [from, to] = found->second;
    auto const left = start + to - state.now;
    auto const share = static_cast<double>(left.count()) /
                       static_cast<double>(base::duration(to - from).count());
    return static_cast<std::size_t>(
        std::ceil(std::clamp(share, 0.0, 1.0) * chunk_count));
}

std::optional<base::time_point>
whole_at(world const& state, std::size_t number, std::uint64_t version)
{
    auto const& own = state.agents[number];
    auto const found = own.chunks.find(version);
    if (found == own.chunks.end())
    {
        return std::nullopt;
    }
    auto const missing = missing_chunks(state, number, version);
    if (missing == 0)
    {
        return start + found->second.to;
    }
    auto at = state.now + weights::chunk_time * static_cast<int>(missing);
    auto const named = std::ranges::find(
        own.targets, version, &weights::named_target::version);
    if (own.arrival)
    {
        at = std::max(at, named->named + *own.arrival);
    }
    return at;
}

weights::switch_ask switch_ask_of(world const& state, std::size_t number)
{
    auto const& own = state.agents[number];
    weights::switch_ask ask;
    ask.serving = own.seen.weights.version;
    ask.targets = own.targets;
    ask.bound = version_bound;
    ask.arrival = own.arrival;
    ask.whole = [&state, number](std::uint64_t version)
    {
        return whole_at(state, number, version);
    };
    ask.agents = 0;
    for (std::size_t other = 0; other < state.agents.size(); ++other)
    {
        auto const near = domain_of(other) == domain_of(number);
        ask.agents += near ? 1 : 0;
        ask.rank += near && other < number ? 1 : 0;
    }
    return ask;
}

std::uint64_t next_version(world const& state, std::size_t number)
{
    auto const ask = switch_ask_of(state, number);
    return weights::fall_back(
        ask, weights::choose_target(ask),
        [&](std::uint64_t version)
        {
            return missing_chunks(state, number, version);
        },
        state.now);
}

std::optional<base::time_point>
expected_switch(world const& state, std::size_t number)
{
    auto const ask = switch_ask_of(state, number);
    auto const target = next_version(state, number);
    if (ask.serving >= target || !state.agents[number].chunks.contains(target))
    {
        return std::nullopt;
    }
    auto const at = weights::switch_turn(ask, target);
    return at - state.now <= switch_notice ? std::optional(at) : std::nullopt;
}

void tell(world& state, std::size_t number, bool at_once)
{
    constexpr int longest_way = 4;
    auto& own = state.agents[number];
    auto report = own.seen;
    report.switching = own.switching || own.busy;
    report.switches_at = expected_switch(state, number);
    if (report.switches_at)
    {
        report.switches_at = std::max(*report.switches_at, state.now);
    }
    auto const late = is_hit(state.course.late_reports, number, state.now);
    own.link_clear = std::max(
        own.link_clear,
        state.now + (late ? state.course.report_delay : milliseconds(0)));
    auto const on_link = rounded(own.link_clear - state.now);
    auto const to_all = at_once || own.rounds++ % remote_interval == 0;
    for (auto& entry : state.entries)
    {
        if (!to_all && entry.domain != domain_of(number))
        {
            continue;
        }
        later(
            state, on_link + random_time(state.random, 1, longest_way),
            [&state, &entry, number, report]
            {
                note_report(
                    entry.book, ip_of_engine(number), report, state.now);
                serve_waiting(state, entry);
            });
    }
}

void look_at_engine(world& state, std::size_t number)
{
    auto& own = state.agents[number];
    auto const& engine = state.engines[number];
    own.seen.running = static_cast<std::uint32_t>(engine.running.size());
    own.seen.waiting = static_cast<std::uint32_t>(engine.line.size());
    own.seen.pace = engine.slowness;
    own.seen.weights = {model_name, engine.version, true};
    own.busy = engine.ordered.has_value();
}

void order(world& state, std::size_t number)
{
    if (is_hit(state.course.agent_pauses, number, state.now))
    {
        later(
            state, report_interval,
            [&state, number]
            {
                order(state, number);
            });
        return;
    }
    auto& own = state.agents[number];
    own.verifying = false;
    own.ordering = true;
    own.switching = true;
    tell(state, number, true);
    auto const lost = is_hit(state.course.orders_lost, number, state.now);
    if (!lost)
    {
        reach(
            state, number,
            [&state, number, version = own.staged]
            {
                accept_order(state.engines[number], version);
            });
    }
    later(
        state, lost ? order_limit : 2 * wire_time,
        [&state, number]
        {
            state.agents[number].ordering = false;
            state.agents[number].order_again = state.now + order_pause;
        });
}

void settle(world const& state, played_agent& own)
{
    if (!own.switching || own.ordering)
    {
        return;
    }
    auto const done = own.seen.weights.version >= own.staged;
    if (done || (!own.busy && state.now >= own.order_again))
    {
        own.switching = false;
    }
}

void drive(world& state, std::size_t number)
{
    // Looking at all staged chunks once more.
    constexpr int least_look = 40;
    constexpr int most_look = 200;
    auto& own = state.agents[number];
    settle(state, own);
    auto const target = next_version(state, number);
    if (own.switching || own.busy || own.verifying || own.ordering ||
        own.seen.weights.version >= target || state.now < own.order_again ||
        missing_chunks(state, number, target) > 0 ||
        state.now < weights::switch_turn(switch_ask_of(state, number), target))
    {
        return;
    }
    own.verifying = true;
    own.staged = target;
    later(
        state, random_time(state.random, least_look, most_look),
        [&state, number]
        {
            order(state, number);
        });
}

void note_whole(world& state, played_agent& own)
{
    for (auto const& [version, time] : own.chunks)
    {
        auto const named = std::ranges::find(
            own.targets, version, &weights::named_target::version);
        if (state.now >= start + time.to)
        {
            own.arrival = rounded(start + time.to - named->named);
        }
    }
}

void poll(world& state, std::size_t number)
{
    later(
        state, report_interval,
        [&state, number]
        {
            poll(state, number);
        });
    if (is_hit(state.course.agent_pauses, number, state.now))
    {
        return;
    }
    look_at_engine(state, number);
    // The engine's answer takes a moment; what it says is as old.
    constexpr int longest_answer = 6;
    later(
        state, random_time(state.random, 1, longest_answer),
        [&state, number]
        {
            tell(state, number, false);
            note_whole(state, state.agents[number]);
            drive(state, number);
        });
}

// ---- News of versions.

void take_notice(world& state, std::size_t number, named_version const& told)
{
    constexpr int least_arrival = 2900;
    constexpr int most_arrival = 4000;
    auto& own = state.agents[number];
    auto const known =
        !own.targets.empty() && own.targets.back().version >= told.version;
    if (known || is_hit(state.course.agent_pauses, number, state.now))
    {
        return;
    }
    own.targets.push_back({told.version, told.learned});
    auto arrival = random_time(state.random, least_arrival, most_arrival);
    if (state.course.late_chunks.contains(number))
    {
        arrival += state.course.chunk_delay;
    }
    own.chunks[told.version] = {
        rounded(state.now - start), rounded(told.learned + arrival - start)};
}

// Entries tell agents once a second which versions are named.
void subscribe(world& state, played_entry& entry)
{
    later(
        state, subscription_interval,
        [&state, &entry]
        {
            subscribe(state, entry);
        });
    auto const known = entry.book.versions[model_name];
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        for (auto const& named : known)
        {
            later(
                state, wire_time,
                [&state, number, named]
                {
                    take_notice(state, number, named);
                });
        }
    }
}

void plan_news(world& state, std::size_t number)
{
    constexpr int least = 2;
    constexpr int most = 120;
    if (state.course.deaf_entry == number)
    {
        return;
    }
    auto& entry = state.entries[number];
    for (std::size_t index = 0; index < state.course.named.size(); ++index)
    {
        auto const learned = start + state.course.named[index] +
                             random_time(state.random, least, most);
        state.events.emplace(
            learned,
            [&entry, index, learned]
            {
                name_version(
                    entry.book, model_name,
                    {index + 2, learned,
                     learned + version_bound - version_margin});
            });
    }
}

// ---- The fleet.

routing::engine_costs costs_of(fleet_course const& course)
{
    routing::engine_costs costs;
    costs.slots = course.slots;
    costs.step = std::chrono::duration<double, std::milli>(6.73);
    costs.step_per_request = std::chrono::duration<double, std::milli>(0.0219);
    costs.steps_per_pass = 6;
    costs.read_per_second = 30600;
    costs.usual_prompt = 925;
    costs.usual_answer = 120;
    return costs;
}

void add_entries(world& state)
{
    for (std::size_t number = 0; number < state.course.entries; ++number)
    {
        played_entry made;
        made.name = "10.0.1." + std::to_string(number + 1);
        made.domain = domain_of(number);
        made.random.value = base::next_random(state.random);
        state.entry_names.insert(made.name);
        state.entries.push_back(std::move(made));
    }
    for (auto& entry : state.entries)
    {
        for (auto const& other : state.entries)
        {
            entry.book.domain_entries[other.domain].insert(other.name);
        }
    }
}

void add_engines(world& state)
{
    for (std::size_t number = 0; number < state.course.engines; ++number)
    {
        played_engine made;
        made.costs = state.costs;
        state.engines.push_back(std::move(made));
        state.agents.emplace_back().seen.weights = {model_name, 1, true};
        for (auto& entry : state.entries)
        {
            endpoint_record record;
            record.id = id_of_engine(number);
            record.service = service_name;
            record.address = ip_of_engine(number) + ":8000";
            record.failure_domain = domain_of(number);
            record.slots = state.costs.slots;
            record.weights = {model_name, 1, true};
            put(entry.book, std::move(record));
        }
    }
}

void plan_rounds(world& state)
{
    for (std::size_t number = 0; number < state.agents.size(); ++number)
    {
        later(
            state,
            random_time(
                state.random, 0, static_cast<int>(report_interval.count())),
            [&state, number]
            {
                poll(state, number);
            });
    }
    for (std::size_t number = 0; number < state.entries.size(); ++number)
    {
        auto& entry = state.entries[number];
        later(
            state,
            random_time(
                state.random, 0,
                static_cast<int>(subscription_interval.count())),
            [&state, &entry]
            {
                subscribe(state, entry);
            });
        plan_news(state, number);
    }
    plan_callers(state, start);
}

void run_step(world& state)
{
    while (!state.events.empty() && state.events.begin()->first <= state.now)
    {
        auto const event = state.events.extract(state.events.begin());
        event.mapped()();
    }
    for (std::size_t number = 0; number < state.engines.size(); ++number)
    {
        work_engine(state, number);
    }
    watch_times(state);
    if (rounded(state.now - start) % tick == milliseconds(0))
    {
        for (auto& entry : state.entries)
        {
            serve_waiting(state, entry);
        }
    }
}

} // namespace

bool fleet_outcome::operator==(fleet_outcome const& other) const
{
    return to_text(*this) == to_text(other);
}

fleet_outcome run_fleet(fleet_course const& course)
{
    world state{course, costs_of(course), {course.seed}};
    add_entries(state);
    add_engines(state);
    plan_rounds(state);
    for (; state.now < start + course.length || !state.callers.empty();
         state.now += step)
    {
        run_step(state);
    }
    state.outcome.on_newest = static_cast<std::size_t>(std::ranges::count(
        state.engines, course.named.size() + 1, &played_engine::version));
    return state.outcome;
}

std::string to_text(fleet_outcome const& outcome)
{
    std::ostringstream text;
    text << "asked " << outcome.asked << ", answered " << outcome.answered
         << ", in time " << outcome.in_time << ", cut " << outcome.cut
         << ", refused " << outcome.refused << ", begun on older "
         << outcome.begun_on_older << ", least left "
         << outcome.least_left.count() << " ms, longest with a slot "
         << outcome.longest_with_slot.count() << " ms, late "
         << outcome.late.size();
    for (auto const& late : outcome.late)
    {
        text << "\n  version " << late.version << " at engine " << late.engine
             << " from entry " << late.entry << ": decided "
             << late.decided.count() << ", arrived " << late.arrived.count()
             << ", begun " << late.begun.count() << " ms after the end; work "
             << late.work << ", report " << late.report_age.count()
             << " ms old";
    }
    return text.str();
}

} // namespace foxtailvale::direct
