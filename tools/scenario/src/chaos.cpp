#include "chaos.hpp"

#include <base/random.hpp>

#include <algorithm>
#include <array>

namespace foxtailvale::scenario
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds load_length{10'000};
constexpr std::uint64_t last_start_ms = 7000;
constexpr std::uint64_t min_length_ms = 500;
constexpr std::uint64_t max_length_ms = 3000;
constexpr std::uint64_t min_steps = 2;
constexpr std::uint64_t step_count_range = 5;

constexpr std::array kinds{
    step_kind::kill,
    step_kind::freeze,
    step_kind::stop,
    step_kind::domain_out,
    step_kind::new_version,
    step_kind::cut_links,
    step_kind::platform_outage,
    step_kind::platform_slow,
    step_kind::platform_lose_answers,
    step_kind::origin_outage,
    step_kind::origin_corrupt,
    step_kind::turn_cold,
    step_kind::fall_over,
    step_kind::slow_engine,
    step_kind::crash_request};

// Generates random steps. A target, or the kind of a step without a target, is
// used at most once.
class step_generator
{
public:
    step_generator(deployment const& layout, std::uint64_t seed)
        : fleet(layout), vms(make_vms(layout)), random{seed}
    {
    }

    std::vector<scenario_step> generate()
    {
        std::vector<scenario_step> steps;
        auto const count = min_steps + this->below(step_count_range);
        for (std::uint64_t index = 0; index < count; ++index)
        {
            this->add(steps);
        }
        std::ranges::stable_sort(steps, {}, &scenario_step::at);
        return steps;
    }

private:
    std::uint64_t below(std::uint64_t bound)
    {
        return base::random_below(this->random, bound);
    }

    bool first_use(std::string const& name)
    {
        auto const was_used =
            std::ranges::find(this->used, name) != this->used.end();
        this->used.push_back(name);
        return !was_used;
    }

    void add(std::vector<scenario_step>& steps)
    {
        scenario_step step;
        step.kind = kinds[this->below(kinds.size())];
        step.at = milliseconds(500 + this->below(last_start_ms));
        step.length = milliseconds(
            min_length_ms + this->below(max_length_ms - min_length_ms));
        step.amount = 1;
        switch (step.kind)
        {
        case step_kind::kill:
        case step_kind::freeze:
        case step_kind::stop:
            step.target = this->vms[this->below(this->vms.size())].name;
            break;
        case step_kind::turn_cold:
        case step_kind::fall_over:
        case step_kind::slow_engine:
            step.target = this->random_engine_name();
            step.amount = 2 + this->below(20);
            break;
        case step_kind::domain_out:
            step.target =
                this->fleet.domains[this->below(this->fleet.domains.size())]
                    .name;
            break;
        case step_kind::platform_slow:
            step.amount = 100 + this->below(1500);
            break;
        default:
            step.amount = 1 + this->below(10);
        }
        auto const name =
            step.target.empty() ? std::string(name_of(step.kind)) : step.target;
        if (!this->first_use(name))
        {
            return;
        }
        if (step.kind == step_kind::stop)
        {
            auto start_step = step;
            start_step.kind = step_kind::start;
            start_step.at += start_step.length;
            start_step.length = milliseconds(0);
            step.length = milliseconds(0);
            steps.push_back(std::move(start_step));
        }
        steps.push_back(std::move(step));
    }

    std::string random_engine_name()
    {
        std::vector<std::string> engines;
        for (auto const& machine : this->vms)
        {
            if (machine.kind == vm_kind::engine)
            {
                engines.push_back(machine.name);
            }
        }
        return engines[this->below(engines.size())];
    }

    deployment const& fleet;
    std::vector<vm> vms;
    base::random_state random;
    std::vector<std::string> used;
};

} // namespace

scenario_file make_chaos(deployment const& fleet, std::uint64_t seed)
{
    scenario_file generated;
    generated.story = "Chaos of seed " + std::to_string(seed) + ".";
    generated.fleet = fleet;
    generated.model_bytes = 1024 * 1024;
    generated.chats_per_second = 20;
    generated.bookings_per_second = 10;
    generated.load_length = load_length;
    generated.deadline = milliseconds(5000);
    generated.steps = step_generator(fleet, seed).generate();
    return generated;
}

std::string to_text(scenario_file const& script, std::string const& fleet_path)
{
    using nlohmann::json;
    json steps = json::array();
    for (auto const& step : script.steps)
    {
        json value{
            {"at_ms", step.at.count()},
            {"do", std::string(name_of(step.kind))}};
        if (!step.target.empty())
        {
            value["target"] = step.target;
        }
        if (step.length.count() > 0)
        {
            value["for_ms"] = step.length.count();
        }
        value["amount"] = step.amount;
        steps.push_back(std::move(value));
    }
    return json{
        {"story", script.story},
        {"deployment", fleet_path},
        {"load",
         {{"chats_per_second", script.chats_per_second},
          {"bookings_per_second", script.bookings_per_second},
          {"length_ms", script.load_length.count()}}},
        {"steps", std::move(steps)},
        {"outcomes", json::object()}}
        .dump(4);
}

} // namespace foxtailvale::scenario
