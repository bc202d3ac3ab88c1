#include "request_world.hpp"

#include <gtest/gtest.h>

namespace foxtailvale::testing
{

namespace
{

constexpr std::uint64_t seeds = 60;
constexpr int moments = 300;

// One moment of a bad hour: what happens next is drawn from the seed.
class bad_hour
{
public:
    explicit bad_hour(std::uint64_t seed)
        : world({.seed = seed, .longest_delay = milliseconds(8), .limit = 2})
    {
    }

    void happen()
    {
        switch (this->draw(24))
        {
        case 0:
            this->world.kill(this->some_process());
            break;
        case 1:
            this->world.restart(this->some_process());
            break;
        case 2:
            this->world.store.down = this->draw(3) == 0;
            break;
        case 3:
            this->world.store.delay =
                milliseconds(this->draw(4) == 0 ? 1200 : 1 + this->draw(10));
            break;
        case 4:
            this->world.store.lose_write =
                static_cast<std::uint32_t>(this->draw(4));
            break;
        case 5:
            this->lose_frames();
            break;
        case 6:
            this->hang_up_one();
            break;
        default:
            this->send_one();
        }
        this->world.run_for(milliseconds(this->draw(120)));
    }

    request_world world;

private:
    std::uint64_t draw(std::uint64_t bound)
    {
        return base::random_below(this->world.random, bound);
    }

    std::string some_process()
    {
        auto const number = this->draw(5);
        return number < 2 ? "entry-" + std::to_string(number + 1)
                          : "agent-" + std::to_string(number - 1);
    }

    void lose_frames()
    {
        if (this->draw(2) == 0)
        {
            this->world.on_frame = nullptr;
            return;
        }
        this->world.on_frame =
            [this](
                std::string const&, std::string const&, wire::Envelope const&)
        {
            return this->draw(20) != 0;
        };
    }

    void hang_up_one()
    {
        if (!this->ids.empty())
        {
            this->world.hang_up(this->ids[this->draw(this->ids.size())]);
        }
    }

    // Few keys, so that sends of one key meet; each has one body.
    void send_one()
    {
        auto const entry = "entry-" + std::to_string(this->draw(2) + 1);
        auto const number = std::to_string(this->draw(30));
        auto const key = this->draw(5) == 0 ? "" : "key-" + number;
        this->ids.push_back(this->world.book(entry, key, "body-" + number));
    }

    std::vector<std::string> ids;
};

} // namespace

// Processes die and come back, frames and answers are lost, the store is down
// or slow, callers hang up and send again, in any order. No booking runs twice,
// nobody is told "not run" whose booking ran, nobody gets another's answer, and
// no gate lets through more than its limit.
TEST(request_properties, hold_in_any_order_of_events)
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        bad_hour hour(seed);
        for (int moment = 0; moment < moments; ++moment)
        {
            hour.happen();
        }
        hour.world.run_for(milliseconds(10'000));
        for (auto const& broken : hour.world.broken_promises())
        {
            ADD_FAILURE() << "seed " << seed << ": " << broken;
        }
        runs += hour.world.runs();
    }
    // The faults must not be so many that nothing is tried.
    EXPECT_GT(runs, seeds * 10);
}

} // namespace foxtailvale::testing
