#include <base/digest.hpp>

#include <scheduling/service_load.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

namespace foxtailvale::scheduling
{

namespace
{

using std::chrono::microseconds;

void expire_buckets(service_load& load, base::time_point now)
{
    while (!load.buckets.empty() &&
           now - load.buckets.front().begin >= load_window)
    {
        load.buckets.pop_front();
    }
}

load_summary& current_counts(service_load& load, base::time_point now)
{
    expire_buckets(load, now);
    if (load.buckets.empty() ||
        now - load.buckets.back().begin >= load_bucket_width)
    {
        load.buckets.push_back({now, {}});
    }
    return load.buckets.back().counts;
}

// Part of the summary that counts in the totals, from zero to one.
double weight(received_summary const& received, base::time_point now)
{
    auto const past_full = now - received.received - summary_full_weight;
    auto const decayed = std::chrono::duration<double>(past_full) /
                         std::chrono::duration<double>(summary_decay);
    return std::clamp(1 - decayed, 0.0, 1.0);
}

microseconds weighted(microseconds cost, double weight)
{
    return microseconds(
        std::llround(weight * static_cast<double>(cost.count())));
}

void add(load_summary& sum, load_summary const& part, double weight)
{
    for (auto const& [rank, counts] : part.ranks)
    {
        auto& into = sum.ranks[rank];
        into.offered += weighted(counts.offered, weight);
        into.started += weighted(counts.started, weight);
        into.refused += weighted(counts.refused, weight);
    }
    for (auto const& [workspace, cost] : part.workspaces)
    {
        sum.workspaces[workspace] += weighted(cost, weight);
    }
    sum.waiting += static_cast<std::uint32_t>(
        std::llround(weight * static_cast<double>(part.waiting)));
}

load_summary own_counts(service_load const& load, base::time_point now)
{
    load_summary sum;
    for (auto const& bucket : load.buckets)
    {
        if (now - bucket.begin < load_window)
        {
            add(sum, bucket.counts, 1);
        }
    }
    sum.waiting = load.waiting;
    return sum;
}

void merge_excess_ranks(std::map<std::uint32_t, rank_load>& ranks)
{
    while (ranks.size() > max_summary_ranks)
    {
        auto const last = std::prev(ranks.end());
        auto& into = std::prev(last)->second;
        into.offered += last->second.offered;
        into.started += last->second.started;
        into.refused += last->second.refused;
        ranks.erase(last);
    }
}

void keep_largest(std::map<workspace_key, microseconds>& workspaces)
{
    if (workspaces.size() <= max_summary_workspaces)
    {
        return;
    }
    std::vector<std::pair<workspace_key, microseconds>> all(
        workspaces.begin(), workspaces.end());
    std::ranges::partial_sort(
        all, all.begin() + max_summary_workspaces, std::ranges::greater{},
        &std::pair<workspace_key, microseconds>::second);
    workspaces = {all.begin(), all.begin() + max_summary_workspaces};
}

bool is_plausible(microseconds cost)
{
    return cost >= microseconds(0) && cost <= max_plausible_cost;
}

} // namespace

char const* to_string(summary_fault fault)
{
    switch (fault)
    {
    case summary_fault::too_many_ranks:
        return "ranks";
    case summary_fault::too_many_workspaces:
        return "workspaces";
    case summary_fault::implausible_cost:
        return "cost";
    case summary_fault::implausible_waiting:
        return "waiting";
    case summary_fault::too_many_entries:
        break;
    }
    return "entries";
}

workspace_key workspace_key_of(std::string const& workspace)
{
    return base::stable_hash(workspace);
}

void note_offered(
    service_load& load,
    std::uint32_t rank,
    workspace_key workspace,
    microseconds cost,
    base::time_point now)
{
    auto& counts = current_counts(load, now);
    counts.ranks[rank].offered += cost;
    counts.workspaces[workspace] += cost;
}

void note_started(
    service_load& load,
    std::uint32_t rank,
    workspace_key /*workspace*/,
    microseconds cost,
    base::time_point now)
{
    current_counts(load, now).ranks[rank].started += cost;
}

void note_refused(
    service_load& load,
    std::uint32_t rank,
    workspace_key /*workspace*/,
    microseconds cost,
    base::time_point now)
{
    current_counts(load, now).ranks[rank].refused += cost;
}

void note_waiting(service_load& load, std::uint32_t waiting)
{
    load.waiting = waiting;
}

load_summary summarize(service_load const& load, base::time_point now)
{
    auto summary = own_counts(load, now);
    merge_excess_ranks(summary.ranks);
    keep_largest(summary.workspaces);
    return summary;
}

std::optional<summary_fault> find_fault(load_summary const& summary)
{
    if (summary.ranks.size() > max_summary_ranks)
    {
        return summary_fault::too_many_ranks;
    }
    if (summary.workspaces.size() > max_summary_workspaces)
    {
        return summary_fault::too_many_workspaces;
    }
    if (summary.waiting > max_plausible_waiting)
    {
        return summary_fault::implausible_waiting;
    }
    auto const are_ranks_plausible = std::ranges::all_of(
        summary.ranks,
        [](auto const& rank)
        {
            return is_plausible(rank.second.offered) &&
                   is_plausible(rank.second.started) &&
                   is_plausible(rank.second.refused);
        });
    auto const are_workspaces_plausible = std::ranges::all_of(
        summary.workspaces,
        [](auto const& workspace)
        {
            return is_plausible(workspace.second);
        });
    if (!are_ranks_plausible || !are_workspaces_plausible)
    {
        return summary_fault::implausible_cost;
    }
    return std::nullopt;
}

std::optional<summary_fault> note_summary(
    service_load& load,
    std::string const& entry,
    load_summary const& summary,
    base::time_point now)
{
    if (auto const fault = find_fault(summary))
    {
        return fault;
    }
    if (load.others.size() >= max_summarized_entries &&
        !load.others.contains(entry))
    {
        expire(load, now);
    }
    if (load.others.size() >= max_summarized_entries &&
        !load.others.contains(entry))
    {
        return summary_fault::too_many_entries;
    }
    load.others[entry] = {summary, now};
    return std::nullopt;
}

bool has_summary(service_load const& load, base::time_point now)
{
    return std::ranges::any_of(
        load.others,
        [now](auto const& other)
        {
            return weight(other.second, now) > 0;
        });
}

load_summary totals(service_load const& load, base::time_point now)
{
    auto sum = own_counts(load, now);
    for (auto const& [entry, received] : load.others)
    {
        auto const part = weight(received, now);
        if (part > 0)
        {
            add(sum, received.summary, part);
        }
    }
    return sum;
}

void expire(service_load& load, base::time_point now)
{
    expire_buckets(load, now);
    std::erase_if(
        load.others,
        [now](auto const& other)
        {
            return weight(other.second, now) <= 0;
        });
}

void note_suspended(service_load& load, std::chrono::milliseconds suspended)
{
    for (auto& bucket : load.buckets)
    {
        bucket.begin -= suspended;
    }
    for (auto& [entry, received] : load.others)
    {
        received.received -= suspended;
    }
}

} // namespace foxtailvale::scheduling
