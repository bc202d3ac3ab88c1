#ifndef FOXTAILVALE_GATEWAY_DOMAIN_REPORTS_HPP
#define FOXTAILVALE_GATEWAY_DOMAIN_REPORTS_HPP

#include <direct/report_sources.hpp>
#include <gateway/entry_context.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtailvale::wire
{
class PassedReports;
}

namespace foxtailvale::gateway
{

// Relays the reports of this failure domain's agents to entries of other
// domains that ask for them, and asks entries of other domains for theirs.
class domain_reports : public std::enable_shared_from_this<domain_reports>
{
public:
    explicit domain_reports(std::shared_ptr<entry_context> shared);

    void start();

    // Handle messages of other entries, given by their IP addresses.
    void handle_ask(std::string const& from);
    // An agent listed entries of the domain.
    void note_entries_listed(std::string const& domain);
    void
    handle_reports(std::string const& from, wire::PassedReports const& passed);

    // Failure domains whose agents this entry subscribes to itself: its own (or
    // the first domain with agents if its own has none), and those whose
    // entries relay no reports.
    std::set<std::string> directly_polled_domains() const;

    // Sends the bytes of a datagram to an entry. Set before start().
    std::function<void(std::string const& entry, std::string const& bytes)>
        send;

private:
    void run_round();
    void ask_sources();
    void relay_reports();
    // Returns datagrams with the latest reports of the own domain's agents.
    std::vector<std::string> encode_own_reports() const;
    // The own failure domain, or the first that has agents if the own one has
    // none.
    std::string home_domain() const;

    std::shared_ptr<entry_context> context;
    direct::report_sources sources;
    // Domains for which an agent listed entries.
    std::set<std::string> domains_with_entries;
    // Entries of other domains that asked for reports, and when they last did.
    std::map<std::string, base::time_point> requesters;
    boost::asio::steady_timer timer;
};

} // namespace foxtailvale::gateway

#endif
