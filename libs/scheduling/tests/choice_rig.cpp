#include "choice_rig.hpp"

#include <scheduling/endpoint_choice.hpp>
#include <scheduling/engine_view.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <vector>

namespace foxtailvale::scheduling::rig
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t domains = 3;
constexpr std::size_t slots = 12;
constexpr double tokens_per_ms = 19.1;
constexpr double pass_ms = 44;
constexpr double slow_factor = 2.5;
constexpr std::size_t slow_every = 7;
constexpr int report_interval_ms = 100;
constexpr int report_delay_ms = 50;
constexpr int window_ms = 250;
constexpr int run_ms = 8000;
constexpr int step_begins_ms = 3000;
constexpr int step_ends_ms = 5000;
constexpr double remote_cost = 0.25;
constexpr double random_share = 0.05;

struct kind
{
    double prompt;
    double events;
    int goal_ms;
};

constexpr std::array<kind, 3> kinds{
    {{1290, 22, 500}, {787, 22, 400}, {607, 14, 400}}};

struct request
{
    std::size_t entry = 0;
    std::size_t domain = 0;
    int arrived = 0;
    int goal = 0;
    double prompt = 0;
    double unread = 0;
    double left_ms = 0;
    double until_first_ms = pass_ms;
};

struct engine
{
    std::size_t domain = 0;
    std::deque<request> reading;
    std::vector<request> writing;
    double slow = 1;
    // The report under way and the one that entries see.
    double measured = 0;
    double measured_slow = 1;
    double reported = 0;
    double reported_slow = 1;
    int reports = 0;
    int sent_in_window = 0;
};

// What an entry knows of an engine beyond the reports.
struct own_state
{
    int running = 0;
    int delta = 0;
    int report = 0;
    engine_view view;
};

base::time_point at(int ms)
{
    return base::time_point(std::chrono::hours(1) + milliseconds(ms));
}

class fleet
{
public:
    fleet(load const& wanted, method chosen) : offered(wanted), how(chosen)
    {
        this->random.value = offered.seed;
        this->engines.resize(offered.engines);
        for (std::size_t index = 0; index < this->engines.size(); ++index)
        {
            this->engines[index].domain = index % domains;
        }
        this->known.resize(offered.entries * this->engines.size());
    }

    result play()
    {
        for (this->now = 0; this->now < run_ms; ++this->now)
        {
            this->turn_slow();
            this->report();
            this->run_engines();
            this->arrive();
            this->serve_waiting();
            this->count_window();
        }
        this->seen.crowded /= this->windows * static_cast<double>(domains);
        return this->seen;
    }

private:
    double fraction()
    {
        constexpr std::uint64_t steps = 1U << 20U;
        return (static_cast<double>(base::random_below(this->random, steps)) +
                0.5) /
               static_cast<double>(steps);
    }

    double drawn(double mean)
    {
        return -mean * std::log(this->fraction());
    }

    void turn_slow()
    {
        if (!this->offered.has_slow_engines ||
            this->now % this->offered.slow_ms != 0)
        {
            return;
        }
        auto const turn =
            static_cast<std::size_t>(this->now / this->offered.slow_ms);
        for (std::size_t index = 0; index < this->engines.size(); ++index)
        {
            // Neighbouring engines are in different domains.
            this->engines[index].slow =
                (index + turn) % slow_every == 0 ? slow_factor : 1;
        }
    }

    void report()
    {
        for (std::size_t index = 0; index < this->engines.size(); ++index)
        {
            auto& each = this->engines[index];
            auto const offset = static_cast<int>(index * 37);
            auto const phase = (this->now + offset) % report_interval_ms;
            if (phase == 0)
            {
                each.measured = static_cast<double>(
                    each.reading.size() + each.writing.size());
                each.measured_slow =
                    this->offered.reports_speed ? each.slow : 1;
            }
            auto const round =
                static_cast<std::size_t>(this->now / report_interval_ms) +
                index;
            auto const is_lost = this->offered.loses_reports && round % 2 == 0;
            if (phase == report_delay_ms && !is_lost)
            {
                each.reported = each.measured;
                each.reported_slow = each.measured_slow;
                ++each.reports;
            }
        }
    }

