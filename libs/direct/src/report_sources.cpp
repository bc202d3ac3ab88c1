#include <base/digest.hpp>
#include <direct/report_sources.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::direct
{

namespace
{

bool is_backing_off(report_source const& source, base::time_point now)
{
    return source.backoff_until && now < *source.backoff_until;
}

void update_backoffs(domain_sources& known, base::time_point now)
{
    for (auto& [name, source] : known.entries)
    {
        auto const last = source.heard.value_or(source.asked);
        if (!source.backoff_until && now - last > source_timeout)
        {
            source.backoff_until = now + source_backoff;
        }
    }
    std::erase_if(
        known.entries,
        [now](auto const& entry)
        {
            return entry.second.backoff_until &&
                   !is_backing_off(entry.second, now);
        });
}

// Returns the entries in a stable order that differs between asking entries.
std::vector<std::string>
in_own_order(std::string const& own, std::set<std::string> const& entries)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(entries.size());
    for (auto const& entry : entries)
    {
        auto pair = own;
        pair.append("/").append(entry);
        ranked.emplace_back(base::stable_hash(pair), entry);
    }
    std::ranges::sort(ranked);
    std::vector<std::string> ordered;
    ordered.reserve(ranked.size());
    for (auto& [rank, entry] : ranked)
    {
        ordered.push_back(std::move(entry));
    }
    return ordered;
}

} // namespace

std::vector<std::string> choose_sources(
    report_sources& state,
    std::string const& domain,
    std::set<std::string> const& entries,
    base::time_point now)
{
    auto& known = state.domains.try_emplace(domain, domain_sources{now, {}, {}})
                      .first->second;
    update_backoffs(known, now);
    std::vector<std::string> chosen;
    for (auto const& entry : in_own_order(state.own, entries))
    {
        if (chosen.size() == sources_per_domain)
        {
            known.entries.erase(entry);
            continue;
        }
        auto const& source =
            known.entries.try_emplace(entry, report_source{now, {}, {}})
                .first->second;
        if (!is_backing_off(source, now))
        {
            chosen.push_back(entry);
        }
    }
    return chosen;
}

void note_relayed(
    report_sources& state,
    std::string const& domain,
    std::string const& entry,
    base::time_point now)
{
    auto const known = state.domains.find(domain);
    if (known == state.domains.end())
    {
        return;
    }
    known->second.heard = now;
    auto const source = known->second.entries.find(entry);
    if (source != known->second.entries.end())
    {
        source->second.heard = now;
        source->second.backoff_until.reset();
    }
}

bool must_poll_agents(
    report_sources const& state,
    std::string const& domain,
    base::time_point now)
{
    auto const known = state.domains.find(domain);
    if (known == state.domains.end())
    {
        return false;
    }
    auto const last = known->second.heard.value_or(known->second.wanted);
    return now - last > source_timeout;
}

} // namespace foxtailvale::direct
