#include "request_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::testing
{

namespace
{

constexpr std::uint64_t seeds = 60;
constexpr int steps_per_seed = 300;

// Random sequence of requests and faults, determined by the seed.
class fault_scenario
{
public:
    explicit fault_scenario(std::uint64_t seed)
        : simulation(
              {.seed = seed, .longest_delay = milliseconds(8), .limit = 2})
    {
    }

    void run_random_step()
    {
        switch (this->random_number(24))
        {
        case 0:
            this->simulation.kill(this->random_process());
            break;
        case 1:
            this->simulation.restart(this->random_process());
            break;
        case 2:
            this->simulation.store.down = this->random_number(3) == 0;
            break;
        case 3:
            this->simulation.store.delay = milliseconds(
                this->random_number(4) == 0 ? 1200
                                            : 1 + this->random_number(10));
            break;
        case 4:
            this->simulation.store.lose_write =
                static_cast<std::uint32_t>(this->random_number(4));
            break;
        case 5:
            this->lose_frames();
            break;
        case 6:
            this->disconnect_random_caller();
            break;
        default:
            this->send_random_booking();
        }
        this->simulation.run_for(milliseconds(this->random_number(120)));
    }

    request_simulation simulation;

private:
    std::uint64_t random_number(std::uint64_t bound)
    {
        return base::random_below(this->simulation.random, bound);
    }

    std::string random_process()
    {
        auto const number = this->random_number(5);
        return number < 2 ? "entry-" + std::to_string(number + 1)
                          : "agent-" + std::to_string(number - 1);
    }

    void lose_frames()
    {
        if (this->random_number(2) == 0)
        {
            this->simulation.on_frame = nullptr;
            return;
        }
        this->simulation.on_frame =
            [this](
                std::string const&, std::string const&, wire::Envelope const&)
        {
            return this->random_number(20) != 0;
        };
    }

    void disconnect_random_caller()
    {
        if (!this->ids.empty())
        {
            this->simulation.disconnect_caller(
                this->ids[this->random_number(this->ids.size())]);
        }
    }

    // Uses few keys, so that requests with the same key meet; each key has one
    // body.
    void send_random_booking()
    {
        auto const entry =
            "entry-" + std::to_string(this->random_number(2) + 1);
        auto const number = std::to_string(this->random_number(30));
        auto const key = this->random_number(5) == 0 ? "" : "key-" + number;
        this->ids.push_back(
            this->simulation.send_booking(entry, key, "body-" + number));
    }

    std::vector<std::string> ids;
};

} // namespace

// Processes die and restart, frames and answers are lost, the object API is
// down or slow, and callers disconnect and repeat their requests, in any order.
// No booking may run twice, no caller whose booking ran may be told that it was
// not run, no caller may get another's answer, and no gate may exceed its
// limit.
TEST(request_properties, hold_in_any_order_of_events)
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        fault_scenario scenario(seed);
        for (int step_number = 0; step_number < steps_per_seed; ++step_number)
        {
            scenario.run_random_step();
        }
        scenario.simulation.run_for(milliseconds(10'000));
        for (auto const& violation : scenario.simulation.violated_invariants())
        {
            ADD_FAILURE() << "seed " << seed << ": " << violation;
        }
        runs += scenario.simulation.runs();
    }
    // Guards against a fault rate so high that hardly any request runs.
    EXPECT_GT(runs, seeds * 10);
}

} // namespace foxtailvale::testing
