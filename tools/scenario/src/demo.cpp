#include "demo.hpp"

#include "demo_report.hpp"
#include "vm_links.hpp"

#include <load/run_load.hpp>
#include <standins/synthetic.hpp>
#include <standins/wall_clock.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <thread>

namespace foxtailvale::scenario
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t model_bytes = 24ULL * 1024 * 1024;
constexpr std::uint32_t chunk_bytes = 256 * 1024;
constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t second_seed = 2;
constexpr milliseconds poll_interval{20};
constexpr seconds max_phase_length{60};
constexpr seconds domain_phase{6};
constexpr seconds settle_phase{4};
constexpr seconds live_load{60};

double seconds_since(clock::time_point start)
{
    return std::chrono::duration<double>(clock::now() - start).count();
}

// Waits until the condition is met; returns false if it is not met in time.
bool wait_until(std::function<bool()> const& is_met)
{
    auto const start = clock::now();
    while (clock::now() - start < max_phase_length)
    {
        if (is_met())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

// A demonstration in progress.
class demonstration
{
public:
    demonstration(
        fleet_paths const& paths,
        deployment const& fleet_layout,
        std::string const& examples)
        : notes(examples + "/notes/"),
          running(
              paths,
              fleet_layout,
              {{first_seed, model_bytes, chunk_bytes},
               {second_seed, model_bytes, chunk_bytes}}),
          first(standins::make_weights(first_seed, model_bytes, chunk_bytes)),
          second(standins::make_weights(second_seed, model_bytes, chunk_bytes))
    {
    }

    findings const& run()
    {
        this->found.model_bytes = model_bytes;
        this->add_model();
        this->load_running = true;
        this->load_start = clock::now();
        std::thread live(
            [this]
            {
                this->run_live_load();
                this->load_running = false;
            });
        std::this_thread::sleep_for(settle_phase);
        this->replace_version();
        this->domain_out_and_in();
        this->restart_one_of_each_kind();
        this->require(this->load_running, "the load outlasts all phases");
        this->print_progress("waits for the end of the load");
        live.join();
        this->result = make_report(this->running, this->found);
        this->found.orderly_stop = this->running.stop();
        this->result["orderly_stop"] = this->found.orderly_stop;
        return this->found;
    }

    json const& report() const
    {
        return this->result;
    }

private:
    void print_progress(std::string const& text) const
    {
        std::cout << "  " << text << std::endl;
    }

    void require(bool held, std::string const& what)
    {
        if (!held)
        {
            this->found.in_time = false;
            this->print_progress("NOT IN TIME: " + what);
        }
    }

    // Records an event for the plots.
    void record_event(std::string const& what)
    {
        this->found.timeline.push_back({seconds_since(this->load_start), what});
    }

    // Applies the note and returns the start time of the call that was
    // accepted, so that no measured time comes out too short.
    clock::time_point accept(std::string const& note)
    {
        // The first note may be applied before the platform is ready.
        clock::time_point begun;
        this->require(
            wait_until(
                [&]
                {
                    begun = clock::now();
                    return this->running.apply_file(this->notes + note) == 0;
                }),
            "note accepted");
        return begun;
    }

    bool all_engines_serve(std::string const& digest)
    {
        auto const& vms = this->running.vms();
        return std::ranges::all_of(
            vms,
            [&](vm const& machine)
            {
                if (machine.kind != vm_kind::engine)
                {
                    return true;
                }
                auto const state = this->running.page(
                    machine.address, endpoint_port, "/state");
                return state.is_object() && !state["models"].empty() &&
                       state["models"][0]["digest"] == digest;
            });
    }

    bool all_entries_offer(std::string const& digest)
    {
        auto const& vms = this->running.vms();
        return std::ranges::all_of(
            vms,
            [&](vm const& machine)
            {
                if (machine.kind != vm_kind::entry)
                {
                    return true;
                }
                auto const models = this->running.page(
                    machine.address, caller_port, "/v1/models");
                return models.is_object() && !models["data"].empty() &&
                       models["data"][0]["weights_digest"] == digest;
            });
    }

    void add_model()
    {
        this->print_progress("note 1 adds " + this->running.layout().model);
        auto const start = this->accept("1-first-model.json");
        this->require(
            wait_until(
                [&]
                {
                    return this->all_engines_serve(this->first.digest);
                }),
            "first version everywhere");
        this->found.seconds_to_replicas = seconds_since(start);
        this->print_progress(
            "all engines serve it after " +
            std::to_string(this->found.seconds_to_replicas) + " s");
        this->first_link_bytes = agent_link_bytes(this->running);
        this->found.vm_link_copies_max =
            max_copies({}, this->first_link_bytes, model_bytes);
    }

    void replace_version()
    {
        this->print_progress("note 2 replaces its version");
        this->record_event("new version");
        auto const start = this->accept("2-new-version.json");
        this->require(
            wait_until(
                [&]
                {
                    return this->all_entries_offer(this->second.digest);
                }),
            "note 2 in force");
        this->found.config_in_force_s = seconds_since(start);
        this->require(
            wait_until(
                [&]
                {
                    return this->all_engines_serve(this->second.digest);
                }),
            "second version everywhere");
        this->found.seconds_to_version = seconds_since(start);
        this->print_progress(
            "all engines serve it after " +
            std::to_string(this->found.seconds_to_version) + " s");
        this->found.vm_link_copies_max = std::max(
            this->found.vm_link_copies_max,
            max_copies(
                this->first_link_bytes, agent_link_bytes(this->running),
                model_bytes));
    }

    // Returns the time at which an endpoint of the domain (engine or service)
    // last began new work, in milliseconds by its own clock.
    std::int64_t last_new_work_ms(std::size_t domain)
    {
        std::int64_t last = 0;
        for (auto const& machine : this->running.vms())
        {
            if (machine.domain != domain || machine.kind == vm_kind::entry)
            {
                continue;
            }
            auto const counters = this->running.required_page(
                machine.address, endpoint_port, "/counters");
            last =
                std::max(last, counters["last_begin_ms"].get<std::int64_t>());
        }
        return last;
    }

    void domain_out_and_in()
    {
        auto const index = this->running.layout().domains.size() - 1;
        auto const& domain = this->running.layout().domains[index].name;
        this->print_progress("note 3 takes " + domain + " out");
        this->record_event(domain + " out");
        auto const requested_at = standins::wall_clock_ms();
        this->accept("3-domain-out.json");
        std::this_thread::sleep_for(domain_phase);
        auto const last = std::max(requested_at, this->last_new_work_ms(index));
        this->found.domain_out_last_new_work_s =
            static_cast<double>(last - requested_at) / 1000;
        this->print_progress("note 4 brings it back");
        this->record_event(domain + " in");
        this->accept("4-domain-in.json");
        std::this_thread::sleep_for(settle_phase);
    }

    bool is_ready(vm const& machine)
    {
        return this->running.answers(machine.address, operator_port, "/readyz");
    }

    // Restarts one VM of each kind, one after another, as operators do to
    // install a new version of the system.
    void restart_one_of_each_kind()
    {
        for (auto const kind :
             {vm_kind::entry, vm_kind::engine, vm_kind::booking})
        {
            auto const& vms = this->running.vms();
            auto const machine = std::ranges::find(vms, kind, &vm::kind);
            this->print_progress("restarts " + machine->name);
            this->record_event("restart " + machine->name);
            auto const orderly = this->running.restart(machine->name);
            this->found.orderly_restarts =
                this->found.orderly_restarts && orderly;
            this->require(
                wait_until(
                    [&]
                    {
                        return this->is_ready(*machine);
                    }),
                machine->name + " ready again");
        }
    }

    void run_live_load()
    {
        load::load_settings settings;
        for (auto const& machine : this->running.vms())
        {
            if (machine.kind == vm_kind::entry)
            {
                settings.entries.push_back(
                    "http://" + machine.address + ":" +
                    std::to_string(caller_port));
                settings.readiness.push_back(
                    "http://" + machine.address + ":" +
                    std::to_string(operator_port));
            }
        }
        for (auto const& workspace : this->running.layout().workspaces)
        {
            settings.workspaces.push_back(
                {workspace["name"], workspace["weight"]});
        }
        settings.model = this->running.layout().model;
        settings.service = this->running.layout().booking_service;
        settings.chats_per_second = 60;
        settings.bookings_per_second = 10;
        settings.duration = live_load;
        settings.slow_readers_percent = 5;
        this->found.load = load::run_load(settings);
    }

    // Folder of the release notes. The demonstration takes out of service the
    // failure domain that the deployment names last; its note 3 must name the
    // same one.
    std::string notes;
    fleet running;
    standins::synthetic_weights first;
    standins::synthetic_weights second;
    findings found;
    json result;
    std::map<std::string, std::uint64_t> first_link_bytes;
    std::atomic<bool> load_running{false};
    clock::time_point load_start;
};

} // namespace

int run_demo(
    fleet_paths const& paths,
    deployment const& fleet_layout,
    std::string const& examples)
{
    demonstration demo(paths, fleet_layout, examples);
    auto const& found = demo.run();
    auto const& report = demo.report();
    write_report(paths.work, report, found);
    print_table(report);
    auto const broken = broken_promises(report);
    for (auto const& promise : broken)
    {
        std::cout << "  BROKEN: " << promise << "\n";
    }
    std::cout << (broken.empty() ? "  all promises held; " : "  ") << "see "
              << paths.work << "/report.html\n";
    return broken.empty() ? 0 : 1;
}

} // namespace foxtailvale::scenario
