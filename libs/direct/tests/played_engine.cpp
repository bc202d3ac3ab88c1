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

// Maximum number of prompt tokens per step.
constexpr double max_reads_per_step = 2048;

void stop_expired(simulated_engine& engine, base::time_point now)
{
    auto const is_expired = [&](simulated_request const& request)
    {
        return request.deadline <= now;
    };
    for (auto const& request : engine.queue)
    {
        if (is_expired(request))
        {
            engine.pending.push_back(
                {request.number, engine_event_kind::declined, 0});
        }
    }
    for (auto const& request : engine.running)
    {
        if (is_expired(request))
        {
            engine.pending.push_back(
                {request.number, engine_event_kind::stopped, 0});
        }
    }
    std::erase_if(engine.queue, is_expired);
    std::erase_if(engine.running, is_expired);
}

void end_pass(simulated_engine& engine)
{
    auto reads = engine.pass_reads;
    for (auto& request : engine.running)
    {
        auto const number = request.number;
        if (request.begun)
        {
            request.to_write -= engine.pass_steps;
            engine.pending.push_back(
                {number, engine_event_kind::wrote, engine.version});
            continue;
        }
        auto const read = std::min(reads, request.to_read);
        reads -= read;
        request.to_read -= read;
        if (request.to_read <= 0)
        {
            request.begun = true;
            request.to_write -= 1;
            engine.pending.push_back(
                {number, engine_event_kind::began, engine.version});
        }
    }
    std::erase_if(
        engine.running,
        [&](simulated_request const& request)
        {
            auto const done = request.begun && request.to_write <= 0;
            if (done)
            {
                engine.pending.push_back(
                    {request.number, engine_event_kind::answered,
                     engine.version});
            }
            return done;
        });
    engine.pass_ends.reset();
}

// Loads the ordered version once no request runs.
void load(simulated_engine& engine, base::time_point now)
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

void fill_slots(simulated_engine& engine)
{
    while (!engine.ordered && !engine.queue.empty() &&
           engine.running.size() < engine.costs.slots)
    {
        auto const next = engine.queue.front();
        engine.queue.pop_front();
        if (next.version != engine.version)
        {
            engine.pending.push_back(
                {next.number, engine_event_kind::misdirected, engine.version});
            continue;
        }
        engine.running.push_back(next);
    }
}

void start_pass(simulated_engine& engine, base::time_point now)
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
    engine.pass_reads =
        std::min(unread, engine.pass_steps * max_reads_per_step);
    auto const time =
        engine.pass_steps * (costs.step + costs.step_per_request * writers) +
        real_time(1000 * engine.pass_reads / costs.read_per_second);
    engine.pass_ends = now + std::chrono::duration_cast<base::duration>(
                                 engine.slowdown * time);
}

} // namespace

void arrive(simulated_engine& engine, simulated_request const& request)
{
    if (!engine.ordered && request.version != engine.version)
    {
        engine.pending.push_back(
            {request.number, engine_event_kind::misdirected, engine.version});
        return;
    }
    if (engine.queue.size() >= engine.max_queue)
    {
        engine.pending.push_back(
            {request.number, engine_event_kind::declined, engine.version});
        return;
    }
    engine.queue.push_back(request);
}

void cancel(simulated_engine& engine, std::uint64_t number)
{
    auto const is_it = [number](simulated_request const& request)
    {
        return request.number == number;
    };
    std::erase_if(engine.queue, is_it);
    std::erase_if(engine.running, is_it);
}

void accept_order(simulated_engine& engine, std::uint64_t version)
{
    engine.ordered = version;
    auto const first_unbegun = std::stable_partition(
        engine.running.begin(), engine.running.end(),
        [](simulated_request const& request)
        {
            return request.begun;
        });
    engine.queue.insert(
        engine.queue.begin(), first_unbegun, engine.running.end());
    engine.running.erase(first_unbegun, engine.running.end());
}

void work(simulated_engine& engine, base::time_point now)
{
    stop_expired(engine, now);
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
