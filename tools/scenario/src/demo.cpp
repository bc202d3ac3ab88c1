#include "demo.hpp"

#include <load/run_load.hpp>
#include <standins/synthetic.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
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
constexpr std::uint32_t model_memory_mib = 64;
constexpr std::uint32_t warm_limit = 8;
constexpr std::uint32_t cold_limit = 2;
constexpr milliseconds poll_interval{20};
constexpr seconds longest_phase{60};
constexpr seconds domain_phase{6};
constexpr seconds settle_phase{4};
// A failure domain that was taken out gets no new work after this long.
constexpr double domain_out_limit_s = 2.0;

double seconds_since(clock::time_point start)
{
    return std::chrono::duration<double>(clock::now() - start).count();
}

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
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

json model_clause(deployment const& from, std::string const& digest)
{
    json replicas;
    for (auto const& place : from.domains)
    {
        replicas[place.name] = place.engines;
    }
    return {
        {"digest", digest},
        {"replicas", replicas},
        {"limit", warm_limit},
        {"cold_limit", cold_limit},
        {"memory_mib", model_memory_mib}};
}

json first_note(deployment const& from, std::string const& digest)
{
    json note{{"note", 1}, {"follows", 0}};
    note["summary"] = "The first model, its services and all failure domains.";
    auto& added = note["added"];
    added["models"][from.model] = model_clause(from, digest);
    added["services"][from.booking_service] = {{"repeatable", false}};
    added["services"][from.supporting_service] = {{"repeatable", true}};
    for (auto const& place : from.domains)
    {
        added["domains"][place.name] = {{"region", place.region}};
    }
    for (auto const& workspace : from.workspaces)
    {
        added["workspaces"][workspace["name"].get<std::string>()] = {
            {"weight", workspace["weight"]}};
    }
    return note;
}

json version_note(deployment const& from, std::string const& digest)
{
    return {
        {"note", 2},
        {"follows", 1},
        {"summary", "A new version replaces the first."},
        {"changed", {{"models", {{from.model, model_clause(from, digest)}}}}}};
}

json domain_note(int number, std::string const& domain, char const* state)
{
    return {
        {"note", number},
        {"follows", number - 1},
        {"failure_domains", {{domain, state}}}};
}

// What the demonstration learns on its way.
struct findings
{
    double seconds_to_replicas = 0;
    double seconds_to_version = 0;
    double config_in_force_s = 0;
    double domain_out_last_new_work_s = 0;
    bool in_time = true;
    bool orderly_stop = false;
    json load;
};

// One demonstration in progress.
class demonstration
{
public:
    demonstration(fleet_paths const& paths, deployment const& from)
        : running(
              paths,
              from,
              {{first_seed, model_bytes, chunk_bytes},
               {second_seed, model_bytes, chunk_bytes}}),
          first(standins::make_weights(first_seed, model_bytes, chunk_bytes)),
          second(standins::make_weights(second_seed, model_bytes, chunk_bytes))
    {
    }

