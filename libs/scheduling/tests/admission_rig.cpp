#include "admission_rig.hpp"

#include <algorithm>
#include <cmath>

namespace foxtailvale::scheduling
{

namespace
{

using base::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t ticks_per_second = 1000;
constexpr std::uint64_t ticks_per_report = 100;
// Later than zero, which stands for no time.
constexpr std::uint64_t first_tick = 10'000;
constexpr milliseconds longest_wait{200};

struct rig_entry
{
    fair_queue queue;
    service_load load;
    std::map<waiting_id, std::size_t> kinds;
    // Free slots by the last report and own starts and ends since.
    std::int64_t known_free = 0;
};

class rig
{
public:
    explicit rig(rig_setup const& given)
        : setup(given), entries(given.entries),
          slots(static_cast<std::int64_t>(given.entries) * rig_slots_per_entry),
          free(this->slots)
    {
        double cost = 0;
        double count = 0;
        for (auto const& kind : given.kinds)
        {
            cost += kind.load;
            count += kind.load / static_cast<double>(kind.cost.count());
        }
        this->usual_cost = milliseconds(std::llround(cost / count));
        for (auto& entry : this->entries)
        {
            entry.queue.order = queue_order::priority_first;
            entry.known_free = this->slots;
        }
    }

    rig_period run_second()
    {
        this->period = {};
        this->period.kinds.resize(this->setup.kinds.size());
        this->decisions.clear();
        for (std::uint64_t i = 0; i < ticks_per_second; ++i)
        {
            this->step();
        }
        this->period.busy /= ticks_per_second;
        for (auto& [rank, level] : this->period.levels)
        {
            level /= this->decisions[rank];
        }
        return this->period;
    }

private:
    double fraction()
    {
        constexpr std::uint64_t steps = 1U << 30U;
        return static_cast<double>(base::random_below(this->random, steps)) /
               steps;
    }

    time_point now() const
    {
        return time_point(milliseconds(this->tick));
    }

    void step()
    {
        ++this->tick;
        this->end_requests();
        for (std::size_t i = 0; i < this->entries.size(); ++i)
        {
            auto const turn = i * ticks_per_report / this->entries.size();
            if (this->tick % ticks_per_report == turn)
            {
                this->report(i);
            }
        }
        auto const second =
            static_cast<double>(this->tick - first_tick) / ticks_per_second;
        for (std::size_t kind = 0; kind < this->setup.kinds.size(); ++kind)
        {
            auto const& own = this->setup.kinds[kind];
            // Requests per tick.
            auto const rate = own.load * this->setup.factor(second) *
                              static_cast<double>(this->slots) /
                              static_cast<double>(own.cost.count());
            for (auto left = rate; left > 0; left -= 1)
            {
                if (this->fraction() < left)
                {
                    this->arrive_at_entry(kind);
                }
            }
        }
        this->period.busy += static_cast<double>(this->slots - this->free) /
                             static_cast<double>(this->slots);
    }

    void arrive_at_entry(std::size_t kind)
    {
        auto& entry = this->entries[base::random_below(
            this->random, this->entries.size())];
        auto const& own = this->setup.kinds[kind];
        auto const key = workspace_key_of(own.workspace);
        ++this->period.kinds[kind].offered;
        note_offered(entry.load, own.rank, key, own.cost, this->now());
        admission_view const view{
            totals(entry.load, this->now()),
            static_cast<std::uint32_t>(
                std::max<std::int64_t>(0, entry.known_free)),
            this->usual_cost};
        auto const decided = decide(view, {}, {own.rank, key}, this->random);
        this->period.levels[own.rank] += decided.level.rank;
        ++this->decisions[own.rank];
        if (decided.verdict != admission_verdict::admit)
        {
            ++this->period.refused;
            this->period.refused_while_free +=
                (this->free - this->waiting()) * 10 > this->slots ? 1 : 0;
            this->refuse(entry, kind);
            return;
        }
        waiting_request const request{
            ++this->last_id,
            own.workspace,
            1,
            ~own.rank,
            this->now() + longest_wait,
            0,
            static_cast<double>(own.cost.count())};
        if (arrive(entry.queue, request, this->now()).refused)
        {
            this->refuse(entry, kind);
            return;
        }
        entry.kinds[request.id] = kind;
        this->serve(entry);
    }

