#ifndef FOXTAILVALE_DIRECT_REPORT_SOURCES_HPP
#define FOXTAILVALE_DIRECT_REPORT_SOURCES_HPP

#include <base/ids.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Selects the entries from which an entry receives the agents' reports of other
// failure domains.
//
// Agents report to the entries of their own domain. An entry asks two entries
// of each other domain to relay these reports. The choice is stable and differs
// between entries, so that the messages of an entry do not grow with the fleet
// and no coordinator is needed.
//
// Failure: every agent reported to every entry. With 138 agents and 148 entries
// the reports filled the agents' links and the links between regions, and
// answers were late.
namespace foxtailvale::direct
{

// An entry of another failure domain that is asked to relay reports.
struct report_source
{
    // When it was first asked.
    base::time_point asked;
    // When it last relayed reports.
    std::optional<base::time_point> heard;
    // It relayed nothing and is not asked again before this time.
    std::optional<base::time_point> backoff_until;
};

struct domain_sources
{
    // When reports of the domain were first wanted.
    base::time_point wanted;
    // When any entry of the domain last relayed reports.
    std::optional<base::time_point> heard;
    // By entry name.
    std::map<std::string, report_source> entries;
};

struct report_sources
{
    // Name of this entry.
    std::string own;
    // By failure domain.
    std::map<std::string, domain_sources> domains;
};

// Entries asked in each domain: if one is lost, the other still relays reports.
inline constexpr std::size_t sources_per_domain = 2;

// Interval at which reports are relayed and requests for them are renewed.
inline constexpr std::chrono::milliseconds relay_interval{400};

// An entry that relayed nothing for this long is replaced and not asked again
// for source_backoff.
inline constexpr std::chrono::milliseconds source_timeout{1200};
inline constexpr std::chrono::milliseconds source_backoff{5000};

// Returns the entries of the domain to ask now, replacing unresponsive ones.
std::vector<std::string> choose_sources(
    report_sources& state,
    std::string const& domain,
    std::set<std::string> const& entries,
    base::time_point now);

// Records that an entry of the domain relayed reports.
void note_relayed(
    report_sources& state,
    std::string const& domain,
    std::string const& entry,
    base::time_point now);

// Whether no entry of the domain relays reports, so that its agents have to be
// asked directly.
bool must_poll_agents(
    report_sources const& state,
    std::string const& domain,
    base::time_point now);

} // namespace foxtailvale::direct

#endif
