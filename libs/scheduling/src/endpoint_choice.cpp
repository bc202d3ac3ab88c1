#include <scheduling/endpoint_choice.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace foxtailvale::scheduling
{

namespace
{

// Number of candidates drawn from the own failure domain, or from the others if
// the own one has none.
constexpr std::size_t sample_size = 2;

// One remote candidate is enough to notice that the own failure domain is much
// more loaded than the others.
constexpr std::size_t remote_sample_size = 1;

using index_list = std::vector<std::size_t>;

// Draws `count` of the indices at random, without replacement.
index_list draw(index_list from, std::size_t count, base::random_state& random)
{
    auto const drawn = std::min(count, from.size());
    for (std::size_t next = 0; next < drawn; ++next)
    {
        auto const other = base::random_below(random, from.size() - next);
        std::swap(from[next], from[next + other]);
    }
    from.resize(drawn);
    return from;
}

// The candidates from which to choose: all, unless some are a last resort.
index_list eligible(std::span<endpoint_candidate const> candidates)
{
    index_list found;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        if (!candidates[index].is_last_resort)
        {
            found.push_back(index);
        }
    }
    if (found.empty())
    {
        found.resize(candidates.size());
        std::iota(found.begin(), found.end(), std::size_t{0});
    }
    return found;
}

index_list sample(
    std::span<endpoint_candidate const> candidates,
    index_list const& from,
    base::random_state& random)
{
    index_list local;
    index_list remote;
    for (auto const index : from)
    {
        (candidates[index].is_local ? local : remote).push_back(index);
    }
    auto const remote_size = local.empty() ? sample_size : remote_sample_size;
    auto drawn = draw(std::move(local), sample_size, random);
    auto const others = draw(std::move(remote), remote_size, random);
    drawn.insert(drawn.end(), others.begin(), others.end());
    return drawn;
}

} // namespace

std::size_t choose_endpoint(
    std::span<endpoint_candidate const> candidates,
    endpoint_choice method,
    base::random_state& random)
{
    auto considered = eligible(candidates);
    auto const has_reports = std::ranges::any_of(
        considered,
        [&candidates](std::size_t index)
        {
            return candidates[index].is_reported;
        });
    if (method == endpoint_choice::sampled && has_reports)
    {
        considered = sample(candidates, considered, random);
    }
    return *std::ranges::min_element(
        considered, {},
        [&candidates](std::size_t index)
        {
            return candidates[index].cost;
        });
}

} // namespace foxtailvale::scheduling
