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
constexpr seconds longest_phase{60};
constexpr seconds domain_phase{6};
constexpr seconds settle_phase{4};
constexpr seconds live_load{60};

double seconds_since(clock::time_point start)
{
    return std::chrono::duration<double>(clock::now() - start).count();
}

// Waits until the condition holds; false when it never does.
bool wait_until(std::function<bool()> const& condition)
{
    auto const start = clock::now();
    while (clock::now() - start < longest_phase)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

// One demonstration in progress.
class demonstration
{
public:
    demonstration(
        fleet_paths const& paths,
        deployment const& from,
        std::string const& examples)
        : notes(examples + "/notes/"),
          running(
              paths,
              from,
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
        this->restart_some();
        this->require(this->load_running, "the load outlasts all phases");
        this->say("waits for the end of the load");
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
    void say(std::string const& text) const
    {
        std::cout << "  " << text << std::endl;
    }

    void require(bool held, std::string const& what)
    {
        if (!held)
        {
            this->found.in_time = false;
            this->say("NOT IN TIME: " + what);
        }
    }

    // Notes a moment for the plots.
    void mark(std::string const& what)
    {
        this->found.moments.push_back({seconds_since(this->load_start), what});
    }

    // Applies the note and returns when the call that was accepted began, so
    // that no measured time comes out too short.
    clock::time_point accept(std::string const& note)
    {
        // The first note may come before the platform is ready.
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

    bool all_engines_hold(std::string const& digest)
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
        this->say("note 1 adds " + this->running.layout().model);
        auto const start = this->accept("1-first-model.json");
        this->require(
            wait_until(
                [&]
                {
                    return this->all_engines_hold(this->first.digest);
                }),
            "first version everywhere");
        this->found.seconds_to_replicas = seconds_since(start);
        this->say(
            "all engines serve it after " +
            std::to_string(this->found.seconds_to_replicas) + " s");
        this->first_link_bytes = agent_link_bytes(this->running);
        this->found.vm_link_copies_max =
            most_copies({}, this->first_link_bytes, model_bytes);
    }

    void replace_version()
    {
        this->say("note 2 replaces its version");
        this->mark("new version");
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
                    return this->all_engines_hold(this->second.digest);
                }),
            "second version everywhere");
        this->found.seconds_to_version = seconds_since(start);
        this->say(
            "all engines serve it after " +
            std::to_string(this->found.seconds_to_version) + " s");
        this->found.vm_link_copies_max = std::max(
            this->found.vm_link_copies_max,
            most_copies(
                this->first_link_bytes, agent_link_bytes(this->running),
                model_bytes));
    }

    // When an endpoint of the domain last began new work, by its own clock
    // counters; engines and services alike.
    std::int64_t last_new_work_ms(std::size_t domain)
    {
        std::int64_t last = 0;
        for (auto const& machine : this->running.vms())
        {
            if (machine.domain != domain || machine.kind == vm_kind::entry)
            {
                continue;
            }
            auto const counters = this->running.sure_page(
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
        this->say("note 3 takes " + domain + " out");
        this->mark(domain + " out");
        auto const asked = standins::wall_clock_ms();
        this->accept("3-domain-out.json");
        std::this_thread::sleep_for(domain_phase);
        auto const last = std::max(asked, this->last_new_work_ms(index));
        this->found.domain_out_last_new_work_s =
            static_cast<double>(last - asked) / 1000;
        this->say("note 4 brings it back");
        this->mark(domain + " in");
        this->accept("4-domain-in.json");
        std::this_thread::sleep_for(settle_phase);
    }

    bool is_ready(vm const& machine)
    {
        return this->running.answers(machine.address, operator_port, "/readyz");
    }

    // A planned restart of one VM of each kind, one after another, as
    // operators do it for a new version of the system.
    void restart_some()
    {
        for (auto const kind :
             {vm_kind::entry, vm_kind::engine, vm_kind::booking})
        {
            auto const& vms = this->running.vms();
            auto const machine = std::ranges::find(vms, kind, &vm::kind);
            this->say("restarts " + machine->name);
            this->mark("restart " + machine->name);
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

    // Folder of the release notes. The demonstration takes out the failure
    // domain that the deployment names last, and so does its note 3.
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
    deployment const& from,
    std::string const& examples)
{
    demonstration demo(paths, from, examples);
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
