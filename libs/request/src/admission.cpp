#include <request/admission.hpp>

#include <algorithm>
#include <cmath>

namespace foxtailvale::request
{

namespace
{

using std::chrono::microseconds;

// Weight of a new measurement: an eighth follows a change within some tens of
// requests and is not thrown by one slow answer.
constexpr std::int64_t smoothing = 8;

// Idle gaps do not tell how fast requests start when there are enough.
constexpr microseconds longest_interval{1'000'000};

constexpr double retry_share = 0.1;
constexpr double most_retries_in_hand = 10;

microseconds until(base::time_point now, base::time_point later)
{
    return std::chrono::duration_cast<microseconds>(later - now);
}

// Requests of the same workspace that would run before this one.
std::size_t ahead_in_line(workspace_line const& line, std::uint32_t priority)
{
    std::size_t ahead = 0;
    for (auto const& [level, requests] : line.lines)
    {
        if (level >= priority)
        {
            ahead += requests.size();
        }
    }
    return ahead;
}

// Starts before this one, its own included: while it waits for one turn of its
// workspace, the others get turns by their weights.
double
starts_before(admission_queue const& queue, waiting_request const& request)
{
    std::size_t ahead = 0;
    auto const own = queue.workspaces.find(request.workspace);
    if (own != queue.workspaces.end())
    {
        ahead = ahead_in_line(own->second, request.priority);
    }
    auto const turns = static_cast<double>(ahead) + 1;
    auto total = turns;
    for (auto const& [name, line] : queue.workspaces)
    {
        if (name != request.workspace)
        {
            auto const share =
                turns * line.weight / std::max(request.weight, 1U);
            total += std::min(static_cast<double>(line.size), share);
        }
    }
    return total;
}

microseconds
expected_wait(admission_queue const& queue, waiting_request const& request)
{
    auto const starts = starts_before(queue, request);
    auto const interval =
        static_cast<double>(queue.start_interval.mean.count());
    return microseconds(std::llround(starts * interval));
}

// The workspace that waits with the most for its weight.
std::map<std::string, workspace_line>::iterator
furthest_over_share(admission_queue& queue)
{
    return std::ranges::max_element(
        queue.workspaces, {},
        [](auto const& entry)
        {
            return static_cast<double>(entry.second.size) / entry.second.weight;
        });
}

waiting_id push_out(admission_queue& queue, workspace_line& line)
{
    auto const lowest = std::prev(line.lines.end());
    auto const id = lowest->second.back().id;
    lowest->second.pop_back();
    if (lowest->second.empty())
    {
        line.lines.erase(lowest);
    }
    --line.size;
    --queue.size;
    return id;
}

void append(admission_queue& queue, waiting_request request)
{
    auto& line = queue.workspaces[request.workspace];
    line.weight = std::max(request.weight, 1U);
    // A workspace that waited for nothing has saved up no turns meanwhile.
    line.finish = std::max(line.finish, queue.virtual_time);
    line.lines[request.priority].push_back(std::move(request));
    ++line.size;
    ++queue.size;
}

// Whether the newcomer may take the place of another in a full queue.
arrival arrive_when_full(admission_queue& queue, waiting_request request)
{
    auto const victim = furthest_over_share(queue);
    auto const own = queue.workspaces.find(request.workspace);
    auto const own_size = own == queue.workspaces.end()
                              ? 0.0
                              : static_cast<double>(own->second.size);
    auto const weight = std::max(request.weight, 1U);
    auto const own_use = (own_size + 1) / weight;
    auto const victim_use =
        static_cast<double>(victim->second.size) / victim->second.weight;
    auto const same = victim->first == request.workspace;
    auto const lowest = std::prev(victim->second.lines.end())->first;
    if (same ? request.priority <= lowest : own_use > victim_use)
    {
        return {
            same ? base::error_kind::workspace_over_share
                 : base::error_kind::queue_full,
            {}};
    }
    auto const evicted = push_out(queue, victim->second);
    append(queue, std::move(request));
    return {std::nullopt, evicted};
}

} // namespace

void note(measured_time& state, microseconds measured)
{
    if (!state.known)
    {
        state = {measured, measured / 2, true};
        return;
    }
    auto const error = measured - state.mean;
    state.mean += error / smoothing;
    state.deviation += (std::chrono::abs(error) - state.deviation) / smoothing;
}

microseconds expected_service(admission_queue const& queue)
{
    // Most measurements lie within twice the mean deviation; with once, one in
    // seventy answers was late at three times saturation.
    return queue.service.mean + 2 * queue.service.deviation;
}

arrival
arrive(admission_queue& queue, waiting_request request, base::time_point now)
{
    auto const needed = expected_wait(queue, request) + expected_service(queue);
    if (until(now, request.deadline) < needed)
    {
        return {base::error_kind::deadline_unreachable, {}};
    }
    if (queue.size >= queue.most_waiting)
    {
        return arrive_when_full(queue, std::move(request));
    }
    append(queue, std::move(request));
    return {};
}

void requeue(admission_queue& queue, waiting_request request)
{
    auto& line = queue.workspaces[request.workspace];
    line.weight = std::max(request.weight, 1U);
    line.finish = std::max(line.finish, queue.virtual_time);
    line.lines[request.priority].push_front(std::move(request));
    ++line.size;
    ++queue.size;
}

std::optional<waiting_request> next(admission_queue const& queue)
{
    workspace_line const* chosen = nullptr;
    for (auto const& [name, line] : queue.workspaces)
    {
        if (line.size > 0 &&
            (chosen == nullptr || line.finish < chosen->finish))
        {
            chosen = &line;
        }
    }
    if (chosen == nullptr)
    {
        return std::nullopt;
    }
    return chosen->lines.begin()->second.front();
}

void start(
    admission_queue& queue,
    waiting_request const& request,
    base::time_point now)
{
    auto const waited = withdraw(queue, request);
    if (!waited && queue.size == 0)
    {
        // Nobody waits for a turn: there is nothing to share out, and what was
        // used while there was room for all is not held against anybody.
        queue.workspaces.clear();
        queue.virtual_time = 0;
        queue.last_start.reset();
        return;
    }
    auto& line = queue.workspaces[request.workspace];
    line.weight = std::max(request.weight, 1U);
    auto const started = std::max(queue.virtual_time, line.finish);
    line.finish = started + 1.0 / line.weight;
    queue.virtual_time = std::max(queue.virtual_time, started);
    if (waited && queue.last_start)
    {
        auto const interval = until(*queue.last_start, now);
        note(queue.start_interval, std::min(interval, longest_interval));
    }
    queue.last_start = now;
    // An idle workspace whose turns are used up is like a new one.
    std::erase_if(
        queue.workspaces,
        [&queue](auto const& entry)
        {
            return entry.second.size == 0 &&
                   entry.second.finish <= queue.virtual_time;
        });
}

bool withdraw(admission_queue& queue, waiting_request const& request)
{
    auto const line = queue.workspaces.find(request.workspace);
    if (line == queue.workspaces.end())
    {
        return false;
    }
    auto const level = line->second.lines.find(request.priority);
    if (level == line->second.lines.end())
    {
        return false;
    }
    auto const found =
        std::ranges::find(level->second, request.id, &waiting_request::id);
    if (found == level->second.end())
    {
        return false;
    }
    level->second.erase(found);
    if (level->second.empty())
    {
        line->second.lines.erase(level);
    }
    --line->second.size;
    --queue.size;
    return true;
}

std::vector<waiting_id>
withdraw_late(admission_queue& queue, base::time_point now)
{
    std::vector<waiting_request> late;
    auto const needed = expected_service(queue);
    for (auto const& [name, line] : queue.workspaces)
    {
        for (auto const& [level, requests] : line.lines)
        {
            std::ranges::copy_if(
                requests, std::back_inserter(late),
                [&](waiting_request const& request)
                {
                    return until(now, request.deadline) < needed;
                });
        }
    }
    std::vector<waiting_id> ids;
    for (auto const& request : late)
    {
        withdraw(queue, request);
        ids.push_back(request.id);
    }
    return ids;
}

void earn(retry_budget& budget)
{
    budget.tokens = std::min(budget.tokens + retry_share, most_retries_in_hand);
}

bool spend(retry_budget& budget)
{
    if (budget.tokens < 1)
    {
        return false;
    }
    --budget.tokens;
    return true;
}

} // namespace foxtailvale::request