    own_state& own(std::size_t entry, std::size_t index)
    {
        auto& found = this->known[entry * this->engines.size() + index];
        if (found.report != this->engines[index].reports)
        {
            found.report = this->engines[index].reports;
            found.delta = 0;
        }
        return found;
    }

    void run_engines()
    {
        for (std::size_t index = 0; index < this->engines.size(); ++index)
        {
            this->run(index);
        }
    }

    // Prompts are read in order of arrival while there is a free slot; the
    // requests that are read write at the same time.
    void run(std::size_t index)
    {
        auto& each = this->engines[index];
        for (auto& request : each.writing)
        {
            auto const was = request.until_first_ms;
            request.until_first_ms -= 1 / each.slow;
            request.left_ms -= 1 / each.slow;
            auto const is_first = was > 0 && request.until_first_ms <= 0;
            if (is_first && this->now - request.arrived <= request.goal)
            {
                ++this->seen.in_time;
            }
        }
        std::erase_if(
            each.writing,
            [this, index](request const& request)
            {
                auto const done = request.left_ms <= 0;
                if (done)
                {
                    auto& state = this->own(request.entry, index);
                    --state.running;
                    --state.delta;
                }
                return done;
            });
        auto budget = tokens_per_ms / each.slow;
        while (!each.reading.empty() && each.writing.size() < slots &&
               budget > 0)
        {
            auto& first = each.reading.front();
            auto const read = std::min(budget, first.unread);
            first.unread -= read;
            budget -= read;
            if (first.unread <= 0)
            {
                each.writing.push_back(first);
                each.reading.pop_front();
            }
        }
    }

    void arrive()
    {
        auto events = 0.0;
        for (auto const& each : kinds)
        {
            events += each.events / kinds.size();
        }
        auto const busy_ms = events * pass_ms;
        auto const per_ms = this->offered.use * slots *
                            static_cast<double>(this->engines.size()) /
                            domains / busy_ms;
        auto const is_step = this->offered.has_step &&
                             this->now >= step_begins_ms &&
                             this->now < step_ends_ms;
        for (std::size_t domain = 0; domain < domains; ++domain)
        {
            auto const rate = domain == 0 && is_step ? 1.5 * per_ms : per_ms;
            for (auto passed = this->drawn(1 / rate); passed < 1;
                 passed += this->drawn(1 / rate))
            {
                this->take_new(domain);
            }
        }
    }

    void take_new(std::size_t domain)
    {
        constexpr double hot_share = 0.2;
        auto const& drawn_kind =
            kinds[base::random_below(this->random, kinds.size())];
        request fresh;
        auto const per_domain =
            (this->offered.entries + domains - 1 - domain) / domains;
        fresh.entry =
            domain + domains * base::random_below(this->random, per_domain);
        if (this->offered.has_hot_key && this->fraction() < hot_share)
        {
            fresh.entry = 0;
        }
        fresh.domain = fresh.entry % domains;
        fresh.arrived = this->now;
        fresh.goal = drawn_kind.goal_ms;
        fresh.prompt = drawn_kind.prompt * (0.5 + this->fraction());
        fresh.unread = fresh.prompt;
        fresh.left_ms = pass_ms * drawn_kind.events * (0.5 + this->fraction());
        ++this->seen.requests;
        this->waiting.push_back(fresh);
    }

    // A request that finds no engine waits for one until its goal has passed.
    void serve_waiting()
    {
        std::erase_if(
            this->waiting,
            [this](request const& request)
            {
                return this->now - request.arrived > request.goal ||
                       this->place(request);
            });
    }

    bool has_reports(std::size_t entry) const
    {
        return static_cast<double>(entry / domains * 7 % 10) >=
               10 * this->offered.without_reports;
    }

    double work(std::size_t entry, std::size_t index)
    {
        auto const& state = this->own(entry, index);
        if (!this->has_reports(entry))
        {
            return 2.0 * state.running;
        }
        // As in direct::work_at.
        auto const all = static_cast<int>(this->offered.entries);
        auto const change = state.delta > 0 ? state.delta * all : state.delta;
        auto const sum = this->engines[index].reported + change;
        return std::max(sum, static_cast<double>(state.running));
    }

