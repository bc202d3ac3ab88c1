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

// Passes the reports of this failure domain's agents on to entries of other
// domains that ask for them, and asks entries there for theirs.
class domain_reports : public std::enable_shared_from_this<domain_reports>
{
public:
    explicit domain_reports(std::shared_ptr<entry_context> shared);

    void start();

    // Messages of other entries, by their IP addresses.
    void handle_ask(std::string const& from);
    // Entries of the domain were named.
    void note_named(std::string const& domain);
    void
    take_reports(std::string const& from, wire::PassedReports const& passed);

    // Failure domains whose agents this entry asks itself: its own, or the
    // first that has agents if its own has none, and those whose entries pass
    // nothing on.
    std::set<std::string> asked_directly() const;

    // Sends a datagram's bytes to an entry. Set before start().
    std::function<void(std::string const& entry, std::string const& bytes)>
        send;

private:
    void run_round();
    void ask_sources();
    void pass_on();
    // Datagrams with what the agents of the own domain last reported.
    std::vector<std::string> own_reports() const;
    std::string home_domain() const;

    std::shared_ptr<entry_context> context;
    direct::report_sources sources;
    // Domains whose entries were named.
    std::set<std::string> named;
    // Entries of other domains that asked, and when.
    std::map<std::string, base::time_point> askers;
    boost::asio::steady_timer timer;
};

} // namespace foxtailvale::gateway

#endif
