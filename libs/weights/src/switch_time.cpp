#include <weights/switch_time.hpp>

#include <algorithm>

namespace foxtailvale::weights
{

namespace
{

constexpr std::size_t waves = 4;
// Waves that go to a version in between when two are named in a row.
constexpr std::size_t early_waves = 2;

// The figures below are shares of the bound. Chunks have usually arrived: 2 MiB
// over links of 7.6 Mbit/s take 3.0 of 8 s.
constexpr double arrival = 0.39;

// The last wave begins: its requests run for two seconds at most, and they
// began before it.
constexpr double last_wave = 0.8;

// Until then an engine of the early waves may wait for a newer version.
constexpr double early_patience = 0.67;

// Until then one of the later waves may; shortly before nothing may begin on
// what it serves.
constexpr double late_patience = 0.95;

// What an engine is lost for by one switch more: what comes sooner is worth
// waiting for.
constexpr std::chrono::milliseconds switch_cost{1000};

base::duration part_of(std::chrono::milliseconds bound, double share)
{
    return std::chrono::duration_cast<base::duration>(bound * share);
}

std::size_t wave_of(switch_ask const& ask)
{
    return ask.rank % waves;
}

named_target const* first_unmet(switch_ask const& ask)
{
    auto const found = std::ranges::find_if(
        ask.targets,
        [&ask](named_target const& target)
        {
            return target.version > ask.serving;
        });
    return found == ask.targets.end() ? nullptr : &*found;
}

// The engine went to a version that was named shortly before this one, while
// those of the later waves did not.
bool is_second_in_a_row(switch_ask const& ask, named_target const& target)
{
    return wave_of(ask) < early_waves &&
           std::ranges::any_of(
               ask.targets,
               [&](named_target const& other)
               {
                   return other.version < target.version &&
                          other.version <= ask.serving &&
                          other.named + ask.bound >
                              target.named + part_of(ask.bound, arrival);
               });
}

bool has_later_wave(switch_ask const& ask, std::size_t wave)
{
    return wave + 1 < waves && ask.most_agents > wave + 1;
}

} // namespace

std::uint64_t choose_target(switch_ask const& ask)
{
    if (ask.targets.empty())
    {
        return 1;
    }
    auto const* unmet = first_unmet(ask);
    if (ask.serving == 0 || unmet == nullptr)
    {
        return ask.targets.back().version;
    }
    auto const patience =
        wave_of(ask) < early_waves ? early_patience : late_patience;
    auto chosen = unmet->version;
    for (auto const& target : ask.targets)
    {
        if (target.version > chosen &&
            target.named + part_of(ask.bound, arrival) <=
                unmet->named + part_of(ask.bound, patience))
        {
            chosen = target.version;
        }
    }
    return chosen;
}

std::uint64_t fall_back(
    switch_ask const& ask,
    std::uint64_t chosen,
    std::function<std::size_t(std::uint64_t)> const& chunks_to_come,
    base::time_point now)
{
    auto const* unmet = first_unmet(ask);
    if (ask.serving == 0 || unmet == nullptr)
    {
        return chosen;
    }
    auto const left = chunk_time * static_cast<int>(chunks_to_come(chosen));
    if (left < switch_cost || now + left <= unmet->named + ask.bound)
    {
        return chosen;
    }
    auto best = chosen;
    for (auto const& target : ask.targets)
    {
        if (target.version > ask.serving && target.version < chosen &&
            chunks_to_come(target.version) == 0)
        {
            best = target.version;
        }
    }
    return best;
}

switch_plan plan_switch(switch_ask const& ask, std::uint64_t target)
{
    auto const found =
        std::ranges::find(ask.targets, target, &named_target::version);
    auto const* unmet = first_unmet(ask);
    if (ask.serving == 0 || unmet == nullptr || found == ask.targets.end())
    {
        return {};
    }
    auto wave = wave_of(ask);
    if (is_second_in_a_row(ask, *found))
    {
        // The later waves go first this time.
        wave += early_waves;
    }
    auto const first = found->named + part_of(ask.bound, arrival);
    auto last = found->named + part_of(ask.bound, last_wave);
    auto const skips = unmet->version != target;
    if (skips)
    {
        last = std::min(last, unmet->named + part_of(ask.bound, late_patience));
    }
    last = std::max(first, last);
    auto const step = (last - first) / static_cast<int>(waves - 1);
    return {
        first + step * static_cast<int>(wave),
        !skips && has_later_wave(ask, wave)};
}

} // namespace foxtailvale::weights