    double true_cost(engine const& each, std::size_t domain) const
    {
        auto unread = 0.0;
        for (auto const& request : each.reading)
        {
            unread += request.unread;
        }
        auto const full = each.reading.size() + each.writing.size() >= slots;
        return each.slow * (unread / tokens_per_ms + pass_ms) +
               (full ? pass_ms * slots : 0) + (each.domain == domain ? 0 : 3);
    }

    // Draws with a probability that falls linearly with the cost.
    std::size_t draw_weighted(std::vector<endpoint_candidate> const& candidates)
    {
        constexpr double zero_cost = 1.6;
        constexpr double remote_weight = 0.2;
        std::vector<double> sums;
        auto sum = 0.0;
        for (auto const& each : candidates)
        {
            sum += std::max(0.01, zero_cost - each.cost) *
                   (each.is_local ? 1 : remote_weight);
            sums.push_back(sum);
        }
        auto const found =
            std::ranges::lower_bound(sums, sum * this->fraction());
        return static_cast<std::size_t>(found - sums.begin());
    }

    bool place(request wanted)
    {
        auto const has_reports = this->has_reports(wanted.entry);
        auto const counts_prompts =
            this->how == method::sampled || this->how == method::weighted;
        std::vector<std::size_t> found;
        std::vector<endpoint_candidate> candidates;
        for (std::size_t index = 0; index < this->engines.size(); ++index)
        {
            auto const& each = this->engines[index];
            auto const is_local = each.domain == wanted.domain;
            if (this->how == method::full_knowledge)
            {
                found.push_back(index);
                candidates.push_back(
                    {this->true_cost(each, wanted.domain), is_local});
                continue;
            }
            auto const load = this->work(wanted.entry, index);
            if (load >= slots)
            {
                continue;
            }
            auto const& view = this->own(wanted.entry, index).view;
            auto cost = (1 + load) / slots;
            if (has_reports)
            {
                cost *= each.reported_slow;
            }
            cost +=
                (is_local ? 0 : remote_cost) + random_share * this->fraction();
            if (has_reports && counts_prompts)
            {
                cost += static_cast<double>(tokens_ahead(view, at(this->now))) /
                        tokens_per_ms / sent_window.count();
            }
            found.push_back(index);
            candidates.push_back({cost, is_local, false, has_reports});
        }
        if (found.empty())
        {
            return false;
        }
        auto const is_exhaustive = this->how == method::least_loaded ||
                                   this->how == method::full_knowledge;
        auto const chosen =
            this->how == method::weighted && has_reports
                ? this->draw_weighted(candidates)
                : choose_endpoint(
                      candidates,
                      is_exhaustive ? endpoint_choice::least_loaded
                                    : endpoint_choice::sampled,
                      this->random);
        this->send(wanted, found[chosen]);
        return true;
    }

    void send(request wanted, std::size_t index)
    {
        auto& state = this->own(wanted.entry, index);
        auto const tokens = static_cast<std::uint64_t>(wanted.prompt);
        note_sent(state.view, tokens, at(this->now));
        ++state.running;
        ++state.delta;
        ++this->engines[index].sent_in_window;
        this->engines[index].reading.push_back(wanted);
    }

    void count_window()
    {
        if ((this->now + 1) % window_ms != 0)
        {
            return;
        }
        std::array<int, domains> sent{};
        std::array<int, domains> members{};
        for (auto const& each : this->engines)
        {
            sent[each.domain] += each.sent_in_window;
            ++members[each.domain];
        }
        for (auto& each : this->engines)
        {
            auto const twice = 2 * sent[each.domain];
            if (each.sent_in_window * members[each.domain] > twice)
            {
                ++this->seen.crowded;
            }
            each.sent_in_window = 0;
        }
        ++this->windows;
    }

    load offered;
    method how;
    int now = 0;
    base::random_state random{11};
    std::vector<engine> engines;
    std::vector<own_state> known;
    std::deque<request> waiting;
    result seen;
    int windows = 0;
};

} // namespace

result play(load const& offered, method how)
{
    return fleet(offered, how).play();
}

} // namespace foxtailvale::scheduling::rig