    std::int64_t waiting() const
    {
        std::size_t sum = 0;
        for (auto const& entry : this->entries)
        {
            sum += entry.queue.size;
        }
        return static_cast<std::int64_t>(sum);
    }

    void refuse(rig_entry& entry, std::size_t kind)
    {
        auto const& own = this->setup.kinds[kind];
        note_refused(
            entry.load, own.rank, workspace_key_of(own.workspace), own.cost,
            this->now());
    }

    void serve(rig_entry& entry)
    {
        while (auto const next = scheduling::next(entry.queue))
        {
            if (entry.known_free <= 0 || this->free <= 0)
            {
                break;
            }
            auto const kind = entry.kinds.at(next->id);
            auto const& own = this->setup.kinds[kind];
            start(entry.queue, *next, this->now());
            note_started(
                entry.load, own.rank, workspace_key_of(own.workspace), own.cost,
                this->now());
            ++this->period.kinds[kind].started;
            entry.kinds.erase(next->id);
            --entry.known_free;
            --this->free;
            this->running.emplace(this->now() + own.cost, &entry);
        }
        note_waiting(entry.load, static_cast<std::uint32_t>(entry.queue.size));
    }

    void end_requests()
    {
        while (!this->running.empty() &&
               this->running.begin()->first <= this->now())
        {
            auto& entry = *this->running.begin()->second;
            this->running.erase(this->running.begin());
            ++this->free;
            ++entry.known_free;
            this->serve(entry);
        }
    }

    // The entry gets the endpoints' report and sends its summary.
    void report(std::size_t number)
    {
        auto& entry = this->entries[number];
        entry.known_free = this->free;
        for (auto const late : withdraw_late(entry.queue, this->now()))
        {
            this->refuse(entry, entry.kinds.at(late));
            entry.kinds.erase(late);
        }
        this->serve(entry);
        auto const summary = summarize(entry.load, this->now());
        auto const name = std::to_string(number);
        for (std::size_t other = 0; other < this->entries.size(); ++other)
        {
            if (other != number && this->fraction() >= this->setup.lost)
            {
                // Without note_summary(), which looks at all others.
                this->entries[other].load.others[name] = {summary, this->now()};
            }
        }
    }

    rig_setup const& setup;
    std::vector<rig_entry> entries;
    std::int64_t slots;
    std::int64_t free;
    microseconds usual_cost{0};
    std::multimap<time_point, rig_entry*> running;
    base::random_state random{7};
    std::uint64_t tick = first_tick;
    waiting_id last_id = 0;
    rig_period period;
    std::map<std::uint32_t, double> decisions;
};

} // namespace

std::vector<rig_period> run_rig(rig_setup const& setup, int seconds)
{
    rig world(setup);
    std::vector<rig_period> periods;
    for (int second = 0; second < seconds; ++second)
    {
        periods.push_back(world.run_second());
    }
    return periods;
}

rig_period sum_of(
    std::vector<rig_period> const& periods, std::size_t first, std::size_t last)
{
    auto sum = periods[first];
    for (auto i = first + 1; i < last; ++i)
    {
        for (std::size_t kind = 0; kind < sum.kinds.size(); ++kind)
        {
            sum.kinds[kind].offered += periods[i].kinds[kind].offered;
            sum.kinds[kind].started += periods[i].kinds[kind].started;
        }
        sum.busy += periods[i].busy;
        sum.refused += periods[i].refused;
        sum.refused_while_free += periods[i].refused_while_free;
    }
    sum.busy /= static_cast<double>(last - first);
    return sum;
}

} // namespace foxtailvale::scheduling
