#include <base/random.hpp>

#include <gtest/gtest.h>
#include <scheduling/fair_queue.hpp>

#include <set>

namespace foxtailvale::scheduling
{

namespace
{

using base::time_point;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A workspace that sends requests at a given rate with a given deadline.
struct traffic_source
{
    std::string workspace;
    std::uint32_t weight = 1;
    double per_second = 1;
    std::uint32_t priority = 0;
    milliseconds deadline{1000};
};

// Endpoints with their total number of slots and the range of service times.
struct simulated_endpoints
{
    std::size_t slots = 8;
    milliseconds shortest{80};
    milliseconds longest{120};
    // Every slow_every-th request takes ten times as long; zero disables this.
    std::uint32_t slow_every = 0;
};

struct outcome
{
    std::map<std::string, std::uint64_t> in_time;
    std::map<std::string, std::uint64_t> refused;
    std::uint64_t answered = 0;
    std::uint64_t late = 0;
    std::size_t longest_queue = 0;
    milliseconds slowest_refusal{0};
};

// Runs the queue with simulated endpoints in virtual time.
class queue_simulation
{
public:
    queue_simulation(
        std::vector<traffic_source> load, simulated_endpoints serving)
        : sources(std::move(load)), capacity(serving)
    {
    }

    outcome run(seconds length)
    {
        auto const end = time_point(length);
        std::vector<time_point> next_send(this->sources.size());
        for (auto now = time_point{}; now < end; now += step)
        {
            this->finish_requests(now);
            for (std::size_t index = 0; index < this->sources.size(); ++index)
            {
                while (next_send[index] <= now)
                {
                    this->send_request(this->sources[index], now);
                    next_send[index] +=
                        this->send_interval(this->sources[index]);
                }
            }
            this->tick(now);
        }
        return this->result;
    }

private:
    static constexpr milliseconds step{1};

    struct running_request
    {
        waiting_request request;
        time_point started;
    };

    base::duration send_interval(traffic_source const& from)
    {
        // Uniform between 0.5 and 1.5 times the mean.
        auto const mean = 1e6 / from.per_second;
        auto const part = static_cast<double>(base::random_below(random, 1000));
        return microseconds(
            static_cast<std::int64_t>(mean * (0.5 + part / 1000)));
    }

    void send_request(traffic_source const& from, time_point now)
    {
        waiting_request const request{
            ++this->last_id, from.workspace, from.weight, from.priority,
            now + from.deadline};
        this->sent[request.id] = now;
        auto const arrived = arrive(this->queue, request, now);
        if (arrived.refused)
        {
            this->refuse(from.workspace, request.id, now);
        }
        if (arrived.evicted)
        {
            this->refuse("pushed out", *arrived.evicted, now);
        }
        this->result.longest_queue =
            std::max(this->result.longest_queue, this->queue.size);
        this->dispatch(now);
    }

    void refuse(std::string const& counter, waiting_id id, time_point now)
    {
        ++this->result.refused[counter];
        this->result.slowest_refusal = std::max(
            this->result.slowest_refusal,
            duration_cast<milliseconds>(now - this->sent[id]));
    }

    void dispatch(time_point now)
    {
        while (this->running.size() < this->capacity.slots)
        {
            auto const request = next(this->queue);
            if (!request)
            {
                return;
            }
            start(this->queue, *request, now);
            this->running.emplace(
                now + this->service_time(), running_request{*request, now});
        }
    }

    milliseconds service_time()
    {
        auto const spread = this->capacity.longest - this->capacity.shortest;
        auto const time =
            this->capacity.shortest +
            milliseconds(base::random_below(
                random, static_cast<std::uint64_t>(spread.count()) + 1));
        ++this->started;
        auto const slow = this->capacity.slow_every != 0 &&
                          this->started % this->capacity.slow_every == 0;
        return slow ? time * 10 : time;
    }

    void finish_requests(time_point now)
    {
        while (!this->running.empty() && this->running.begin()->first <= now)
        {
            auto const& work = this->running.begin()->second;
            note(
                this->queue.service,
                duration_cast<microseconds>(now - work.started));
            ++this->result.answered;
            if (now <= work.request.deadline)
            {
                ++this->result.in_time[work.request.workspace];
            }
            else
            {
                ++this->result.late;
            }
            this->running.erase(this->running.begin());
        }
        this->dispatch(now);
    }

    void tick(time_point now)
    {
        for (auto const id : withdraw_late(this->queue, now))
        {
            this->refuse("late", id, now);
        }
        this->dispatch(now);
    }

