#include "load_fleet.hpp"

#include <string>

namespace foxtailvale::scheduling
{

namespace
{

constexpr std::size_t steps_per_notice = 10;

} // namespace

load_fleet::load_fleet(std::size_t size, fleet_faults network)
    : entries(size), faults(network)
{
    for (std::size_t entry = 0; entry < size; ++entry)
    {
        this->restart(entry);
    }
}

void load_fleet::restart(std::size_t entry)
{
    this->entries[entry] = {};
    this->entries[entry].book.random.value = base::next_random(this->random);
    this->entries[entry].book.phase = this->fraction();
}

double load_fleet::fraction()
{
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(base::random_below(this->random, steps)) / steps;
}

std::size_t load_fleet::any_entry()
{
    return base::random_below(this->random, this->entries.size());
}

void load_fleet::run(
    std::chrono::milliseconds time,
    std::function<void(std::size_t entry)> const& on_step)
{
    for (auto const end = this->now + time; this->now < end;
         this->now += fleet_step)
    {
        this->deliver();
        auto const step =
            static_cast<std::size_t>(this->now.time_since_epoch() / fleet_step);
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry)
        {
            expire(this->entries[entry].load, this->now);
            expire(this->entries[entry].book, this->now);
            on_step(entry);
            if ((step + entry) % steps_per_notice == 0)
            {
                this->send(entry);
            }
        }
    }
}

void load_fleet::send(std::size_t from)
{
    auto& sender = this->entries[from];
    auto const told = std::make_shared<notice const>(notice{
        from, summarize(sender.load, this->now),
        take_unsent(sender.book, this->now)});
    for (std::size_t to = 0; to < this->entries.size(); ++to)
    {
        if (to == from || sender.is_cut_off || this->entries[to].is_cut_off ||
            this->fraction() < this->faults.lost)
        {
            continue;
        }
        auto const copies = this->fraction() < this->faults.doubled ? 2 : 1;
        for (auto copy = 0; copy < copies; ++copy)
        {
            auto const delay = std::chrono::round<std::chrono::milliseconds>(
                this->fraction() * this->faults.longest_delay);
            this->in_flight.emplace(this->now + delay, std::pair{to, told});
        }
    }
}

void load_fleet::deliver()
{
    while (!this->in_flight.empty() &&
           this->in_flight.begin()->first <= this->now)
    {
        auto const [to, told] = this->in_flight.begin()->second;
        auto& receiver = this->entries[to];
        note_summary(
            receiver.load, std::to_string(told->from), told->load, this->now);
        for (auto const& promise : told->promises)
        {
            note_promise(receiver.book, promise, this->now);
        }
        this->in_flight.erase(this->in_flight.begin());
    }
}

} // namespace foxtailvale::scheduling
