#ifndef FOXTAILVALE_SCHEDULING_TESTS_CHOICE_RIG_HPP
#define FOXTAILVALE_SCHEDULING_TESTS_CHOICE_RIG_HPP

#include <cstddef>
#include <cstdint>

// Entries that choose among engines in virtual time, for comparing methods of
// choice.
namespace foxtailvale::scheduling::rig
{

enum class method
{
    least_loaded,
    // As in the product: the cheapest of a sample, with the prompts that the
    // entry sent recently in the cost.
    sampled,
    // The same without these prompts.
    sampled_by_count,
    // At random, with a probability that falls with the cost; also with the
    // prompts.
    weighted,
    // The engine with the least time to read all its prompts, as of now.
    full_knowledge,
};

struct load
{
    std::size_t entries = 40;
    // In three failure domains.
    std::size_t engines = 45;
    std::uint64_t seed = 11;
    // Of the fleet's slots, on average.
    double use = 0.75;
    // A seventh of the engines is 2.5 times slower, others after this time.
    bool has_slow_engines = true;
    int slow_ms = 600;
    // Reports say how slow an engine is.
    bool reports_speed = true;
    // Every second report is lost.
    bool loses_reports = false;
    // Part of the entries that get no reports.
    double without_reports = 0;
    // One domain's demand rises by half for two seconds.
    bool has_step = false;
    // A fifth of all requests arrive at the same entry.
    bool has_hot_key = false;
};

struct result
{
    std::size_t requests = 0;
    std::size_t in_time = 0;
    // Mean number of engines of a domain that are sent more than twice the mean
    // of their domain within 0.25 s.
    double crowded = 0;

    double share() const
    {
        return static_cast<double>(this->in_time) /
               static_cast<double>(this->requests);
    }
};

result play(load const& offered, method how);

} // namespace foxtailvale::scheduling::rig

#endif
