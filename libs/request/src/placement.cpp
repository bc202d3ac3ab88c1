#include <base/digest.hpp>
#include <request/placement.hpp>

#include <algorithm>

namespace foxtailvale::request
{

namespace
{

using options = std::vector<candidate const*>;

bool has_room(candidate const& option)
{
    return option.running < option.limit;
}

options open_options(
    std::vector<candidate> const& candidates,
    placement_query const& ask,
    bool own_domain)
{
    options open;
    for (auto const& option : candidates)
    {
        auto const own = option.failure_domain == ask.own_domain;
        auto const tried =
            std::ranges::find(ask.tried, option.agent) != ask.tried.end();
        if (own == own_domain && !tried && has_room(option))
        {
            open.push_back(&option);
        }
    }
    return open;
}

candidate const* preferred(options const& open, std::uint64_t prefix)
{
    return *std::ranges::max_element(
        open, {},
        [prefix](auto const* option)
        {
            return base::stable_hash(option->agent, prefix);
        });
}

// A quarter over the mean load, rounded up.
bool within_bound(options const& open, candidate const& option)
{
    std::uint64_t total = 1;
    for (auto const* const other : open)
    {
        total += other->running;
    }
    auto const bound = (total * 5 + open.size() * 4 - 1) / (open.size() * 4);
    return option.running < bound;
}

std::uint32_t room(candidate const& option)
{
    return option.limit - option.running;
}

candidate const* freer_of_two(options const& open, base::random_state& random)
{
    auto const* const one = open[base::random_below(random, open.size())];
    auto const* const two = open[base::random_below(random, open.size())];
    return room(*one) >= room(*two) ? one : two;
}

} // namespace

candidate const* choose(
    std::vector<candidate> const& candidates,
    placement_query const& ask,
    base::random_state& random)
{
    for (bool const own_domain : {true, false})
    {
        auto const open = open_options(candidates, ask, own_domain);
        if (open.empty())
        {
            continue;
        }
        if (ask.prefer_least_loaded)
        {
            return *std::ranges::min_element(
                open, {},
                [](auto const* option)
                {
                    return option->running;
                });
        }
        if (ask.prefix != 0)
        {
            auto const* const option = preferred(open, ask.prefix);
            if (within_bound(open, *option))
            {
                return option;
            }
        }
        return freer_of_two(open, random);
    }
    return nullptr;
}

} // namespace foxtailvale::request