    std::vector<traffic_source> sources;
    simulated_endpoints capacity;
    fair_queue queue;
    base::random_state random{5};
    std::multimap<time_point, running_request> running;
    std::map<waiting_id, time_point> sent;
    waiting_id last_id = 0;
    std::uint32_t started = 0;
    outcome result;
};

std::uint64_t total(std::map<std::string, std::uint64_t> const& counts)
{
    std::uint64_t sum = 0;
    for (auto const& [name, count] : counts)
    {
        sum += count;
    }
    return sum;
}

waiting_request
waiting(waiting_id id, std::string workspace, std::uint32_t priority = 0)
{
    return {id, std::move(workspace), 1, priority, time_point(seconds(10))};
}

} // namespace

// The load is three times the endpoints' capacity for a minute. Without
// refusals every request waits past its deadline, and the capacity is spent on
// late answers that no caller reads. The capacity is 8 slots / 100 ms = 80
// requests per second.
TEST(fair_queue, three_times_saturation_keeps_the_goodput)
{
    auto const result =
        queue_simulation({{"a", 1, 120}, {"b", 1, 120}}, {}).run(seconds(60));
    EXPECT_GE(total(result.in_time), 80U * 60U * 9U / 10U);
    EXPECT_LE(result.late * 100, result.answered);
    EXPECT_LE(result.longest_queue, 120U);
}

TEST(fair_queue, long_and_short_work_mixed_keeps_the_goodput)
{
    simulated_endpoints serving;
    serving.slow_every = 20;
    auto const result =
        queue_simulation({{"a", 1, 120, 0, seconds(4)}}, serving)
            .run(seconds(60));
    // The mean service time is 145 ms: a capacity of 55 requests per second.
    EXPECT_GE(total(result.in_time), 55U * 60U * 9U / 10U);
}

// One workspace sends a hundred times as many requests as the other. Callers of
// the small workspace must not be affected, because its few requests are within
// its share.
TEST(fair_queue, a_large_workspace_does_not_starve_a_small_one)
{
    auto const result =
        queue_simulation({{"large", 8, 500}, {"small", 1, 5}}, {})
            .run(seconds(30));
    EXPECT_GE(result.in_time.at("small"), 5U * 30U * 95U / 100U);
    EXPECT_GE(result.in_time.at("large"), 70U * 30U * 9U / 10U);
}

TEST(fair_queue, under_contention_workspaces_share_by_weight)
{
    auto const result =
        queue_simulation({{"three", 3, 200}, {"one", 1, 200}}, {})
            .run(seconds(60));
    auto const three = static_cast<double>(result.in_time.at("three"));
    auto const one = static_cast<double>(result.in_time.at("one"));
    EXPECT_NEAR(three / one, 3.0, 0.3);
}

TEST(fair_queue, below_saturation_nothing_is_refused)
{
    auto const result =
        queue_simulation({{"a", 1, 30}, {"b", 1, 30}}, {}).run(seconds(60));
    EXPECT_EQ(total(result.refused), 0U);
    EXPECT_EQ(result.late, 0U);
}

TEST(fair_queue, a_higher_priority_runs_first_within_its_workspace)
{
    fair_queue queue;
    arrive(queue, waiting(1, "a", 0), {});
    arrive(queue, waiting(2, "a", 5), {});
    EXPECT_EQ(next(queue)->id, 2U);
}

TEST(fair_queue, a_full_queue_evicts_from_the_workspace_furthest_over_its_share)
{
    fair_queue queue;
    queue.max_waiting = 3;
    arrive(queue, waiting(1, "large", 2), {});
    arrive(queue, waiting(2, "large", 1), {});
    arrive(queue, waiting(3, "large", 2), {});
    auto const small = arrive(queue, waiting(4, "small"), {});
    EXPECT_FALSE(small.refused);
    EXPECT_EQ(small.evicted, 2U);
    EXPECT_EQ(queue.size, 3U);
    auto const large = arrive(queue, waiting(5, "large", 2), {});
    EXPECT_EQ(large.refused, base::error_kind::workspace_over_share);
    auto const urgent = arrive(queue, waiting(6, "large", 9), {});
    EXPECT_TRUE(urgent.evicted);
}

// Failure: a large request was charged like a small one, and a workspace of
// large requests got several times its share of the endpoints.
TEST(fair_queue, a_start_is_charged_by_its_cost)
{
    fair_queue queue;
    for (waiting_id id = 1; id <= 12; ++id)
    {
        auto request = waiting(id, id % 2 == 0 ? "large" : "small");
        request.cost = id % 2 == 0 ? 3 : 1;
        arrive(queue, request, {});
    }
    std::map<std::string, int> starts;
    for (int i = 0; i < 8; ++i)
    {
        auto const request = *next(queue);
        ++starts[request.workspace];
        start(queue, request, {});
    }
    EXPECT_EQ(starts["small"], 6);
    EXPECT_EQ(starts["large"], 2);
}

// Failure: each workspace's high ranks waited for the low ranks of the others.
TEST(fair_queue, by_priority_first_classes_order_all_workspaces)
{
    fair_queue queue;
    queue.order = queue_order::priority_first;
    auto const add = [&queue](
                         waiting_id id, std::string workspace,
                         std::uint32_t priority, int deadline,
                         std::uint32_t precedence = 0)
    {
        auto request = waiting(id, std::move(workspace), priority);
        request.deadline = time_point(seconds(deadline));
        request.precedence = precedence;
        arrive(queue, request, {});
    };
    add(1, "a", 1, 9);
    add(2, "a", 2, 9);
    add(3, "b", 2, 9);
    add(4, "b", 2, 8);
    add(5, "b", 2, 10, 1);
    std::vector<waiting_id> order;
    while (auto const request = next(queue))
    {
        order.push_back(request->id);
        start(queue, *request, {});
    }
    // The honoured return of b comes first, then a has had the least service.
    EXPECT_EQ(order, (std::vector<waiting_id>{5, 2, 4, 3, 1}));
}

// Failure: after a time without capacity no request was ever queued again.
TEST(fair_queue, by_priority_first_an_old_estimate_admits_the_next_in_line)
{
    fair_queue queue;
    queue.order = queue_order::priority_first;
    queue.start_interval = {seconds(100), {}, true};
    EXPECT_FALSE(arrive(queue, waiting(1, "a"), {}).refused);
    EXPECT_TRUE(arrive(queue, waiting(2, "a"), {}).refused);
    EXPECT_FALSE(arrive(queue, waiting(3, "a", 1), {}).refused);
    queue.start_interval = {};
    queue.max_waiting = queue.size;
    EXPECT_EQ(
        arrive(queue, waiting(4, "b"), {}).refused,
        base::error_kind::queue_full);
    EXPECT_EQ(arrive(queue, waiting(5, "b", 1), {}).evicted, 1U);
}

} // namespace foxtailvale::scheduling