    json run()
    {
        this->add_model();
        std::thread live(
            [this]
            {
                this->run_live_load();
            });
        std::this_thread::sleep_for(settle_phase);
        this->replace_version();
        this->domain_out_and_in();
        live.join();
        auto report = this->make_report();
        report["orderly_stop"] = this->running.stop();
        return report;
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

    void accept(json const& note)
    {
        // The first note may come before the platform is ready.
        this->require(
            wait_until(
                [&]
                {
                    return this->running.apply(note) == 0;
                }),
            "note accepted");
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
        this->accept(first_note(this->running.layout(), this->first.digest));
        auto const start = clock::now();
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
    }

    void replace_version()
    {
        this->say("note 2 replaces its version");
        this->accept(version_note(this->running.layout(), this->second.digest));
        auto const start = clock::now();
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
    }

    void domain_out_and_in()
    {
        auto const& domain = this->running.layout().domains.back().name;
        this->say("note 3 takes " + domain + " out");
        this->accept(domain_note(3, domain, "out"));
        auto const accepted = wall_clock_ms();
        std::this_thread::sleep_for(domain_phase);
        std::int64_t last = accepted;
        for (auto const& machine : this->running.vms())
        {
            auto const is_there =
                machine.domain + 1 == this->running.layout().domains.size();
            if (is_there && machine.kind == vm_kind::engine)
            {
                auto const counters = this->running.page(
                    machine.address, endpoint_port, "/counters");
                last = std::max(
                    last, counters.value("last_begin_ms", std::int64_t{0}));
            }
        }
        this->found.domain_out_last_new_work_s =
            static_cast<double>(last - accepted) / 1000;
        this->say("note 4 brings it back");
        this->accept(domain_note(4, domain, "in"));
        std::this_thread::sleep_for(settle_phase);
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
        settings.duration = seconds(45);
        this->found.load = load::run_load(settings);
    }

    std::map<std::string, std::uint64_t> booking_runs()
    {
        std::map<std::string, std::uint64_t> runs;
        for (auto const& machine : this->running.vms())
        {
            if (machine.kind != vm_kind::booking)
            {
                continue;
            }
            auto const counters =
                this->running.page(machine.address, endpoint_port, "/counters");
            for (auto const& [id, count] : counters["runs"].items())
            {
                runs[id] += count.get<std::uint64_t>();
            }
        }
        return runs;
    }

    json make_report()
    {
        auto const runs = this->booking_runs();
        std::uint64_t doubled = 0;
        for (auto const& [id, count] : runs)
        {
            doubled += count > 1 ? 1 : 0;
        }
        std::uint64_t run_but_denied = 0;
        for (auto const& booking : this->found.load["bookings"])
        {
            auto const id = booking["id"].get<std::string>();
            run_but_denied +=
                booking["ran"] == "no" && runs.contains(id) ? 1 : 0;
        }
        auto const origin = this->running.page(
            store_address(this->running.layout()), origin_port, "/counters");
        std::uint64_t drawn = 0;
        for (auto const& [digest, version] : origin["versions"].items())
        {
            drawn = std::max(drawn, version["bytes_sent"].get<std::uint64_t>());
        }
        auto const& load = this->found.load;
        auto const count = [&load](char const* outcome)
        {
            return load["outcomes"].value(outcome, std::uint64_t{0});
        };
        return {
            {"deployment", this->running.layout().name},
            {"requests_total", load["requests"]},
            {"answers_total", count("right")},
            {"answers_wrong", count("wrong")},
            {"answers_lost", count("lost")},
            {"answers_refused", count("refused")},
            {"answers_failed", count("failed")},
            {"mixed_weights", count("mixed")},
            {"bookings_doubled", doubled},
            {"bookings_run_but_denied", run_but_denied},
            {"origin_copies",
             static_cast<double>(drawn) / static_cast<double>(model_bytes)},
            {"seconds_to_replicas", this->found.seconds_to_replicas},
            {"seconds_to_version", this->found.seconds_to_version},
            {"domain_out_last_new_work_s",
             this->found.domain_out_last_new_work_s},
            {"config_in_force_s", this->found.config_in_force_s},
            {"first_token_p50_ms", load["first_token"]["p50_ms"]},
            {"first_token_p95_ms", load["first_token"]["p95_ms"]},
            {"p50_ms", load["whole"]["p50_ms"]},
            {"p95_ms", load["whole"]["p95_ms"]},
            {"errors", load["errors"]},
            {"in_time", this->found.in_time}};
    }

    fleet running;
    standins::synthetic_weights first;
    standins::synthetic_weights second;
    findings found;
};

bool promises_held(json const& report)
{
    return report["answers_wrong"] == 0 && report["answers_lost"] == 0 &&
           report["mixed_weights"] == 0 && report["bookings_doubled"] == 0 &&
           report["bookings_run_but_denied"] == 0 &&
           report["answers_total"] > 0 && report["in_time"] == true &&
           report["orderly_stop"] == true &&
           report["domain_out_last_new_work_s"] <= domain_out_limit_s;
}

void print_table(json const& report)
{
    for (auto const& [name, value] : report.items())
    {
        std::printf("  %-28s %s\n", name.c_str(), value.dump().c_str());
    }
}

} // namespace

int run_demo(fleet_paths const& paths, deployment const& from)
{
    auto const report = demonstration(paths, from).run();
    std::ofstream(paths.work + "/report.json") << report.dump(2) << "\n";
    print_table(report);
    auto const held = promises_held(report);
    std::cout << (held ? "  all promises held\n" : "  A PROMISE WAS BROKEN\n");
    return held ? 0 : 1;
}

} // namespace foxtailvale::scenario
