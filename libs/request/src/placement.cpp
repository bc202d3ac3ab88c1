#include <base/digest.hpp>
#include <request/placement.hpp>

#include <algorithm>

namespace foxtailvale::request
{

namespace
{

using candidate_list = std::vector<candidate const*>;

bool has_free_slot(candidate const& option)
{
    return option.running < option.limit;
}

// Candidates inside or outside the own failure domain that have a free slot and
// were not tried yet.
candidate_list eligible_candidates(
    std::vector<candidate> const& candidates,
    placement_query const& query,
    bool own_domain)
{
    candidate_list eligible;
    for (auto const& option : candidates)
    {
        auto const own = option.failure_domain == query.own_domain;
        auto const tried =
            std::ranges::find(query.tried, option.agent) != query.tried.end();
        if (own == own_domain && !tried && has_free_slot(option))
        {
            eligible.push_back(&option);
        }
    }
    return eligible;
}

// Rendezvous hashing: the endpoint with the highest hash for the prefix.
candidate const*
prefix_choice(candidate_list const& eligible, std::uint64_t prefix)
{
    return *std::ranges::max_element(
        eligible, {},
        [prefix](auto const* option)
        {
            return base::stable_hash(option->agent, prefix);
        });
}

// Whether the endpoint's load is below 5/4 of the mean load, rounded up. The
// mean includes the request to be placed.
bool within_bound(candidate_list const& eligible, candidate const& option)
{
    std::uint64_t total = 1;
    for (auto const* const other : eligible)
    {
        total += other->running;
    }
    auto const bound =
        (total * 5 + eligible.size() * 4 - 1) / (eligible.size() * 4);
    return option.running < bound;
}

std::uint32_t free_slots(candidate const& option)
{
    return option.limit - option.running;
}

candidate const*
less_loaded_of_two(candidate_list const& eligible, base::random_state& random)
{
    auto const* const one =
        eligible[base::random_below(random, eligible.size())];
    auto const* const two =
        eligible[base::random_below(random, eligible.size())];
    return free_slots(*one) >= free_slots(*two) ? one : two;
}

} // namespace

candidate const* choose(
    std::vector<candidate> const& candidates,
    placement_query const& query,
    base::random_state& random)
{
    for (bool const own_domain : {true, false})
    {
        auto const eligible =
            eligible_candidates(candidates, query, own_domain);
        if (eligible.empty())
        {
            continue;
        }
        if (query.prefer_least_loaded)
        {
            return *std::ranges::min_element(
                eligible, {},
                [](auto const* option)
                {
                    return option->running;
                });
        }
        if (query.prefix != 0)
        {
            auto const* const option = prefix_choice(eligible, query.prefix);
            if (within_bound(eligible, *option))
            {
                return option;
            }
        }
        return less_loaded_of_two(eligible, random);
    }
    return nullptr;
}

} // namespace foxtailvale::request
