#include "scenario_run.hpp"

#include <checker/promises.hpp>

#include <http/http_client.hpp>
#include <load/run_load.hpp>
#include <standins/synthetic.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

namespace foxtailvale::scenario
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t chunk_bytes = 64 * 1024;
constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t second_seed = 2;
constexpr milliseconds poll_interval{50};
constexpr seconds max_wait{40};
constexpr seconds settle_time{2};
// Time after the return of an entry within which its callers' connections may
// still fail.
constexpr milliseconds return_grace{1500};
constexpr int warm_limit = 8;
constexpr int cold_limit = 2;

checker::wall_time wall_now()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

bool wait_until(std::function<bool()> const& condition)
{
    auto const start = clock::now();
    while (clock::now() - start < max_wait)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

// An action at its time: the start of a step, or the end of a step's fault.
struct timed_action
{
    milliseconds at{0};
    std::function<void()> work;
};

// A scenario in progress.
class scenario_run
{
public:
    scenario_run(fleet_paths const& where, scenario_file const& what)
        : paths(where), script(what),
          first(standins::make_weights(
              first_seed, what.model_bytes, chunk_bytes)),
          second(standins::make_weights(
              second_seed, what.model_bytes, chunk_bytes)),
          running(
              where,
              what.fleet,
              {{first_seed, what.model_bytes, chunk_bytes},
               {second_seed, what.model_bytes, chunk_bytes}})
    {
    }

    int run()
    {
        this->prepare();
        auto live = std::async(
            std::launch::async,
            [this]
            {
                return load::run_load(this->make_load());
            });
        this->execute_steps(clock::now());
        auto const report = live.get();
        if (this->pending_notes.valid())
        {
            this->pending_notes.wait();
        }
        for (auto& pending_request : this->crash_requests)
        {
            pending_request.wait();
        }
        this->collect(report);
        this->check_newest();
        this->stop_fleet();
        return this->report_result(report);
    }

private:
    void fail(std::string const& what)
    {
        this->failures.push_back(what);
    }

    vm const& machine(std::string const& name) const
    {
        return *std::ranges::find(this->running.vms(), name, &vm::name);
    }

    std::string caller_address(vm const& host) const
    {
        return "http://" + host.address + ":" + std::to_string(caller_port);
    }

    // URL by which the load tool identifies an entry; empty for an agent.
    std::string entry_address(std::string const& name) const
    {
        auto const& host = this->machine(name);
        return host.kind == vm_kind::entry ? this->caller_address(host)
                                           : std::string();
    }

    json model_clause(std::string const& digest) const
    {
        json replicas;
        for (auto const& failure_domain : this->script.fleet.domains)
        {
            replicas[failure_domain.name] = failure_domain.engines;
        }
        return {
            {"digest", digest},
            {"replicas", replicas},
            {"limit", warm_limit},
            {"cold_limit", cold_limit},
            {"memory_mib", 64}};
    }

    json first_note() const
    {
        json note{{"note", 1}, {"follows", 0}, {"summary", "first"}};
        auto& added = note["added"];
        auto const& fleet_layout = this->script.fleet;
        added["models"][fleet_layout.model] =
            this->model_clause(this->first.digest);
        added["services"][fleet_layout.booking_service] = {
            {"repeatable", false}};
        for (auto const& failure_domain : fleet_layout.domains)
        {
            added["domains"][failure_domain.name] = {
                {"region", failure_domain.region}};
        }
        for (auto const& workspace : fleet_layout.workspaces)
        {
            added["workspaces"][workspace["name"].get<std::string>()] = {
                {"weight", workspace["weight"]}};
        }
        return note;
    }

    bool apply(json note)
    {
        auto const number = this->notes + 1;
        note["note"] = number;
        note["follows"] = this->notes;
        if (this->running.apply(note) != 0)
        {
            return false;
        }
        this->notes = number;
        std::lock_guard const lock(this->evidence_mutex);
        this->recorded.notes.push_back(
            {static_cast<std::uint64_t>(number),
             wall_now(),
             {this->first.digest, this->second.digest}});
        return true;
    }

    // Applies notes one after the other on a separate thread: a note that is
    // delayed by an outage must not delay the step that ends the outage.
    void queue_note(std::function<void()> work)
    {
        this->pending_notes = std::async(
            std::launch::async,
            [before = std::move(this->pending_notes), work = std::move(work)]
            {
                if (before.valid())
                {
                    before.wait();
                }
                work();
            });
    }

    // During an outage, a note is refused or not answered; the operator applies
    // it again.
    void apply_until_accepted(json const& note)
    {
        if (!wait_until(
                [&]
                {
                    return this->apply(note);
                }))
        {
            this->fail("a note was never accepted: " + note.dump());
        }
    }

    bool all_engines_serve(std::string const& digest)
    {
        return std::ranges::all_of(
            this->running.vms(),
            [&](vm const& host)
            {
                if (host.kind != vm_kind::engine || this->is_down(host.name))
                {
                    return true;
                }
                auto const state =
                    this->running.page(host.address, endpoint_port, "/state");
                return state.is_object() && !state["models"].empty() &&
                       state["models"][0]["digest"] == digest;
            });
    }

    bool is_down(std::string const& name) const
    {
        return this->down_processes.contains(name);
    }

    void prepare()
    {
        this->apply_until_accepted(this->first_note());
        if (!wait_until(
                [this]
                {
                    return this->all_engines_serve(this->first.digest);
                }))
        {
            this->fail("the first version never served everywhere");
        }
        std::this_thread::sleep_for(settle_time);
    }

    load::load_settings make_load() const
    {
        load::load_settings settings;
        for (auto const& host : this->running.vms())
        {
            if (host.kind == vm_kind::entry)
            {
                settings.entries.push_back(this->caller_address(host));
            }
        }
        for (auto const& workspace : this->script.fleet.workspaces)
        {
            settings.workspaces.push_back(
                {workspace["name"], workspace["weight"]});
        }
        settings.model = this->script.fleet.model;
        settings.service = this->script.fleet.booking_service;
        settings.chats_per_second = this->script.chats_per_second;
        settings.bookings_per_second = this->script.bookings_per_second;
        settings.duration = this->script.load_length;
        settings.deadline = this->script.deadline;
        return settings;
    }

    void execute_steps(clock::time_point start)
    {
        std::vector<timed_action> actions;
        for (auto const& step : this->script.steps)
        {
            actions.push_back(
                {step.at, [this, &step]
                 {
                     std::cout << "  " << step.at.count()
                               << " ms: " << name_of(step.kind) << " "
                               << step.target << std::endl;
                     this->begin(step);
                 }});
            if (step.length.count() > 0)
            {
                actions.push_back(
                    {step.at + step.length, [this, &step]
                     {
                         this->undo(step);
                     }});
            }
        }
        std::ranges::stable_sort(actions, {}, &timed_action::at);
        for (auto const& action : actions)
        {
            std::this_thread::sleep_until(start + action.at);
            action.work();
        }
    }

    void control_platform(json const& value)
    {
        this->running.control(
            store_address(this->script.fleet), platform_port, value);
    }

    void control_origin(json const& value)
    {
        this->running.control(
            store_address(this->script.fleet), origin_port, value);
    }

    void control_endpoint(std::string const& name, json const& value)
    {
        this->running.control(
            this->machine(name).address, endpoint_port, value);
    }

    void control_links(json const& value)
    {
        auto const regions = regions_of(this->script.fleet).size();
        for (std::size_t link = 0; link < regions * (regions - 1) / 2; ++link)
        {
            this->running.control(
                link_control_address(this->script.fleet),
                static_cast<std::uint16_t>(link_control_port + link), value);
        }
    }

    // Records that configurations may spread late from now on.
    void record_partition(scenario_step const& step)
    {
        auto const now = wall_now();
        auto const length =
            step.length.count() > 0 ? step.length : milliseconds(max_wait);
        this->recorded.partitions.push_back({now, now + length});
    }

    void record_entry_fault(std::string const& name, milliseconds length)
    {
        auto const entry = this->entry_address(name);
        if (!entry.empty())
        {
            auto const now = wall_now();
            this->recorded.entry_faults.push_back(
                {entry, now,
                 now + (length.count() > 0 ? length + return_grace
                                           : milliseconds(max_wait))});
        }
    }

    void stop_by_plan(std::string const& name)
    {
        auto const requested_at = wall_now();
        auto const code = this->running.end(name, SIGTERM);
        this->recorded.stops.push_back(
            {name, this->entry_address(name), requested_at, wall_now(), code});
        this->recorded.endpoints_leaving.push_back(
            {name, requested_at, requested_at + max_wait});
        this->down_processes.insert(name);
        this->record_entry_fault(name, milliseconds(0));
    }

    // A stop step blocks until the process has ended, which delays the steps
    // after it.
    void begin(scenario_step const& step)
    {
        switch (step.kind)
        {
        case step_kind::kill:
            this->record_entry_fault(step.target, step.length);
            this->down_processes.insert(step.target);
            this->running.end(step.target, SIGKILL);
            break;
        case step_kind::freeze:
            this->record_entry_fault(step.target, step.length);
            this->record_partition(step);
            this->running.signal(step.target, SIGSTOP);
            break;
        case step_kind::stop:
            this->stop_by_plan(step.target);
            break;
        case step_kind::start:
            this->start_ended_process(step.target);
            break;
        case step_kind::domain_out:
            this->queue_note(
                [this, &step]
                {
                    this->take_out_of_service(step.target);
                });
            break;
        case step_kind::domain_in:
            this->queue_return_to_service(step.target);
            break;
        case step_kind::new_version:
            this->newest = this->second.digest;
            this->queue_note(
                [this]
                {
                    this->apply_until_accepted(
                        {{"changed",
                          {{"models",
                            {{this->script.fleet.model,
                              this->model_clause(this->second.digest)}}}}}});
                });
            break;
        default:
            this->begin_external_fault(step);
        }
    }

    // Begins faults of components outside the system: links, the platform, the
    // origin and the endpoints.
    void begin_external_fault(scenario_step const& step)
    {
        switch (step.kind)
        {
        case step_kind::cut_links:
            this->record_partition(step);
            this->control_links({{"cut", "both"}});
            break;
        case step_kind::platform_outage:
            this->record_partition(step);
            this->control_platform({{"outage", true}});
            break;
        case step_kind::platform_slow:
            this->record_partition(step);
            this->control_platform({{"delay_ms", step.amount}});
            break;
        case step_kind::platform_lose_answers:
            this->control_platform({{"lost_answers", step.amount}});
            break;
        case step_kind::origin_outage:
            this->control_origin({{"outage", true}});
            break;
        case step_kind::origin_corrupt:
            this->control_origin({{"corrupt_chunks", step.amount}});
            break;
        case step_kind::turn_cold:
            this->control_endpoint(step.target, {{"turn_cold", true}});
            break;
        case step_kind::fall_over:
            this->control_endpoint(step.target, {{"fall_over", true}});
            break;
        case step_kind::slow_engine:
            this->control_endpoint(step.target, {{"slowness", step.amount}});
            break;
        default:
            this->send_crash_requests(step.amount);
        }
    }

    void undo(scenario_step const& step)
    {
        switch (step.kind)
        {
        case step_kind::kill:
            this->start_ended_process(step.target);
            break;
        case step_kind::freeze:
            this->running.signal(step.target, SIGCONT);
            break;
        case step_kind::domain_out:
            this->queue_return_to_service(step.target);
            break;
        case step_kind::cut_links:
            this->control_links({{"cut", "none"}});
            break;
        case step_kind::platform_outage:
            this->control_platform({{"outage", false}});
            break;
        case step_kind::platform_slow:
            this->control_platform({{"delay_ms", 0}});
            break;
        case step_kind::origin_outage:
            this->control_origin({{"outage", false}});
            break;
        case step_kind::slow_engine:
            this->control_endpoint(step.target, {{"slowness", 1}});
            break;
        default:
            break;
        }
    }

    void start_ended_process(std::string const& name)
    {
        this->running.start_ended_process(name);
        this->down_processes.erase(name);
        auto const now = wall_now();
        for (auto& gone : this->recorded.endpoints_leaving)
        {
            gone.until =
                gone.subject == name ? std::min(gone.until, now) : gone.until;
        }
        for (auto& fault : this->recorded.entry_faults)
        {
            if (fault.entry == this->entry_address(name))
            {
                fault.until = std::min(fault.until, now + return_grace);
            }
        }
    }

    void take_out_of_service(std::string const& domain)
    {
        this->apply_until_accepted({{"failure_domains", {{domain, "out"}}}});
        auto const now = wall_now();
        std::lock_guard const lock(this->evidence_mutex);
        this->recorded.domains_out.push_back({domain, now, now + max_wait});
    }

    void queue_return_to_service(std::string const& domain)
    {
        this->queue_note(
            [this, domain]
            {
                this->return_to_service(domain);
            });
    }

    void end_absence(std::string const& domain)
    {
        std::lock_guard const lock(this->evidence_mutex);
        // Work is allowed from the moment at which the note may have been
        // accepted.
        for (auto& gone : this->recorded.domains_out)
        {
            gone.until = gone.subject == domain
                             ? std::min(gone.until, wall_now())
                             : gone.until;
        }
    }

    void return_to_service(std::string const& domain)
    {
        this->end_absence(domain);
        this->apply_until_accepted({{"failure_domains", {{domain, "in"}}}});
    }

    // Sends a request that crashes each engine that runs it, and its
    // repetitions by the caller.
    void send_crash_requests(std::uint64_t count)
    {
        auto const settings = this->make_load();
        this->crash_requests.push_back(std::async(
            std::launch::async,
            [settings, count]
            {
                for (std::uint64_t attempt = 0; attempt < count; ++attempt)
                {
                    http::request http_request;
                    http_request.base =
                        settings.entries[attempt % settings.entries.size()];
                    http_request.method = "POST";
                    http_request.path = "/v1/chat/completions";
                    http_request.content_type = "application/json";
                    http_request.headers["X-Workspace"] =
                        settings.workspaces.front().name;
                    http_request.headers["X-Request-Id"] = "crash-1";
                    http_request.body =
                        json{
                            {"model", settings.model},
                            {"messages",
                             json::array(
                                 {{{"role", "user"},
                                   {"content", "crash-this-engine"}}})}}
                            .dump();
                    static_cast<void>(http::call(http_request));
                }
            }));
    }

    void collect(json const& report)
    {
        checker::add_load_report(this->recorded, report);
        for (auto const& host : this->running.vms())
        {
            if (host.kind == vm_kind::entry)
            {
                continue;
            }
            auto const counters =
                this->running.page(host.address, endpoint_port, "/counters");
            checker::add_endpoint(
                this->recorded, host.name,
                this->script.fleet.domains[host.domain].name,
                host.kind == vm_kind::booking, counters);
        }
        std::ofstream(this->paths.work + "/evidence.json")
            << report.dump(1) << "\n";
    }

    void check_newest()
    {
        auto const wanted =
            this->newest.empty() ? this->first.digest : this->newest;
        auto const served = wait_until(
            [&]
            {
                return this->all_engines_serve(wanted);
            });
        if (this->script.outcomes.newest_version_serves && !served)
        {
            this->fail("the newest version does not serve everywhere");
        }
    }

    // Stops the remaining fleet in an orderly way.
    void stop_fleet()
    {
        if (!this->running.stop())
        {
            this->recorded.stops.push_back(
                {"one of the rest", "", wall_now(), wall_now(), 1});
        }
    }

    void require_share(json const& report, bool bookings, std::uint64_t percent)
    {
        std::uint64_t all = 0;
        std::uint64_t right = 0;
        for (auto const& record : report["records"])
        {
            if (record["booking"] == bookings)
            {
                ++all;
                right += record["ended"] == "right" ? 1 : 0;
            }
        }
        auto const* const what = bookings ? "bookings" : "chats";
        std::cout << "  " << what << " right: " << right << " of " << all
                  << std::endl;
        if (all > 0 && right * 100 < percent * all)
        {
            this->fail(
                std::string(what) + " right: less than " +
                std::to_string(percent) + " in 100");
        }
    }

    int report_result(json const& report)
    {
        std::cout << "  outcomes " << report["outcomes"] << " errors "
                  << report["errors"] << std::endl;
        this->require_share(report, false, this->script.outcomes.chats_right);
        this->require_share(report, true, this->script.outcomes.bookings_right);
        auto const violations = checker::find_violations(this->recorded);
        constexpr std::size_t max_shown = 5;
        std::map<checker::promise, std::size_t> shown;
        for (auto const& found : violations)
        {
            if (++shown[found.broken] <= max_shown)
            {
                std::cout << "  BROKEN " << checker::name_of(found.broken)
                          << ": " << found.what << "\n";
            }
        }
        for (auto const& failure : this->failures)
        {
            std::cout << "  NOT MET " << failure << "\n";
        }
        return violations.empty() && this->failures.empty() ? 0 : 1;
    }

    fleet_paths paths;
    scenario_file const& script;
    standins::synthetic_weights first;
    standins::synthetic_weights second;
    fleet running;
    checker::evidence recorded;
    std::string newest;
    std::set<std::string> down_processes;
    std::vector<std::string> failures;
    std::vector<std::future<void>> crash_requests;
    std::future<void> pending_notes;
    // Protects the parts of the evidence to which both the notes' thread and
    // the steps add.
    std::mutex evidence_mutex;
    int notes = 0;
};

} // namespace

int run_scenario(fleet_paths const& paths, scenario_file const& script)
{
    std::cout << script.story << std::endl;
    auto const code = scenario_run(paths, script).run();
    std::cout << (code == 0 ? "HELD" : "FAILED") << std::endl;
    return code;
}

} // namespace foxtailvale::scenario
