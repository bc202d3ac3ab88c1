#include "played_engine.hpp"

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

using std::chrono::milliseconds;
using real_time = std::chrono::duration<double, std::milli>;

constexpr milliseconds load_time{300};

// Tokens that one step reads at most.
constexpr double step_reads = 2048;

void stop_late(played_engine& engine, base::time_point now)
{
    auto const is_late = [&](played_request const& request)
    {
        return request.deadline <= now;
    };
    for (auto const& request : engine.line)
    {
        if (is_late(request))
        {
            engine.said.push_back({request.number, engine_word::declined, 0});
        }
    }
    for (auto const& request : engine.running)
    {
        if (is_late(request))
        {
            engine.said.push_back({request.number, engine_word::stopped, 0});
        }
    }
    std::erase_if(engine.line, is_late);
    std::erase_if(engine.running, is_late);
}

void end_pass(played_engine& engine)
{
    auto reads = engine.pass_reads;
    for (auto& request : engine.running)
    {
        auto const number = request.number;
        if (request.begun)
        {
            request.to_write -= engine.pass_steps;
            engine.said.push_back({number, engine_word::wrote, engine.version});
            continue;
        }
        auto const read = std::min(reads, request.to_read);
        reads -= read;
        request.to_read -= read;
        if (request.to_read <= 0)
        {
            request.begun = true;
            request.to_write -= 1;
            engine.said.push_back({number, engine_word::began, engine.version});
        }
    }
    std::erase_if(
        engine.running,
        [&](played_request const& request)
        {
            auto const done = request.begun && request.to_write <= 0;
            if (done)
            {
                engine.said.push_back(
                    {request.number, engine_word::answered, engine.version});
            }
            return done;
        });
    engine.pass_ends.reset();
}

// Loads what was ordered once nothing runs.
void load(played_engine& engine, base::time_point now)
{
    if (!engine.ordered || !engine.running.empty())
    {
        return;
    }
    if (!engine.loaded)
    {
        engine.loaded = now + load_time;
    }
    if (*engine.loaded <= now)
    {
        engine.version = *std::exchange(engine.ordered, std::nullopt);
        engine.loaded.reset();
    }
}

void fill_slots(played_engine& engine)
{
    while (!engine.ordered && !engine.line.empty() &&
           engine.running.size() < engine.costs.slots)
    {
        auto const next = engine.line.front();
        engine.line.pop_front();
        if (next.version != engine.version)
        {
            engine.said.push_back(
                {next.number, engine_word::misdirected, engine.version});
            continue;
        }
        engine.running.push_back(next);
    }
}

void start_pass(played_engine& engine, base::time_point now)
{
    if (engine.running.empty())
    {
        return;
    }
    double writers = 0;
    double unread = 0;
    for (auto const& request : engine.running)
    {
        writers += request.begun ? 1 : 0;
        unread += request.begun ? 0 : request.to_read;
    }
    auto const& costs = engine.costs;
    engine.pass_steps = writers > 0 ? costs.steps_per_pass : 1;
    engine.pass_reads = std::min(unread, engine.pass_steps * step_reads);
    auto const time =
        engine.pass_steps * (costs.step + costs.step_per_request * writers) +
        real_time(1000 * engine.pass_reads / costs.read_per_second);
    engine.pass_ends = now + std::chrono::duration_cast<base::duration>(
                                 engine.slowness * time);
}

} // namespace

void arrive(played_engine& engine, played_request const& request)
{
    if (!engine.ordered && request.version != engine.version)
    {
        engine.said.push_back(
            {request.number, engine_word::misdirected, engine.version});
        return;
    }
    if (engine.line.size() >= engine.longest_line)
    {
        engine.said.push_back(
            {request.number, engine_word::declined, engine.version});
        return;
    }
    engine.line.push_back(request);
}

void drop(played_engine& engine, std::uint64_t number)
{
    auto const is_it = [number](played_request const& request)
    {
        return request.number == number;
    };
    std::erase_if(engine.line, is_it);
    std::erase_if(engine.running, is_it);
}

void accept_order(played_engine& engine, std::uint64_t version)
{
    engine.ordered = version;
    auto const first_unbegun = std::stable_partition(
        engine.running.begin(), engine.running.end(),
        [](played_request const& request)
        {
            return request.begun;
        });
    engine.line.insert(
        engine.line.begin(), first_unbegun, engine.running.end());
    engine.running.erase(first_unbegun, engine.running.end());
}

void work(played_engine& engine, base::time_point now)
{
    stop_late(engine, now);
    if (engine.pass_ends && *engine.pass_ends > now)
    {
        return;
    }
    if (engine.pass_ends)
    {
        end_pass(engine);
    }
    load(engine, now);
    fill_slots(engine);
    start_pass(engine, now);
}

double full_rate(routing::engine_costs const& costs)
{
    auto const step =
        (costs.step + costs.step_per_request * costs.slots).count();
    auto const read = 1000 * costs.usual_prompt / costs.read_per_second;
    return 1000 * costs.slots /
           (costs.usual_answer * step + costs.slots * read);
}

} // namespace foxtailvale::direct
