#ifndef FOXTAILVALE_GATEWAY_PEER_LINK_HPP
#define FOXTAILVALE_GATEWAY_PEER_LINK_HPP

#include <gateway/agent_contacts.hpp>
#include <gateway/entry_context.hpp>
#include <net/datagram_socket.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace google::protobuf
{
template <typename Element>
class RepeatedPtrField;
} // namespace google::protobuf

namespace foxtailvale::wire
{
class ServedModel;
class CrashRecords;
class Datagram;
class EngineState;
class EntriesNotice;
class FleetAsk;
class PassedReports;
class Subscribe;
class ViewAsk;
class ViewNotice;
} // namespace foxtailvale::wire

namespace foxtailvale::gateway
{

// The datagrams that an entry exchanges with agents and other entries. It
// subscribes to the reports of agents (see followed_agents) and announces
// itself at the directory of its failure domain: a few agents there that know
// all entries of the domain and tell others of them, so that entries find each
// other without a registry.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    explicit peer_link(std::shared_ptr<entry_context> shared);

    // Opens the socket. Returns an error text when the address cannot be bound.
    std::optional<std::string> open();

    // Subscribes to the reports of agents, and asks for the entries of their
    // domains again.
    void subscribe();

    // Sends the neighbours the fingerprints of requests refused since the last
    // call, and from time to time the load of services under ranked admission
    // and the promised returns.
    void send_refusals();

    // Sends a few other entries the records of the requests that this entry
    // refuses and the rate limits that endpoints named to it. Called once a
    // second.
    void share_with_some_entries();

    // Tells all other entries of rate limits that came into force or ended
    // since the last call.
    void send_changed_limits();

    // Sends the bytes of a datagram to one entry.
    void send(std::string const& entry, std::string const& bytes);

    // Handlers for messages about views of the platform, with the sender's IP
    // address. Set before open().
    std::function<void(std::string const& from, wire::ViewAsk const&)>
        on_view_ask;
    std::function<void(std::string const& from, wire::ViewNotice const&)>
        on_view_notice;

    // Handlers for messages about reports of other failure domains, and a
    // function that returns the domains whose agents this entry subscribes to
    // itself. Set before open().
    std::function<void(std::string const& from)> on_report_ask;
    std::function<void(std::string const& from, wire::PassedReports const&)>
        on_passed_reports;
    std::function<std::set<std::string>()> directly_polled_domains;
    // Called when an agent listed entries of the domain.
    std::function<void(std::string const& domain)> on_entries_listed;

private:
    // Adds the engines' models and the origin from the configuration, for
    // agents.
    void add_models(google::protobuf::RepeatedPtrField<wire::ServedModel>&
                        served_models) const;
    // Announces this entry at the directory of its failure domain.
    void announce_presence(
        wire::Subscribe const& subscription,
        std::vector<net::udp_endpoint> const& agents,
        std::set<net::udp_endpoint> const& followed);
    // Asks the directories for the entries they know, different agents each
    // time: two of this failure domain, one of another.
    void request_entry_names(agent_directories const& directories);
    void handle_entries_notice(wire::EntriesNotice const& notice);
    void
    send_to(std::set<std::string> const& entries, std::string const& bytes);
    void send_to_some(wire::Datagram message);
    void receive(net::udp_endpoint const& source, std::string_view bytes);
    void handle_engine_state(
        std::string const& agent, wire::EngineState const& state);
    // Sends an agent the list of agents beside engines of its service.
    void
    send_fleet(net::udp_endpoint const& agent, wire::FleetAsk const& asked);
    // Takes over another entry's records, and tells it what was answered since.
    void handle_crash_records(
        std::string const& address,
        std::string const& reporter,
        wire::CrashRecords const& records);

    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::datagram_socket> socket;
    // Number of requests for entry names sent so far.
    std::size_t name_requests_sent = 0;
};

} // namespace foxtailvale::gateway

#endif
