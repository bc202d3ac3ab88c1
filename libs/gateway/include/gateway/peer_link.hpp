#ifndef FOXTAILVALE_GATEWAY_PEER_LINK_HPP
#define FOXTAILVALE_GATEWAY_PEER_LINK_HPP

#include <gateway/entry_context.hpp>
#include <net/datagram_socket.hpp>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace google::protobuf
{
template <typename Element>
class RepeatedPtrField;
} // namespace google::protobuf

namespace foxtailvale::wire
{
class ServedModel;
class CrashNotice;
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

// What an entry exchanges with agents and other entries. It asks agents of its
// failure domain for reports, and two of each domain which entries ask there,
// so entries find each other without a register of their own.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    explicit peer_link(std::shared_ptr<entry_context> shared);

    // An error text when the address cannot be bound.
    std::optional<std::string> open();

    // Asks agents for reports and for the entries of their domains anew.
    void subscribe();

    // Tells the neighbours of requests that were refused since the last time.
    void tell_refusals();

    // Sends a datagram's bytes to one entry.
    void send(std::string const& entry, std::string const& bytes);

    // Messages about views of the platform, by the sender's IP address. Set
    // before open().
    std::function<void(std::string const& from, wire::ViewAsk const&)>
        on_view_ask;
    std::function<void(std::string const& from, wire::ViewNotice const&)>
        on_view_notice;

    // Messages about reports of other failure domains, and the domains whose
    // agents are asked for reports. Set before open().
    std::function<void(std::string const& from)> on_report_ask;
    std::function<void(std::string const& from, wire::PassedReports const&)>
        on_passed_reports;
    std::function<std::set<std::string>()> asked_directly;
    // Entries of the domain were named.
    std::function<void(std::string const& domain)> on_named;

private:
    // Tells agents what the configuration says of engines.
    void add_models(
        google::protobuf::RepeatedPtrField<wire::ServedModel>& told) const;
    // Addresses of the agents of each failure domain.
    std::map<std::string, std::vector<net::udp_endpoint>> agents() const;
    // Asks two agents of each domain, other ones each time.
    void ask_names(
        std::map<std::string, std::vector<net::udp_endpoint>> const& agents);
    void take_entries(wire::EntriesNotice const& notice);
    void
    send_to(std::set<std::string> const& entries, std::string const& bytes);
    void receive(net::udp_endpoint const& source, std::string_view bytes);
    void take_state(std::string const& agent, wire::EngineState const& state);
    // Tells an agent who else stands beside engines of its service.
    void
    tell_fleet(net::udp_endpoint const& agent, wire::FleetAsk const& asked);
    void take_crash(wire::CrashNotice const& notice);
    void tell_crash(
        request::fingerprint print, std::string const& endpoint, bool answered);

    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::datagram_socket> socket;
    // Questions for names so far.
    std::size_t names_asked = 0;
};

} // namespace foxtailvale::gateway

#endif
