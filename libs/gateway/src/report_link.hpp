#ifndef FOXTAILVALE_GATEWAY_REPORT_LINK_HPP
#define FOXTAILVALE_GATEWAY_REPORT_LINK_HPP

#include "agent_context.hpp"

#include <net/datagram_socket.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace google::protobuf
{
template <typename Element>
class RepeatedPtrField;
} // namespace google::protobuf

namespace foxtailvale::wire
{
class FleetNotice;
class ServedModel;
class Subscribe;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

// Datagrams between an agent and the entries. Entries subscribe to reports and
// list the announced versions in each subscription; the agent reports the
// engine's state.
class report_link : public std::enable_shared_from_this<report_link>
{
public:
    explicit report_link(std::shared_ptr<agent_context> shared);

    // Opens the socket. Returns an error text when the peer address cannot be
    // bound.
    std::optional<std::string> open();
    void close();

    // Sends a report to all entries that are due; with `at_once`, also to those
    // of other failure domains out of turn.
    void send_reports(bool at_once);

    // Removes subscriptions that were not renewed in time.
    void remove_expired_subscribers();

    // Whether any entry subscribes, and so keeps this agent informed of the
    // announced versions.
    bool has_entries() const;

    // Called when an entry lists a version, with the time of its announcement.
    // Set before open().
    std::function<void(
        std::string const& model, std::uint64_t version, base::time_point at)>
        on_version;

    // Asks an entry for the agents of the fleet, preferring entries of the own
    // failure domain and another entry on each try; entries named in the
    // settings while none has subscribed. Returns false when no entry is known.
    bool request_fleet(std::uint64_t token, std::uint32_t tries);

    // Called with an entry's list of the agents in a failure domain. Set before
    // open().
    std::function<void(wire::FleetNotice const&)> on_fleet_notice;

private:
    // An entry that subscribed to reports.
    struct subscriber
    {
        base::time_point last_asked;
        std::string failure_domain;
        // It does not only announce itself.
        bool wants_reports = true;
    };

    void
    on_subscribe(net::udp_endpoint const& source, wire::Subscribe const& asked);
    // Records what the configuration says about this agent's service.
    void update_models(
        google::protobuf::RepeatedPtrField<wire::ServedModel> const& models);
    // Whether the entry is in this agent's failure domain.
    bool is_same_domain(subscriber const& entry) const;
    std::string report() const;
    std::string entries_notice() const;

    std::shared_ptr<agent_context> context;
    std::shared_ptr<net::datagram_socket> socket;
    std::map<net::udp_endpoint, subscriber> subscribers;
    int report_rounds = 0;
};

} // namespace foxtailvale::gateway

#endif
