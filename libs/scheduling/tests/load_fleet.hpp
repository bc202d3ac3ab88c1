#ifndef FOXTAILVALE_SCHEDULING_LOAD_FLEET_HPP
#define FOXTAILVALE_SCHEDULING_LOAD_FLEET_HPP

#include <scheduling/returns.hpp>
#include <scheduling/service_load.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

// The entries of a failure domain in virtual time: each tells the others of its
// load and its promises every 100 ms over a network that may lose, double and
// delay notices.
namespace foxtailvale::scheduling
{

inline constexpr std::chrono::milliseconds fleet_step{10};

struct fleet_entry
{
    service_load load;
    return_book book;
    bool is_cut_off = false;
};

struct fleet_faults
{
    // Fraction of notices that are lost, and of those that arrive twice.
    double lost = 0;
    double doubled = 0;
    std::chrono::milliseconds longest_delay{2};
};

class load_fleet
{
public:
    load_fleet(std::size_t size, fleet_faults network);

    // Calls the function for each entry in each step.
    void
    run(std::chrono::milliseconds time,
        std::function<void(std::size_t entry)> const& on_step);

    // Replaces the entry by a process that has just started.
    void restart(std::size_t entry);

    double fraction();
    std::size_t any_entry();

    std::vector<fleet_entry> entries;
    base::time_point now{std::chrono::seconds(100)};

private:
    struct notice
    {
        std::size_t from = 0;
        load_summary load;
        std::vector<return_notice> promises;
    };

    void send(std::size_t from);
    void deliver();

    fleet_faults faults;
    base::random_state random;
    std::multimap<
        base::time_point,
        std::pair<std::size_t, std::shared_ptr<notice const>>>
        in_flight;
};

} // namespace foxtailvale::scheduling

#endif
