#include <scheduling/fair_queue.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;

// Longer intervals count as this much: idle gaps do not show how fast requests
// start when enough are waiting.
constexpr microseconds max_start_interval{1'000'000};

microseconds time_between(base::time_point earlier, base::time_point later)
{
    return std::chrono::duration_cast<microseconds>(later - earlier);
}

queue_class class_of(waiting_request const& request)
{
    return {request.priority, request.precedence};
}

// Number of requests in the same workspace that would run before a new request
// of this class.
std::size_t count_ahead(workspace_queue const& subqueue, queue_class own)
{
    std::size_t ahead = 0;
    for (auto const& [level, requests] : subqueue.by_class)
    {
        if (level >= own)
        {
            ahead += requests.size();
        }
    }
    return ahead;
}

// Estimated number of starts up to and including this request's own. While its
// workspace has one start, each other workspace has starts in proportion to its
// weight, but no more than it has waiting requests.
double starts_before(fair_queue const& queue, waiting_request const& request)
{
    std::size_t ahead = 0;
    auto const own = queue.workspaces.find(request.workspace);
    if (own != queue.workspaces.end())
    {
        ahead = count_ahead(own->second, class_of(request));
    }
    auto const own_starts = static_cast<double>(ahead) + 1;
    auto total = own_starts;
    for (auto const& [name, subqueue] : queue.workspaces)
    {
        if (name != request.workspace)
        {
            auto const share =
                own_starts * subqueue.weight / std::max(request.weight, 1U);
            total += std::min(static_cast<double>(subqueue.size), share);
        }
    }
    return total;
}

// Number of waiting requests that run before this one for their deadline.
std::size_t earlier_deadlines(
    std::deque<waiting_request> const& requests, base::time_point deadline)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        requests,
        [deadline](waiting_request const& waiting)
        {
            return waiting.deadline <= deadline;
        }));
}

// The same where classes order the requests of all workspaces: those of higher
// classes run first, and those of the same class in proportion to the weights.
double
starts_before_by_class(fair_queue const& queue, waiting_request const& request)
{
    double higher = 0;
    double own_starts = 1;
    std::vector<std::pair<double, std::uint32_t>> same_class;
    for (auto const& [name, subqueue] : queue.workspaces)
    {
        for (auto const& [level, requests] : subqueue.by_class)
        {
            if (level > class_of(request))
            {
                higher += static_cast<double>(requests.size());
            }
            else if (level == class_of(request) && name == request.workspace)
            {
                own_starts += static_cast<double>(
                    earlier_deadlines(requests, request.deadline));
            }
            else if (level == class_of(request))
            {
                same_class.emplace_back(requests.size(), subqueue.weight);
            }
        }
    }
    auto total = higher + own_starts;
    for (auto const& [size, weight] : same_class)
    {
        total +=
            std::min(size, own_starts * weight / std::max(request.weight, 1U));
    }
    return total;
}

bool is_unreachable(
    fair_queue const& queue,
    waiting_request const& request,
    base::time_point now)
{
    auto const by_class = queue.order == queue_order::priority_first;
    auto const starts = by_class ? starts_before_by_class(queue, request)
                                 : starts_before(queue, request);
    if (by_class && starts <= 1)
    {
        return false;
    }
    auto const interval =
        static_cast<double>(queue.start_interval.mean.count());
    auto const wait = microseconds(std::llround(starts * interval));
    return time_between(now, request.deadline) < wait + expected_service(queue);
}

// The workspace with the most waiting requests relative to its weight.
std::map<std::string, workspace_queue>::iterator
furthest_over_share(fair_queue& queue)
{
    return std::ranges::max_element(
        queue.workspaces, {},
        [](auto const& entry)
        {
            return static_cast<double>(entry.second.size) / entry.second.weight;
        });
}

// Removes the last request of lowest class and returns its id.
waiting_id evict_newest(fair_queue& queue, workspace_queue& subqueue)
{
    auto const lowest = std::prev(subqueue.by_class.end());
    auto const id = lowest->second.back().id;
    lowest->second.pop_back();
    if (lowest->second.empty())
    {
        subqueue.by_class.erase(lowest);
    }
    --subqueue.size;
    --queue.size;
    return id;
}

// Last in its class by arrival or by deadline.
void insert(
    queue_order order,
    std::deque<waiting_request>& requests,
    waiting_request request)
{
    auto const position =
        order == queue_order::workspace_first
            ? requests.end()
            : std::ranges::upper_bound(
                  requests, request.deadline, {}, &waiting_request::deadline);
    requests.insert(position, std::move(request));
}

void append(fair_queue& queue, waiting_request request)
{
    auto& subqueue = queue.workspaces[request.workspace];
    subqueue.weight = std::max(request.weight, 1U);
    // A workspace accumulates no credit while it has no waiting requests.
    subqueue.virtual_finish =
        std::max(subqueue.virtual_finish, queue.virtual_time);
    auto& requests = subqueue.by_class[class_of(request)];
    insert(queue.order, requests, std::move(request));
    ++subqueue.size;
    ++queue.size;
}

// Either evicts a waiting request in favour of the new one or refuses the new
// one.
arrival arrive_when_full(fair_queue& queue, waiting_request request)
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
    auto const lowest = std::prev(victim->second.by_class.end())->first;
    if (same ? class_of(request) <= lowest : own_use > victim_use)
    {
        return {
            same ? base::error_kind::workspace_over_share
                 : base::error_kind::queue_full,
            {}};
    }
    auto const evicted = evict_newest(queue, victim->second);
    append(queue, std::move(request));
    return {std::nullopt, evicted};
}

