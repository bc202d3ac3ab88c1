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

// From whom an entry hears what agents of other failure domains report.
//
// Agents report to the entries of their own domain. An entry asks two entries
// of each other domain to pass these reports on, a stable choice that differs
// from entry to entry, so that what an entry receives and sends does not grow
// with the fleet and nobody has to be appointed. Failure: every agent reported
// to every entry; at 138 agents and 148 entries the reports filled the agents'
// links and those between regions, and answers came late.
namespace foxtailvale::direct
{

// An entry of another failure domain that is asked.
struct report_source
{
    // Since when.
    base::time_point asked;
    // When it last passed reports on.
    std::optional<base::time_point> heard;
    // It passed nothing on and is not asked again until then.
    std::optional<base::time_point> rests_until;
};

struct domain_sources
{
    // Since when reports of the domain are wanted.
    base::time_point wanted;
    // When any entry last passed some on.
    std::optional<base::time_point> heard;
    // By the entries' names.
    std::map<std::string, report_source> entries;
};

struct report_sources
{
    // Name of this entry.
    std::string own;
    // By failure domain.
    std::map<std::string, domain_sources> domains;
};

// Entries asked in each domain: while one is lost, the other passes reports on.
inline constexpr std::size_t sources_per_domain = 2;

// Reports are passed on, and asked for anew, this often.
inline constexpr std::chrono::milliseconds relay_interval{400};

// One that passed nothing on for this long is replaced, and rests.
inline constexpr std::chrono::milliseconds source_patience{1200};
inline constexpr std::chrono::milliseconds source_rest{5000};

// Whom of the domain's entries to ask now. Replaces those that fell silent.
std::vector<std::string> choose_sources(
    report_sources& state,
    std::string const& domain,
    std::set<std::string> const& entries,
    base::time_point now);

// An entry of the domain passed reports on.
void note_relayed(
    report_sources& state,
    std::string const& domain,
    std::string const& entry,
    base::time_point now);

// No entry of the domain passes reports on: its agents are asked themselves.
bool must_poll_agents(
    report_sources const& state,
    std::string const& domain,
    base::time_point now);

} // namespace foxtailvale::direct

#endif