// The workspace with the most waiting requests of the lowest class that waits.
// Requires that a request waits.
std::map<std::string, workspace_queue>::iterator
most_of_lowest_class(fair_queue& queue)
{
    auto chosen = queue.workspaces.end();
    for (auto next = queue.workspaces.begin(); next != queue.workspaces.end();
         ++next)
    {
        if (next->second.size == 0)
        {
            continue;
        }
        auto const key = [](auto const& found)
        {
            auto const& lowest = *std::prev(found->second.by_class.end());
            return std::pair(
                lowest.first, -static_cast<double>(lowest.second.size()) /
                                  found->second.weight);
        };
        if (chosen == queue.workspaces.end() || key(next) < key(chosen))
        {
            chosen = next;
        }
    }
    return chosen;
}

arrival arrive_by_class_when_full(fair_queue& queue, waiting_request request)
{
    auto const victim = most_of_lowest_class(queue);
    if (victim == queue.workspaces.end() ||
        class_of(request) <= std::prev(victim->second.by_class.end())->first)
    {
        return {base::error_kind::queue_full, {}};
    }
    auto const evicted = evict_newest(queue, victim->second);
    append(queue, std::move(request));
    return {std::nullopt, evicted};
}

bool runs_before(workspace_queue const& one, workspace_queue const& other)
{
    auto const& [own_class, own] = *one.by_class.begin();
    auto const& [other_class, others] = *other.by_class.begin();
    if (own_class != other_class)
    {
        return own_class > other_class;
    }
    return std::pair(one.virtual_finish, own.front().deadline) <
           std::pair(other.virtual_finish, others.front().deadline);
}

} // namespace

microseconds expected_service(fair_queue const& queue)
{
    // Most measurements differ from the mean by at most twice the mean
    // deviation. With only once the deviation, one in seventy answers was late
    // at three times saturation.
    return queue.service.mean + 2 * queue.service.deviation;
}

arrival arrive(fair_queue& queue, waiting_request request, base::time_point now)
{
    if (is_unreachable(queue, request, now))
    {
        return {base::error_kind::deadline_unreachable, {}};
    }
    if (queue.size >= queue.max_waiting)
    {
        return queue.order == queue_order::workspace_first
                   ? arrive_when_full(queue, std::move(request))
                   : arrive_by_class_when_full(queue, std::move(request));
    }
    append(queue, std::move(request));
    return {};
}

void requeue(fair_queue& queue, waiting_request request)
{
    auto& subqueue = queue.workspaces[request.workspace];
    subqueue.weight = std::max(request.weight, 1U);
    subqueue.virtual_finish =
        std::max(subqueue.virtual_finish, queue.virtual_time);
    auto& requests = subqueue.by_class[class_of(request)];
    if (queue.order == queue_order::workspace_first)
    {
        requests.push_front(std::move(request));
    }
    else
    {
        insert(queue.order, requests, std::move(request));
    }
    ++subqueue.size;
    ++queue.size;
}

std::optional<waiting_request> next(fair_queue const& queue)
{
    workspace_queue const* chosen = nullptr;
    for (auto const& [name, subqueue] : queue.workspaces)
    {
        if (subqueue.size == 0)
        {
            continue;
        }
        if (chosen == nullptr ||
            (queue.order == queue_order::workspace_first
                 ? subqueue.virtual_finish < chosen->virtual_finish
                 : runs_before(subqueue, *chosen)))
        {
            chosen = &subqueue;
        }
    }
    if (chosen == nullptr)
    {
        return std::nullopt;
    }
    return chosen->by_class.begin()->second.front();
}

void start(
    fair_queue& queue, waiting_request const& request, base::time_point now)
{
    auto const waited = withdraw(queue, request);
    if (!waited && queue.size == 0)
    {
        // No request is waiting, so there is no contention. Starts made while
        // there was capacity for all are not charged to any workspace.
        queue.workspaces.clear();
        queue.virtual_time = 0;
        queue.last_start.reset();
        return;
    }
    auto& subqueue = queue.workspaces[request.workspace];
    subqueue.weight = std::max(request.weight, 1U);
    auto const started = std::max(queue.virtual_time, subqueue.virtual_finish);
    subqueue.virtual_finish = started + request.cost / subqueue.weight;
    queue.virtual_time = std::max(queue.virtual_time, started);
    if (waited && queue.last_start)
    {
        auto const interval = time_between(*queue.last_start, now);
        note(queue.start_interval, std::min(interval, max_start_interval));
    }
    queue.last_start = now;
    // An idle workspace whose virtual finish time has passed is equivalent to a
    // new one.
    std::erase_if(
        queue.workspaces,
        [&queue](auto const& entry)
        {
            return entry.second.size == 0 &&
                   entry.second.virtual_finish <= queue.virtual_time;
        });
}

bool withdraw(fair_queue& queue, waiting_request const& request)
{
    auto const subqueue = queue.workspaces.find(request.workspace);
    if (subqueue == queue.workspaces.end())
    {
        return false;
    }
    auto const level = subqueue->second.by_class.find(class_of(request));
    if (level == subqueue->second.by_class.end())
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
        subqueue->second.by_class.erase(level);
    }
    --subqueue->second.size;
    --queue.size;
    return true;
}

std::vector<waiting_id> withdraw_late(fair_queue& queue, base::time_point now)
{
    std::vector<waiting_request> late;
    auto const needed = expected_service(queue);
    for (auto const& [name, subqueue] : queue.workspaces)
    {
        for (auto const& [level, requests] : subqueue.by_class)
        {
            std::ranges::copy_if(
                requests, std::back_inserter(late),
                [&](waiting_request const& request)
                {
                    return time_between(now, request.deadline) < needed;
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

} // namespace foxtailvale::scheduling
